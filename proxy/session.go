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
	proxy      *Proxy
	caller     citronusher.Caller
	database   string
	values     map[string]string
	prepared   map[string]citronusher.PreparedStatement
	stateBytes int64 // of values and prepared, with their names
	executor   citronusher.Executor
	position   citronusher.Position // position of the session's last write
	trace      citronusher.Trace    // trace of the current statement
	rejected   rejection            // the last request that was rejected for lack of capacity

	// mu guards the fields below. The idle timer may roll back the open transaction between two statements.
	mu    sync.Mutex
	state citronusher.TransactionState
	tx    transaction
	timer *time.Timer
	busy  bool // a statement is being served
}

// transaction is the state of the session's open transaction.
type transaction struct {
	route    citronusher.Route
	version  uint64 // version of the plan that the route comes from
	readOnly bool
	beganAt  citronusher.Instant
	begun    bool // the transaction is open at a member
	expired  bool // it was rolled back between two statements, for being idle or for the daemon's stop
}

// withTransaction returns the task with the fields that make it part of the transaction.
func (t *transaction) withTransaction(task citronusher.Task) citronusher.Task {
	task.Route, task.Version, task.ReadOnly, task.BeganAt = t.route, t.version, t.readOnly, t.beganAt
	task.Part = citronusher.PartFirst
	if t.begun {
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

// run serves the session until it ends, rolls back its open transaction and closes the connection.
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
		if err := s.serveStatement(statement); err != nil {
			return err
		}
		s.continueStop()
	}
}

// continueStop does, after a statement, what the steps of the daemon's stop could not do to the session while the statement
// was running.
func (s *session) continueStop() {
	if s.proxy.rollingBack.Load() {
		s.tryRollBack()
	}
	if s.proxy.isDraining() {
		s.interruptIfIdle()
	}
}

// start reads the caller's startup message and accepts or rejects the session.
func (s *session) start() error {
	database, err := s.caller.Startup()
	if errors.Is(err, citronusher.ErrInvalid) {
		return s.caller.Reject(citronusher.NewNotRun(citronusher.ReasonInput, "%v", err))
	}
	if err != nil {
		return err
	}
	s.database = database
	if !s.waitForPlan() {
		failure := citronusher.NewNotRun(citronusher.ReasonLeaving,
			"the configuration has not been loaded yet; try again in a second")
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

// waitForPlan waits up to planWaitTimeout for the daemon's first plan and reports whether there is one.
func (s *session) waitForPlan() bool {
	deadline := s.proxy.config.Clock.Instant().Add(planWaitTimeout)
	for s.proxy.config.Plan().Version == 0 {
		if s.proxy.config.Clock.Instant() >= deadline || s.proxy.isDraining() {
			return false
		}
		time.Sleep(planPollInterval)
	}
	return true
}

func newUnknownDatabase(database string) *citronusher.Failure {
	return citronusher.NewNotRun(citronusher.ReasonDatabase, "database %s does not exist", database)
}

// serveStatement runs one statement and sends the reply.
func (s *session) serveStatement(statement citronusher.Statement) error {
	arrivedAt := s.proxy.config.Clock.Instant()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = true
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.proxy.config.Meter.Requests().Inc(1)
	s.trace = citronusher.Trace{}
	if s.proxy.rollingBack.Load() {
		s.rollBackOpen()
	}
	answer, err := s.handle(statement, arrivedAt)
	took := s.proxy.config.Clock.Instant().Sub(arrivedAt)
	s.recordLatency(statement, took, err)
	s.busy = false
	if s.state != citronusher.StateIdle && s.tx.begun {
		s.timer = time.AfterFunc(s.proxy.config.Plan().Idle, s.onIdleTimeout)
	}
	return s.reply(statement, answer, took, err)
}

// recordLatency records the latency of a statement, and logs a successful statement that missed its route's latency goal.
func (s *session) recordLatency(statement citronusher.Statement, took time.Duration, err error) {
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

// reply sends the answer or the failure of a statement to the caller.
func (s *session) reply(
	statement citronusher.Statement, answer *citronusher.Answer, took time.Duration, err error,
) error {
	switch {
	case err != nil:
		failure := citronusher.AsFailure(err)
		s.proxy.config.Meter.CountFailure(failure)
		events.Log(s.proxy.config.Logger, events.RequestFailed, append(s.trace.LogArgs(statement.ID, s.database),
			"outcome", failure.Outcome().String(), "reason", string(failure.Reason()), "error", failure.Message(),
			"ms", took.Milliseconds())...)
		return s.caller.SendFailure(failure, s.state)
	case answer != nil:
		return s.caller.SendAnswer(*answer, s.state)
	default:
		return s.caller.SendDone(s.state)
	}
}

// interruptIfIdle ends the session when it is between requests and outside a transaction.
func (s *session) interruptIfIdle() {
	if !s.mu.TryLock() {
		return // a statement is running; the session calls this again after it
	}
	defer s.mu.Unlock()
	if s.state == citronusher.StateIdle && !s.busy {
		s.caller.Interrupt()
	}
}

// tryRollBack rolls back the open transaction unless a statement is running; the session calls it again after that one. The
// caller gets the failure as the answer to its next statement.
func (s *session) tryRollBack() {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	s.rollBackOpen()
}

// rollBackOpen rolls back the open transaction and marks it as expired, also when only its begin was received. The caller
// holds mu.
func (s *session) rollBackOpen() {
	if s.state == citronusher.StateIdle || s.tx.expired {
		return
	}
	s.rollBackAndRelease()
	if s.state == citronusher.StateOpen {
		s.tx.expired = true
		s.state = citronusher.StateFailed
		s.logExpired(true)
	}
}

// onIdleTimeout is called by the idle timer. It waits for the lock.
func (s *session) onIdleTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollBackIdle()
}

// rollBackIdle rolls back a transaction that is between two statements and marks it as expired. The caller holds mu.
func (s *session) rollBackIdle() {
	if s.busy || !s.tx.begun {
		return
	}
	s.rollBackAndRelease()
	s.tx.expired = true
	s.state = citronusher.StateFailed
	s.logExpired(false)
}

func (s *session) logExpired(stopping bool) {
	age := s.proxy.config.Clock.Instant().Sub(s.tx.beganAt)
	events.Log(s.proxy.config.Logger, events.TransactionExpired, "database", s.database, "stopping", stopping,
		"age", age.Milliseconds())
}

// end stops the idle timer and rolls back an open transaction after the caller's connection has ended.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.rollBackAndRelease()
	s.clearState()
}

// abort ends the session after an unexpected error, without its lock, which may still be held.
func (s *session) abort() {
	if err := s.caller.Close(); err != nil {
		events.Log(s.proxy.config.Logger, events.CallerFailed, "database", s.database, "error", err)
	}
	s.executor.Rollback()
	s.clearState()
}

// rollBackAndRelease rolls back the open transaction and so releases its connection. The caller holds mu.
func (s *session) rollBackAndRelease() {
	if s.tx.begun {
		s.executor.Rollback()
	}
	s.tx.begun = false
}

const (
	planWaitTimeout  = 1 * time.Second
	planPollInterval = 20 * time.Millisecond
)
