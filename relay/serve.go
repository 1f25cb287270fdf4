package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

const (
	idleGrace = 500 * time.Millisecond // beyond an idle transaction's limit, which its own daemon keeps
	drainPoll = 20 * time.Millisecond
)

// ServerConfig holds what serving other daemons' sessions needs.
type ServerConfig struct {
	// NewLocalExecutor returns an executor of this daemon.
	NewLocalExecutor func() citronusher.Executor
	// Plan returns the plan in force.
	Plan func() citronusher.Plan
	// Logger receives the events.
	Logger *slog.Logger
}

// Server runs the tasks of other daemons' sessions. It implements citronusher.TaskHandler.
type Server struct {
	config ServerConfig

	mu       sync.Mutex
	sessions map[citronusher.SessionKey]*remote
	running  int
	leaving  bool
}

// remote is an open transaction of another daemon's session.
type remote struct {
	mu       sync.Mutex
	executor citronusher.Executor
	timer    *time.Timer
	ended    bool
}

// NewServer returns a server without sessions.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, sessions: map[citronusher.SessionKey]*remote{}}
}

// Execute runs a task of a session of another daemon.
func (s *Server) Execute(key citronusher.SessionKey, task citronusher.Task) (citronusher.TaskResult, error) {
	if task.Part == citronusher.PartNext {
		return s.next(key, task)
	}
	if err := s.allowed(task); err != nil {
		return citronusher.TaskResult{SessionPosition: task.SessionPosition}, err
	}
	if !s.begin() {
		return citronusher.TaskResult{SessionPosition: task.SessionPosition},
			citronusher.NewNotRun(citronusher.ReasonLeaving, "the group's home is stopping")
	}
	defer s.end()
	executor := s.config.NewLocalExecutor()
	if task.Part == citronusher.PartNone {
		return executor.Execute(task)
	}
	s.Rollback(key)
	done, err := executor.Execute(task)
	if err == nil && done.Answer.State != citronusher.StateIdle {
		s.keep(key, &remote{executor: executor})
	}
	return done, err
}

// allowed checks a task against this daemon's plan. A route that a newer plan has dropped is not served any more, and
// one that a newer plan has added is not served before this daemon has that plan: its own callers would be told that the
// route does not exist after a member has served it from here.
func (s *Server) allowed(task citronusher.Task) error {
	plan := s.config.Plan()
	_, known := plan.Routes[task.Route.Name]
	switch {
	case known:
		return nil
	case plan.Version > task.Version:
		return citronusher.NewNotRun(citronusher.ReasonDatabase, "database %s does not exist", task.Route.Name)
	default:
		return citronusher.NewNotRun(citronusher.ReasonHome, "the group's home has version %d of the configuration, not yet %d",
			plan.Version, task.Version)
	}
}

// begin counts a task unless the daemon is stopping.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// keep holds an open transaction until its next task, and rolls it back when none comes.
func (s *Server) keep(key citronusher.SessionKey, r *remote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.mu.Lock()
	s.sessions[key] = r
	s.mu.Unlock()
	r.timer = time.AfterFunc(s.config.Plan().Idle+idleGrace, func() { s.expire(key, r) })
}

// expire rolls a transaction back whose daemon has not sent anything for too long.
func (s *Server) expire(key citronusher.SessionKey, r *remote) {
	if s.drop(key, r) {
		events.Log(s.config.Logger, events.TransactionExpired, "instance", key.Instance, "session", key.Number)
	}
}

// rolledBack says that the home has ended a transaction that was not committed.
func rolledBack() *citronusher.Failure {
	return citronusher.NewNotRun(citronusher.ReasonGone, "the transaction was rolled back at its home; nothing of it is kept")
}

// next runs a later part of an open transaction.
func (s *Server) next(key citronusher.SessionKey, task citronusher.Task) (citronusher.TaskResult, error) {
	s.mu.Lock()
	r := s.sessions[key]
	s.mu.Unlock()
	if r == nil {
		return citronusher.TaskResult{SessionPosition: task.SessionPosition}, rolledBack()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return citronusher.TaskResult{SessionPosition: task.SessionPosition}, rolledBack()
	}
	r.timer.Stop()
	done, err := r.executor.Execute(task)
	if err != nil || done.Answer.State == citronusher.StateIdle {
		r.ended = true
		s.forget(key, r)
		return done, err
	}
	r.timer.Reset(s.config.Plan().Idle + idleGrace)
	return done, nil
}

func (s *Server) forget(key citronusher.SessionKey, r *remote) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[key] == r {
		delete(s.sessions, key)
	}
}

// Rollback rolls a session's open transaction back.
func (s *Server) Rollback(key citronusher.SessionKey) {
	s.mu.Lock()
	r := s.sessions[key]
	s.mu.Unlock()
	if r != nil {
		s.drop(key, r)
	}
}

// drop rolls a transaction back and reports whether it was open.
func (s *Server) drop(key citronusher.SessionKey, r *remote) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	r.timer.Stop()
	r.executor.Rollback()
	s.forget(key, r)
	return true
}

// StopAccepting refuses new work from other daemons. Open transactions go on.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Drain waits until nothing runs for other daemons, or until ctx ends.
func (s *Server) Drain(ctx context.Context) {
	for ctx.Err() == nil && s.busy() {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
		}
	}
}

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running > 0 || len(s.sessions) > 0
}

// RollBackAll rolls every open transaction of other daemons back.
func (s *Server) RollBackAll() {
	s.mu.Lock()
	open := make(map[citronusher.SessionKey]*remote, len(s.sessions))
	for key, r := range s.sessions {
		open[key] = r
	}
	s.mu.Unlock()
	for key, r := range open {
		s.drop(key, r)
	}
}
