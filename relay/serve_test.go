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

// countingExecutor is an executor that only counts its calls.
type countingExecutor struct{ ran, rolled atomic.Int32 }

func (h *countingExecutor) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	h.ran.Add(1)
	var done citronusher.TaskResult
	if task.Part != citronusher.PartNone && task.Statement.Kind != citronusher.StatementCommit {
		done.Answer.State = citronusher.StateOpen
	}
	return done, nil
}

func (h *countingExecutor) Rollback() { h.rolled.Add(1) }

var planVersion7 = citronusher.Plan{
	Version: 7, Idle: 3 * time.Second, Routes: map[string]citronusher.Route{"r": {Name: "r"}},
}

func newServer(h *countingExecutor) *relay.Server {
	return relay.NewServer(relay.ServerConfig{
		NewLocalExecutor: func() citronusher.Executor { return h }, Plan: func() citronusher.Plan { return planVersion7 },
		Logger: slog.New(slog.DiscardHandler),
	})
}

// TestHomeRejectsRoutesNotInItsPlan guards against a home that serves a route which its newer plan has removed, or a route
// of a newer plan which the home has not received yet.
func TestHomeRejectsRoutesNotInItsPlan(t *testing.T) {
	for _, c := range []struct {
		route   string
		version uint64
		want    citronusher.Reason
	}{
		{"r", 6, ""}, {"r", 8, ""}, {"dropped", 6, citronusher.ReasonDatabase}, {"added", 8, citronusher.ReasonHome},
	} {
		h := &countingExecutor{}
		_, err := newServer(h).Execute(citronusher.SessionKey{}, citronusher.Task{
			Route: citronusher.Route{Name: c.route}, Version: c.version,
		})
		switch {
		case c.want == "" && (err != nil || h.ran.Load() != 1):
			t.Errorf("%+v: %v", c, err)
		case c.want != "" && (!errors.Is(err, citronusher.ErrNotRun) || citronusher.AsFailure(err).Reason() != c.want):
			t.Errorf("%+v: %v", c, err)
		case c.want != "" && h.ran.Load() != 0:
			t.Errorf("%+v: the task ran", c)
		}
	}
}

// TestTransactionOfLostDaemonIsRolledBack guards against a member connection that stays reserved forever: a daemon begins
// a transaction at a home and never sends anything again. The home must roll back the transaction after the idle timeout.
func TestTransactionOfLostDaemonIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &countingExecutor{}
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
			t.Error("rolled back before the idle timeout")
		}
		time.Sleep(time.Second)
		if h.rolled.Load() != 1 {
			t.Error("the transaction was not rolled back")
		}
		if _, err := s.Execute(key, next); citronusher.AsFailure(err).Reason() != citronusher.ReasonGone {
			t.Errorf("task after the rollback: %v", err)
		}
	})
}

// TestDrainingHomeRejectsNewTransactions runs a planned stop: the home must reject new tasks, let an open transaction
// continue, and roll back what is still open at the end.
func TestDrainingHomeRejectsNewTransactions(t *testing.T) {
	h := &countingExecutor{}
	s := newServer(h)
	key := citronusher.SessionKey{Instance: "e", Number: 1}
	task := citronusher.Task{Route: citronusher.Route{Name: "r"}, Version: 7, Part: citronusher.PartFirst}
	if _, err := s.Execute(key, task); err != nil {
		t.Fatal(err)
	}
	s.StopAccepting()
	_, err := s.Execute(citronusher.SessionKey{Number: 2}, task)
	if citronusher.AsFailure(err).Reason() != citronusher.ReasonLeaving {
		t.Errorf("new task: %v", err)
	}
	task.Part = citronusher.PartNext
	if _, err := s.Execute(key, task); err != nil {
		t.Errorf("the open transaction: %v", err)
	}
	s.RollBackAll()
	if h.rolled.Load() != 1 {
		t.Error("the transaction was not rolled back")
	}
}
