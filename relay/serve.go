package relay

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

const (
	idleGrace         = 500 * time.Millisecond // after the idle timeout, which the entry daemon of the session enforces
	drainPollInterval = 20 * time.Millisecond
)

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	// NewLocalExecutor returns an executor that runs tasks at this daemon.
	NewLocalExecutor func() citronusher.Executor
	// Plan returns the active plan.
	Plan func() citronusher.Plan
	// Logger receives the log events.
	Logger *slog.Logger
}

// Server runs the tasks of other daemons' sessions. It implements citronusher.TaskHandler.
type Server struct {
	config ServerConfig

	mu           sync.Mutex
	transactions map[citronusher.SessionKey]*remoteTransaction
	running      int
	draining     bool
	rollingBack  bool // open transactions are rolled back when their running statements end
}

// remoteTransaction is an open transaction of another daemon's session.
type remoteTransaction struct {
	mu       sync.Mutex
	executor citronusher.Executor
	timer    *time.Timer
	ended    bool
}

// NewServer returns a server without open transactions.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, transactions: map[citronusher.SessionKey]*remoteTransaction{}}
}

// Execute runs a task of another daemon's session. Its error is a *citronusher.Failure.
func (s *Server) Execute(key citronusher.SessionKey, task citronusher.Task) (citronusher.TaskResult, error) {
	if task.Part == citronusher.PartNext {
		return s.executeNext(key, task)
	}
	if err := s.checkRoute(task); err != nil {
		return citronusher.TaskResult{SessionPosition: task.SessionPosition}, err
	}
	if !s.beginTask() {
		return citronusher.TaskResult{SessionPosition: task.SessionPosition},
			citronusher.NewNotRun(citronusher.ReasonLeaving, "the group's home is draining")
	}
	defer s.endTask()
	executor := s.config.NewLocalExecutor()
	if task.Part == citronusher.PartNone {
		return executor.Execute(task)
	}
	s.Rollback(key)
	done, err := executor.Execute(task)
	if err == nil && done.Answer.State != citronusher.StateIdle {
		r := &remoteTransaction{executor: executor}
		s.addTransaction(key, r)
		s.continueRollback(key, r)
	}
	return done, err
}

// continueRollback rolls back, after a statement, a transaction that RollBackAll has passed over while the statement was
// running.
func (s *Server) continueRollback(key citronusher.SessionKey, r *remoteTransaction) {
	if s.isRollingBack() {
		s.rollBack(key, r)
	}
}

func (s *Server) isRollingBack() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollingBack
}

// checkRoute checks a task's route against this daemon's plan. A route that a newer plan has removed is not served any
// more. A route that a newer plan has added is not served before this daemon has that plan: otherwise its own callers would
// get the error that the route does not exist after this daemon had already served the route for others.
func (s *Server) checkRoute(task citronusher.Task) error {
	plan := s.config.Plan()
	_, known := plan.Routes[task.Route.Name]
	switch {
	case known:
		return nil
	case plan.Version > task.Version:
		return citronusher.NewNotRun(citronusher.ReasonDatabase, "database %s does not exist", task.Route.Name)
	default:
		return citronusher.NewNotRun(citronusher.ReasonHome,
			"the group's home has configuration version %d and has not received version %d",
			plan.Version, task.Version)
	}
}

// beginTask counts a running task and reports true, unless the daemon is draining.
func (s *Server) beginTask() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.running++
	return true
}

func (s *Server) endTask() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// addTransaction registers an open transaction and starts its idle timer, which rolls it back when no further task arrives.
func (s *Server) addTransaction(key citronusher.SessionKey, r *remoteTransaction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.mu.Lock()
	s.transactions[key] = r
	s.mu.Unlock()
	r.timer = time.AfterFunc(s.config.Plan().Idle+idleGrace, func() { s.expireIdle(key, r) })
}

// expireIdle rolls back a transaction whose entry daemon has sent no task within the idle timeout.
func (s *Server) expireIdle(key citronusher.SessionKey, r *remoteTransaction) {
	if s.rollBack(key, r) {
		events.Log(s.config.Logger, events.TransactionExpired, "instance", key.Instance, "session", key.Number)
	}
}

// newRolledBack returns the failure of a task whose transaction is no longer open at this home.
func newRolledBack() *citronusher.Failure {
	return citronusher.NewNotRun(citronusher.ReasonGone, "the transaction was rolled back at its home")
}

// executeNext runs a later statement of an open transaction.
func (s *Server) executeNext(key citronusher.SessionKey, task citronusher.Task) (citronusher.TaskResult, error) {
	s.mu.Lock()
	r := s.transactions[key]
	s.mu.Unlock()
	if r == nil {
		return citronusher.TaskResult{SessionPosition: task.SessionPosition}, newRolledBack()
	}
	defer s.continueRollback(key, r)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || s.isRollingBack() {
		return citronusher.TaskResult{SessionPosition: task.SessionPosition}, newRolledBack()
	}
	r.timer.Stop()
	done, err := r.executor.Execute(task)
	if err != nil || done.Answer.State == citronusher.StateIdle {
		r.ended = true
		s.remove(key, r)
		return done, err
	}
	r.timer.Reset(s.config.Plan().Idle + idleGrace)
	return done, nil
}

func (s *Server) remove(key citronusher.SessionKey, r *remoteTransaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transactions[key] == r {
		delete(s.transactions, key)
	}
}

// Rollback rolls back a session's open transaction, if there is one.
func (s *Server) Rollback(key citronusher.SessionKey) {
	s.mu.Lock()
	r := s.transactions[key]
	s.mu.Unlock()
	if r != nil {
		s.rollBack(key, r)
	}
}

// rollBack rolls back a transaction and reports whether it was open.
func (s *Server) rollBack(key citronusher.SessionKey, r *remoteTransaction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.rollBackLocked(key, r)
}

// rollBackLocked is rollBack for a caller that holds the transaction's mu.
func (s *Server) rollBackLocked(key citronusher.SessionKey, r *remoteTransaction) bool {
	if r.ended {
		return false
	}
	r.ended = true
	r.timer.Stop()
	r.executor.Rollback()
	s.remove(key, r)
	return true
}

// StopAccepting makes the server reject new tasks of other daemons. Open transactions continue.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Drain waits until no task or transaction of another daemon is left, or until ctx ends.
func (s *Server) Drain(ctx context.Context) {
	for ctx.Err() == nil && !s.Idle() {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}

// Idle reports whether no task or transaction of another daemon is left.
func (s *Server) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0 && len(s.transactions) == 0
}

// RollBackAll rolls back every open transaction of other daemons: at once those that are between two statements, and those
// of which a statement is running when it ends. It returns when the former are rolled back.
func (s *Server) RollBackAll() {
	s.mu.Lock()
	s.rollingBack = true
	open := maps.Clone(s.transactions)
	s.mu.Unlock()
	var tasks errgroup.Group
	for key, r := range open {
		if !r.mu.TryLock() {
			continue // a statement is running; executeNext continues after it
		}
		tasks.Go(func() error {
			defer r.mu.Unlock()
			s.rollBackLocked(key, r)
			return nil
		})
	}
	_ = tasks.Wait() // the tasks return no errors
}
