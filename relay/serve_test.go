package relay_test

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

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

// slowExecutor runs each task until it is released.
type slowExecutor struct {
	countingExecutor
	release chan struct{}
}

func (e *slowExecutor) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	<-e.release
	return e.countingExecutor.Execute(task)
}

// TestStopWaitsForNoStatement guards against a home whose planned stop waits for the running statement of one transaction
// before it rolls back the others, and against one that passes over that transaction: it is rolled back after the
// statement.
func TestStopWaitsForNoStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var executors []*slowExecutor
		for range 3 {
			executors = append(executors, &slowExecutor{release: make(chan struct{}, 1)})
		}
		opened := 0
		s := relay.NewServer(relay.ServerConfig{
			NewLocalExecutor: func() citronusher.Executor {
				opened++
				return executors[opened-1]
			},
			Plan: func() citronusher.Plan { return planVersion7 }, Logger: slog.New(slog.DiscardHandler),
		})
		task := citronusher.Task{Route: citronusher.Route{Name: "r"}, Version: 7, Part: citronusher.PartFirst}
		next := task
		next.Part = citronusher.PartNext
		key := func(i int) citronusher.SessionKey { return citronusher.SessionKey{Instance: "e", Number: uint64(i)} }
		var results errgroup.Group
		run := func(i int, task citronusher.Task) {
			results.Go(func() error {
				_, err := s.Execute(key(i), task)
				return err
			})
			synctest.Wait()
		}
		for i := range 2 {
			executors[i].release <- struct{}{}
			run(i, task)
		}
		run(1, next) // runs during the stop, as does the first statement of another transaction
		run(2, task)
		s.StopAccepting()
		s.RollBackAll()
		if executors[0].rolled.Load() != 1 {
			t.Error("a transaction between two statements was not rolled back at once")
		}
		for _, e := range executors[1:] {
			if e.rolled.Load() != 0 {
				t.Error("a transaction was rolled back while its statement was running")
			}
			e.release <- struct{}{}
		}
		if err := results.Wait(); err != nil {
			t.Errorf("a running statement was not answered: %v", err)
		}
		for i, e := range executors[1:] {
			if e.rolled.Load() != 1 {
				t.Errorf("transaction %d was not rolled back after its statement", i+1)
			}
		}
		if _, err := s.Execute(key(1), next); citronusher.AsFailure(err).Reason() != citronusher.ReasonGone {
			t.Errorf("a later statement: %v", err)
		}
		if !s.Idle() {
			t.Error("a transaction is left")
		}
	})
}
