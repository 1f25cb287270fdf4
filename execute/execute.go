// Package execute runs a session's statements at a home of their database group. For each statement it acquires a
// connection to a suitable member, synchronises the connection's session state, and retries the statement if it did
// not run. Any other failure is returned with its outcome: ran, not run or unknown.
package execute

import (
	"errors"
	"log/slog"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/schedule"
	"citronusher.example/citronusher/targets"
)

const (
	answerGrace     = 300 * time.Millisecond // added to a statement's deadline, for an answer already in transit
	rollbackTimeout = 300 * time.Millisecond // timeout of a rollback
	maxFailedReads  = 2                      // members that may fail a read before the answer goes to the caller
)

// Config holds the dependencies of an Executor.
type Config struct {
	// Targets gives connections to members.
	Targets *targets.Set
	// Clock returns the current instant, from which deadlines are computed.
	Clock citronusher.MonotonicClock
	// Logger receives a record of each retried statement.
	Logger *slog.Logger
	// Meter counts retries and reads by member role.
	Meter *meter.Meter
}

// Executor runs the tasks of one session at this instance, one at a time. It implements citronusher.Executor.
type Executor struct {
	config   Config
	position citronusher.Position // of the session's last write
	trace    citronusher.Trace
	conn     *targets.Conn // connection of the open transaction; nil when none is open
	wrote    bool          // whether the open transaction has sent a write
}

// New returns an Executor with no open transaction.
func New(config Config) *Executor { return &Executor{config: config} }

// Execute runs a task and returns the member's answer, the session's last write position and the trace. A returned
// error is a *citronusher.Failure; position and trace are set in that case too.
func (e *Executor) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	e.position = task.SessionPosition
	e.trace = citronusher.Trace{Group: task.Route.Group}
	answer, err := e.dispatch(task)
	result := citronusher.TaskResult{SessionPosition: e.position, Trace: e.trace}
	if err != nil {
		return result, err
	}
	result.Answer = *answer
	return result, nil
}

func (e *Executor) dispatch(task citronusher.Task) (*citronusher.Answer, error) {
	switch {
	case task.Part == citronusher.PartNone:
		return e.runAutocommit(task)
	case task.Statement.Kind == citronusher.StatementCommit:
		return e.commit(task)
	case task.Part == citronusher.PartFirst:
		return e.runFirst(task)
	default:
		return e.runNext(task)
	}
}

// recordConn records in the trace that the statement is about to run on the connection. For a replica, it also records
// the minimum log position.
func (e *Executor) recordConn(conn *targets.Conn, after citronusher.Position) {
	t := &e.trace
	t.Attempts++
	t.Member, t.Term, t.After = conn.Member(), 0, after
	if conn.Primary() {
		t.Term, t.After = conn.Term(), citronusher.Position{}
	}
}

// recordRetry counts and logs a retry of the statement after failure.
func (e *Executor) recordRetry(task citronusher.Task, failure *citronusher.Failure) {
	e.config.Meter.CountRetry(failure.Reason())
	events.Log(e.config.Logger, events.RequestRetried, append(e.trace.LogArgs(task.Statement.ID, task.Route.Name),
		"reason", string(failure.Reason()), "error", failure.Message())...)
}

func (e *Executor) group(route citronusher.Route) (*targets.Group, error) {
	g, ok := e.config.Targets.Group(route.Group)
	if !ok {
		return nil, citronusher.NewNotRun(citronusher.ReasonHome,
			"database %s: group %s is not served by this instance", route.Name, route.Group)
	}
	return g, nil
}

// ticket returns the queue entry of a task.
func ticket(task citronusher.Task, requirement schedule.Requirement) *schedule.Ticket {
	t := schedule.NewTicket(requirement, task.Route.Priority, task.ArrivedAt.Add(task.Route.Goal), task.Deadline())
	t.SetMemberWaitDeadline(task.MemberWaitDeadline)
	return t
}

// runAutocommit runs a statement outside a transaction. A statement that did not run is retried until its deadline.
func (e *Executor) runAutocommit(task citronusher.Task) (*citronusher.Answer, error) {
	g, err := e.group(task.Route)
	if err != nil {
		return nil, err
	}
	requirement := schedule.Requirement{Primary: true}
	if !task.Writes {
		requirement = g.ReadRequirement(task.Route, e.position, task.ArrivedAt)
	}
	t := ticket(task, requirement)
	for {
		conn, err := g.Acquire(t)
		if err != nil {
			return nil, err
		}
		e.recordConn(conn, requirement.MinPosition)
		answer, err := e.runAutocommitOn(conn, task, requirement)
		failure, retry := e.shouldRetry(task, answer, err)
		if !retry {
			return answer, err
		}
		e.recordRetry(task, failure)
		t.Avoid(conn.Member())
	}
}

