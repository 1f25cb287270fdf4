package proxy

import (
	"errors"
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

// session is one caller's session.
type session struct {
	proxy    *Proxy
	caller   citronusher.Caller
	database string
	values   map[string]string
	prepared map[string]citronusher.PreparedStatement
	executor citronusher.Executor
	seen     citronusher.Position // of the session's last write
	trace    citronusher.Trace    // of the statement that is being served

	// mu guards the open transaction, which a timer may roll back between two statements.
	mu    sync.Mutex
	state citronusher.TransactionState
	tx    transaction
	timer *time.Timer
	busy  bool // a statement is being served
}

// transaction is what the session's open transaction needs.
type transaction struct {
	route    citronusher.Route
	version  uint64 // of the plan that the route is from
	readOnly bool
	beganAt  citronusher.Instant
	held     bool // a member has begun it
	expired  bool
}

// part returns a statement's task as a part of the transaction.
func (t *transaction) part(task citronusher.Task) citronusher.Task {
	task.Route, task.Version, task.ReadOnly, task.BeganAt = t.route, t.version, t.readOnly, t.beganAt
	task.Part = citronusher.PartFirst
	if t.held {
		task.Part = citronusher.PartNext
	}
	return task
}

func newSession(p *Proxy, caller citronusher.Caller) *session {
	return &session{
		proxy: p, caller: caller, values: map[string]string{}, prepared: map[string]citronusher.PreparedStatement{},
		executor: p.config.NewExecutor(),
	}
}

// run serves the session until it ends.
func (s *session) run() {
	err := s.serve()
	s.end()
	if err != nil && !errors.Is(err, citronusher.ErrClosed) {
		events.Log(s.proxy.config.Logger, events.CallerFailed, "database", s.database, "error", err)
	}
	if err := s.caller.Close(); err != nil {
		events.Log(s.proxy.config.Logger, events.CallerFailed, "database", s.database, "error", err)
	}
}

func (s *session) serve() error {
	if err := s.start(); err != nil {
		return err
	}
	for {
		statement, err := s.caller.Next()
		if errors.Is(err, citronusher.ErrInvalid) {
			return s.caller.Reject(citronusher.NewNotRun(citronusher.ReasonInput, "%v", err))
		}
		if err != nil {
			return err
		}
		if err := s.one(statement); err != nil {
			return err
		}
		if s.proxy.isDraining() {
			s.drain()
		}
	}
}

// start answers the caller's first message.
func (s *session) start() error {
	database, err := s.caller.Startup()
	if errors.Is(err, citronusher.ErrInvalid) {
		return s.caller.Reject(citronusher.NewNotRun(citronusher.ReasonInput, "%v", err))
	}
	if err != nil {
		return err
	}
	s.database = database
	if !s.awaitPlan() {
		failure := citronusher.NewNotRun(citronusher.ReasonLeaving, "no configuration is known yet; try again in a second")
		s.proxy.config.Meter.CountFailure(failure)
		return s.caller.Reject(failure)
	}
	if _, _, err := s.route(); err != nil {
		failure := citronusher.AsFailure(err)
		s.proxy.config.Meter.CountFailure(failure)
		return s.caller.Reject(failure)
	}
	return s.caller.Accept()
}

// awaitPlan waits a short time for the daemon's first plan.
func (s *session) awaitPlan() bool {
	deadline := s.proxy.config.Clock.Instant().Add(planLimit)
	for s.proxy.config.Plan().Version == 0 {
		if s.proxy.config.Clock.Instant() >= deadline || s.proxy.isDraining() {
			return false
		}
		time.Sleep(planPoll)
	}
	return true
}

func unknownDatabase(database string) *citronusher.Failure {
	return citronusher.NewNotRun(citronusher.ReasonDatabase, "database %s does not exist", database)
}

// one serves one statement.
func (s *session) one(statement citronusher.Statement) error {
	arrived := s.proxy.config.Clock.Instant()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = true
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.proxy.config.Meter.Requests().Inc(1)
	s.trace = citronusher.Trace{}
	answer, err := s.handle(statement, arrived)
	s.measure(statement, s.proxy.config.Clock.Instant().Sub(arrived), err)
	s.busy = false
	if s.state != citronusher.StateIdle && s.tx.held {
		s.timer = time.AfterFunc(s.proxy.config.Plan().Idle, s.expireIdle)
	}
	return s.reply(statement, answer, err)
}

// measure counts how long a statement took, and logs one that was served after its route's goal.
func (s *session) measure(statement citronusher.Statement, took time.Duration, err error) {
	meter := s.proxy.config.Meter
	meter.Latency().Update(took.Microseconds())
	route, ok := s.proxy.config.Plan().Routes[s.database]
	if !ok || s.trace.Attempts == 0 {
		return
	}
	meter.ConsistencyLatency(route.Consistency).Update(took.Microseconds())
	if err == nil && took > route.Goal {
		events.Log(s.proxy.config.Logger, events.LatencyGoalMissed, append(s.trace.LogArgs(statement.ID, s.database),
			"ms", took.Milliseconds())...)
	}
}

// reply tells the caller how its statement ended.
func (s *session) reply(statement citronusher.Statement, answer *citronusher.Answer, err error) error {
	switch {
	case err != nil:
		failure := citronusher.AsFailure(err)
		s.proxy.config.Meter.CountFailure(failure)
		events.Log(s.proxy.config.Logger, events.RequestFailed, append(s.trace.LogArgs(statement.ID, s.database),
			"outcome", failure.Outcome().String(), "reason", string(failure.Reason()), "error", failure.Message())...)
		return s.caller.SendFailure(failure, s.state)
	case answer != nil:
		return s.caller.SendAnswer(*answer, s.state)
	default:
		return s.caller.SendDone(s.state)
	}
}

// drain ends the session at once when it is between requests and outside a transaction.
func (s *session) drain() {
	if !s.mu.TryLock() {
		return // a statement runs; the session looks again after it
	}
	defer s.mu.Unlock()
	if s.state == citronusher.StateIdle && !s.busy {
		s.caller.Interrupt()
	}
}

// expire rolls an open transaction back between two statements. The caller is told by the answer to its next statement.
func (s *session) expire() {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	s.rollBackIdle()
}

// expireIdle is expire for a timer.
func (s *session) expireIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollBackIdle()
}

// rollBackIdle gives the transaction's connection back. The caller holds mu.
func (s *session) rollBackIdle() {
	if s.busy || !s.tx.held {
		return
	}
	s.giveBack()
	s.tx.expired = true
	s.state = citronusher.StateFailed
	events.Log(s.proxy.config.Logger, events.TransactionExpired, "database", s.database)
}

// end rolls an open transaction back after the caller has gone.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.giveBack()
}

// giveBack rolls the open transaction back and releases its connection. The caller holds mu.
func (s *session) giveBack() {
	if s.tx.held {
		s.executor.Rollback()
	}
	s.tx.held = false
}

const (
	planLimit = 1 * time.Second
	planPoll  = 20 * time.Millisecond
)
