package relay_test

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/relay"
)

// held is an executor that only counts.
type held struct{ ran, rolled atomic.Int32 }

func (h *held) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	h.ran.Add(1)
	var done citronusher.TaskResult
	if task.Part != citronusher.PartNone && task.Statement.Kind != citronusher.StatementCommit {
		done.Answer.State = citronusher.StateOpen
	}
	return done, nil
}

func (h *held) Rollback() { h.rolled.Add(1) }

var planSeven = citronusher.Plan{
	Version: 7, Idle: 3 * time.Second, Routes: map[string]citronusher.Route{"r": {Name: "r"}},
}

func newServer(h *held) *relay.Server {
	return relay.NewServer(relay.ServerConfig{
		NewLocalExecutor: func() citronusher.Executor { return h }, Plan: func() citronusher.Plan { return planSeven },
		Logger: slog.New(slog.DiscardHandler),
	})
}

// TestHomeKeepsToItsPlan shows that a home serves no route that its newer plan has dropped, and none that it does not
// know yet.
func TestHomeKeepsToItsPlan(t *testing.T) {
	for _, c := range []struct {
		route   string
		version uint64
		want    citronusher.Reason
	}{
		{"r", 6, ""}, {"r", 8, ""}, {"dropped", 6, citronusher.ReasonDatabase}, {"added", 8, citronusher.ReasonHome},
	} {
		h := &held{}
		_, err := newServer(h).Execute(citronusher.SessionKey{}, citronusher.Task{
			Route: citronusher.Route{Name: c.route}, Version: c.version,
		})
		switch {
		case c.want == "" && (err != nil || h.ran.Load() != 1):
			t.Errorf("%+v: %v", c, err)
		case c.want != "" && (!errors.Is(err, citronusher.ErrNotRun) || citronusher.AsFailure(err).Reason() != c.want):
			t.Errorf("%+v: %v", c, err)
		case c.want != "" && h.ran.Load() != 0:
			t.Errorf("%+v: it ran", c)
		}
	}
}

// TestTransactionOfLostDaemonIsRolledBack plays a daemon that begins a transaction at a home and is never heard of again:
// the home rolls it back. (Found by reading: its connection would stay taken.)
func TestTransactionOfLostDaemonIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &held{}
		s := newServer(h)
		key := citronusher.SessionKey{Instance: "e", Number: 1}
		first := citronusher.Task{Route: citronusher.Route{Name: "r"}, Version: 7, Part: citronusher.PartFirst}
		if _, err := s.Execute(key, first); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		next := first
		next.Part = citronusher.PartNext
		if _, err := s.Execute(key, next); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if h.rolled.Load() != 0 {
			t.Error("rolled back before its time")
		}
		time.Sleep(time.Second)
		if h.rolled.Load() != 1 {
			t.Error("not rolled back")
		}
		if _, err := s.Execute(key, next); citronusher.AsFailure(err).Reason() != citronusher.ReasonGone {
			t.Errorf("after the end: %v", err)
		}
	})
}

// TestLeavingHomeEndsItsTransactions plays a planned stop: new work is refused, an open transaction may go on, and what
// is still open at last is rolled back.
func TestLeavingHomeEndsItsTransactions(t *testing.T) {
	h := &held{}
	s := newServer(h)
	key := citronusher.SessionKey{Instance: "e", Number: 1}
	task := citronusher.Task{Route: citronusher.Route{Name: "r"}, Version: 7, Part: citronusher.PartFirst}
	if _, err := s.Execute(key, task); err != nil {
		t.Fatal(err)
	}
	s.StopAccepting()
	_, err := s.Execute(citronusher.SessionKey{Number: 2}, task)
	if citronusher.AsFailure(err).Reason() != citronusher.ReasonLeaving {
		t.Errorf("new work: %v", err)
	}
	task.Part = citronusher.PartNext
	if _, err := s.Execute(key, task); err != nil {
		t.Errorf("the open transaction: %v", err)
	}
	s.RollBackAll()
	if h.rolled.Load() != 1 {
		t.Error("not rolled back")
	}
}