// shouldRetry reports whether a statement outside a transaction is retried, and the failure that causes the retry. A read
// has no effect when it fails, so another member may be able to run it.
func (e *Executor) shouldRetry(
	task citronusher.Task, answer *citronusher.Answer, err error,
) (failure *citronusher.Failure, retry bool) {
	expired := e.config.Clock.Instant() >= task.Deadline()
	switch {
	case err != nil:
		failure = citronusher.AsFailure(err)
		return failure, !expired && (failure.Outcome() == citronusher.NotRun || !task.Writes)
	case !task.Writes && answer.Refusal == citronusher.RefusalFailed:
		return citronusher.NewFailure(citronusher.Ran, citronusher.ReasonFailed,
			"the member ran the read and returned an error"), !expired && e.trace.Attempts <= maxFailedReads
	default:
		return nil, false
	}
}

// runAutocommitOn runs a statement outside a transaction on a connection and then releases or discards the connection.
func (e *Executor) runAutocommitOn(
	conn *targets.Conn, task citronusher.Task, requirement schedule.Requirement,
) (*citronusher.Answer, error) {
	command := citronusher.Command{Statement: task.Statement}
	if !conn.Primary() {
		command.After = requirement.MinPosition
	}
	answer, err := send(conn, task, command, task.Deadline().Add(answerGrace))
	if errors.Is(err, targets.ErrNotSent) {
		conn.Release()
		return nil, leaseEnded(err)
	}
	e.countRequest(conn, task.Route)
	unconfirmed := errors.Is(err, targets.ErrUnconfirmed)
	if err != nil && !unconfirmed {
		conn.Discard()
		return nil, connectionLost(err, task.Writes)
	}
	if answer.State != citronusher.StateIdle {
		conn.Discard()
		return nil, citronusher.NewUnknown(citronusher.ReasonBroken, "the member left a transaction open")
	}
	if answer.Refusal.NotRun() {
		conn.Release()
		return nil, rejected(answer.Refusal)
	}
	conn.Release()
	if unconfirmed {
		return nil, notConfirmed(err, task.Writes)
	}
	if task.Writes && answer.Refusal == citronusher.RefusalNone {
		e.position = answer.Position
	}
	return answer, nil
}

// leaseEnded returns the failure of a statement that was not sent to the primary, or that has had no effect there.
func leaseEnded(err error) *citronusher.Failure {
	return citronusher.NewNotRun(citronusher.ReasonClosed, "%v", err)
}

// notConfirmed returns the failure of a statement that the primary has answered after another one may have taken over. The
// outcome is not run for a read, whose answer is dropped, and unknown for a write.
func notConfirmed(err error, writes bool) *citronusher.Failure {
	if writes {
		return citronusher.NewUnknown(citronusher.ReasonConfirm, "%v", err)
	}
	return leaseEnded(err)
}

// countRequest counts a request that was sent to the primary or a replica, and whether a replica may serve it.
func (e *Executor) countRequest(conn *targets.Conn, route citronusher.Route) {
	if route.Consistency != citronusher.ConsistencyPrimary {
		e.config.Meter.ReplicaEligible().Inc(1)
	}
	if conn.Primary() {
		e.config.Meter.PrimaryRequests().Inc(1)
	} else {
		e.config.Meter.ReplicaRequests().Inc(1)
	}
}

// connectionLost returns the failure of a statement whose connection, or whose session setup commands, failed. The
// outcome is not run for a read, which can be repeated, and unknown for a write, which may have taken effect.
func connectionLost(err error, writes bool) error {
	if writes {
		return citronusher.NewUnknown(citronusher.ReasonBroken,
			"the member connection or its session setup failed during the write: %v", err)
	}
	return citronusher.NewNotRun(citronusher.ReasonBroken,
		"the member connection or its session setup failed during the read: %v", err)
}

// rejected returns the failure of a statement that a member rejected without running it.
func rejected(refusal citronusher.Refusal) *citronusher.Failure {
	switch refusal {
	case citronusher.RefusalBehind:
		return citronusher.NewNotRun(citronusher.ReasonBehind,
			"the replica has not reached the log position that the read requires")
	case citronusher.RefusalReadOnly:
		return citronusher.NewNotRun(citronusher.ReasonPrimary, "the member is not the primary")
	default:
		return citronusher.NewNotRun(citronusher.ReasonFull, "the member did not complete the statement; try again later")
	}
}
