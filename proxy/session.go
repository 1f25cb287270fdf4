package proxy

import (
	"errors"
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/targets"
)

// prepared is a statement that the session has prepared.
type prepared struct {
	shared string // its name on member connections, the same for all sessions
	shape  string
	writes bool
}

// session is one caller's session.
type session struct {
	proxy    *Proxy
	caller   citronusher.Caller
	database string
	values   map[string]string
	prepared map[string]prepared
	seen     citronusher.Position // of the session's last write
	trace    trace                // of the statement that is being served

	// mu guards the open transaction, which a timer may roll back between two statements.
	mu    sync.Mutex
	state citronusher.TransactionState
	tx    transaction
	timer *time.Timer
	busy  bool // a statement is being served
}

// trace is what a log line tells of a statement.
type trace struct {
	id, group, member string
	term              uint64 // of the primary that was used; 0 for a replica
	after             citronusher.Position
	tries             int
}

// use records the connection that the statement got.
func (t *trace) use(hold *targets.Hold, after citronusher.Position) {
	t.tries++
	t.member, t.term, t.after = hold.Member(), 0, after
	if hold.Primary() {
		t.term, t.after = hold.Term(), citronusher.Position{}
	}
}

// args are the trace as fields of a log line.
func (t *trace) args(database string) []any {
	return []any{
		"id", t.id, "database", database, "group", t.group, "member", t.member, "term", t.term, "after", t.after.String(),
		"tries", t.tries,
	}
}

// transaction is what the session's open transaction needs.
type transaction struct {
	route    citronusher.Route
	readOnly bool
	beganAt  citronusher.Instant
	hold     *targets.Hold // nil before the first statement
	wrote    bool
	expired  bool
}

func newSession(p *Proxy, caller citronusher.Caller) *session {
	return &session{proxy: p, caller: caller, values: map[string]string{}, prepared: map[string]prepared{}}
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
			return s.caller.Reject(citronusher.Refuse(citronusher.ReasonInput, "%v", err))
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
		return s.caller.Reject(citronusher.Refuse(citronusher.ReasonInput, "%v", err))
	}
	if err != nil {
		return err
	}
	s.database = database
	if !s.awaitPlan() {
		failure := citronusher.Refuse(citronusher.ReasonLeaving, "no configuration is known yet; try again in a second")
		s.proxy.config.Meter.Failed(failure)
		return s.caller.Reject(failure)
	}
	if _, ok := s.proxy.config.Plan().Routes[database]; !ok {
		failure := unknownDatabase(database)
		s.proxy.config.Meter.Failed(failure)
		return s.caller.Reject(failure)
	}
	return s.caller.Accept()
}

// awaitPlan waits a short time for the daemon's first plan.
func (s *session) awaitPlan() bool {
	deadline := s.proxy.config.Timer.Instant().Add(planLimit)
	for s.proxy.config.Plan().Version == 0 {
		if s.proxy.config.Timer.Instant() >= deadline || s.proxy.isDraining() {
			return false
		}
		time.Sleep(planPoll)
	}
	return true
}

func unknownDatabase(database string) *citronusher.Failure {
	return citronusher.Refuse(citronusher.ReasonDatabase, "database %s does not exist", database)
}

// one serves one statement.
func (s *session) one(statement citronusher.Statement) error {
	arrived := s.proxy.config.Timer.Instant()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = true
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.proxy.config.Meter.Requests().Inc(1)
	s.trace = trace{id: statement.ID}
	answer, err := s.handle(statement, arrived)
	s.measure(s.proxy.config.Timer.Instant().Sub(arrived), err)
	s.busy = false
	if s.state != citronusher.StateIdle && s.tx.hold != nil {
		s.timer = time.AfterFunc(s.proxy.config.Plan().Idle, s.expireIdle)
	}
	return s.reply(answer, err)
}

// measure counts how long a statement took, and logs one that was served after its route's goal.
func (s *session) measure(took time.Duration, err error) {
	meter := s.proxy.config.Meter
	meter.Latency().Update(took.Microseconds())
	route, ok := s.proxy.config.Plan().Routes[s.database]
	if !ok || s.trace.tries == 0 {
		return
	}
	meter.ProfileLatency(route.Consistency).Update(took.Microseconds())
	if err == nil && took > route.Goal {
		events.Log(s.proxy.config.Logger, events.RequestLate, append(s.trace.args(s.database), "ms", took.Milliseconds())...)
	}
}

// retried counts and logs that the statement is tried again.
func (s *session) retried(failure *citronusher.Failure) {
	s.proxy.config.Meter.Retried(failure.Reason())
	events.Log(s.proxy.config.Logger, events.RequestRetried, append(s.trace.args(s.database),
		"reason", string(failure.Reason()), "error", failure.Message())...)
}

// reply tells the caller how its statement ended.
func (s *session) reply(answer *citronusher.Answer, err error) error {
	switch {
	case err != nil:
		failure := citronusher.AsFailure(err)
		s.proxy.config.Meter.Failed(failure)
		events.Log(s.proxy.config.Logger, events.RequestFailed, append(s.trace.args(s.database),
			"outcome", failure.Outcome().String(), "reason", string(failure.Reason()), "error", failure.Message())...)
		return s.caller.Refuse(failure, s.state)
	case answer != nil:
		return s.caller.Answer(*answer, s.state)
	default:
		return s.caller.Done(s.state)
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
	if s.busy || s.tx.hold == nil {
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
	hold := s.tx.hold
	s.tx.hold = nil
	if hold == nil {
		return
	}
	rollback := citronusher.Command{Statement: citronusher.Statement{Kind: citronusher.StatementRollback}}
	answers, err := hold.Run(s.proxy.config.Timer.Instant().Add(rollbackLimit), rollback)
	if err != nil || answers[0].State != citronusher.StateIdle {
		hold.Discard()
		return
	}
	hold.Release()
}

const (
	rollbackLimit = 300 * time.Millisecond
	planLimit     = 1 * time.Second
	planPoll      = 20 * time.Millisecond
)
