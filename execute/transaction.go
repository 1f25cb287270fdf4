package execute

import (
	"errors"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
	"citronusher.example/citronusher/targets"
)

// runFirst begins a transaction and runs its first statement. If the statement did not run, the transaction is begun
// again on another connection, which is safe because no other statement of it has run yet.
func (e *Executor) runFirst(task citronusher.Task) (*citronusher.Answer, error) {
	for {
		if err := e.begin(task); err != nil {
			return nil, err
		}
		answer, err := e.runInTransaction(task)
		retry := err == nil && answer.Refusal.NotRun() ||
			err != nil && (!task.Writes || citronusher.AsFailure(err).Outcome() == citronusher.NotRun)
		if !retry || e.config.Clock.Instant() >= task.Deadline() {
			return answer, err
		}
		e.Rollback()
		e.recordRetry(task, rejected(citronusher.RefusalBusy))
	}
}

// runNext runs a later statement of the open transaction.
func (e *Executor) runNext(task citronusher.Task) (*citronusher.Answer, error) {
	if e.conn == nil {
		return nil, transactionLost()
	}
	return e.runInTransaction(task)
}

// transactionLost returns the failure of a statement whose transaction has lost its connection. The outcome is not run,
// because a member rolls back a transaction whose connection closes before the commit.
func transactionLost() *citronusher.Failure {
	return citronusher.NewNotRun(citronusher.ReasonGone,
		"the transaction's member connection is lost; the transaction is rolled back")
}

// begin acquires a connection for the transaction and begins the transaction on it, retrying until the deadline. It
// waits for the answer to BEGIN before anything else is sent: a statement pipelined after a rejected BEGIN would run
// outside the transaction.
func (e *Executor) begin(task citronusher.Task) error {
	g, err := e.group(task.Route)
	if err != nil {
		return err
	}
	requirement := schedule.Requirement{Primary: true, Pinned: true}
	if task.ReadOnly {
		requirement = g.ReadRequirement(task.Route, e.position, task.BeganAt)
		requirement.Pinned = true
	}
	e.wrote = false
	t := ticket(task, requirement)
	for {
		conn, err := g.Acquire(t)
		if err != nil {
			return err
		}
		e.conn = conn
		e.recordConn(conn, requirement.MinPosition)
		failure := e.beginOn(task, requirement)
		if failure == nil {
			return nil
		}
		e.conn = nil
		if e.config.Clock.Instant() >= t.Deadline() {
			return failure
		}
		e.recordRetry(task, failure)
		t.Avoid(conn.Member())
	}
}

// beginOn begins the transaction on the connection of e. If that fails, it releases or discards the connection.
func (e *Executor) beginOn(task citronusher.Task, requirement schedule.Requirement) *citronusher.Failure {
	conn := e.conn
	begin := citronusher.Command{Statement: citronusher.Statement{Kind: citronusher.StatementBegin}}
	if task.ReadOnly {
		begin.Statement.Kind = citronusher.StatementBeginReadOnly
		if !conn.Primary() {
			begin.After = requirement.MinPosition
		}
	}
	answer, err := send(conn, task, begin, task.Deadline())
	if errors.Is(err, targets.ErrNotSent) {
		conn.Release()
		return leaseEnded(err)
	}
	e.countRequest(conn, task.Route)
	if err != nil {
		conn.Discard()
		if errors.Is(err, targets.ErrUnconfirmed) {
			return leaseEnded(err)
		}
		return citronusher.NewNotRun(citronusher.ReasonBroken,
			"the member connection or its session setup failed before the transaction began")
	}
	switch {
	case answer.Refusal == citronusher.RefusalNone && answer.State == citronusher.StateOpen:
		conn.State().BeginTransaction()
		return nil
	case answer.Refusal != citronusher.RefusalNone && answer.State == citronusher.StateIdle:
		conn.Release()
		return rejected(answer.Refusal)
	default:
		conn.Discard()
		return citronusher.NewNotRun(citronusher.ReasonBroken, "the member did not begin the transaction")
	}
}

// unconfirmedTransaction returns the failure of a statement in a transaction whose primary may have been replaced. Nothing
// of the transaction is kept.
func unconfirmedTransaction(err error) *citronusher.Failure {
	return citronusher.NewNotRun(citronusher.ReasonGone, "%v; the transaction is rolled back", err)
}

// endedByLease reports whether a statement failed because the primary's lease ended, on a connection that is in order.
func endedByLease(err error) bool {
	return errors.Is(err, targets.ErrNotSent) || errors.Is(err, targets.ErrUnconfirmed)
}

// runInTransaction runs a statement on the transaction's connection and returns the answer. It discards the connection when
// the connection or its session setup fails, when the primary's lease ends, or when the transaction is no longer open.
func (e *Executor) runInTransaction(task citronusher.Task) (*citronusher.Answer, error) {
	conn := e.conn
	if e.trace.Attempts == 0 {
		e.recordConn(conn, citronusher.Position{})
	}
	e.wrote = e.wrote || task.Writes
	answer, err := send(conn, task, citronusher.Command{Statement: task.Statement}, task.Deadline().Add(answerGrace))
	if err != nil {
		conn.Discard()
		e.conn = nil
		if endedByLease(err) {
			return nil, unconfirmedTransaction(err)
		}
		return nil, transactionLost()
	}
	if answer.State == citronusher.StateIdle {
		conn.Discard()
		e.conn = nil
		return nil, citronusher.NewNotRun(citronusher.ReasonGone, "the member ended the transaction; its changes are not kept")
	}
	return answer, nil
}

// commit runs the transaction's commit, beginning the transaction first if the commit is its first statement. When the
// primary's lease ended, the outcome is unknown after writes, and not run otherwise: nothing was to be kept.
func (e *Executor) commit(task citronusher.Task) (*citronusher.Answer, error) {
	if task.Part == citronusher.PartFirst {
		if err := e.begin(task); err != nil {
			return nil, err
		}
	}
	if e.conn == nil {
		return nil, transactionLost()
	}
	conn, wrote := e.conn, e.wrote
	e.conn = nil
	if e.trace.Attempts == 0 {
		e.recordConn(conn, citronusher.Position{})
	}
	answer, err := send(conn, task, citronusher.Command{Statement: task.Statement}, task.Deadline().Add(answerGrace))
	unconfirmed := errors.Is(err, targets.ErrUnconfirmed)
	if err != nil && !unconfirmed {
		conn.Discard()
		return nil, commitLost(answer, err, wrote)
	}
	if answer.State != citronusher.StateIdle {
		conn.Discard()
	} else {
		defer conn.Release()
	}
	conn.State().EndTransaction(answer.Refusal == citronusher.RefusalNone)
	switch {
	case unconfirmed && wrote:
		return nil, notConfirmed(err, true)
	case unconfirmed:
		return nil, unconfirmedTransaction(err)
	case answer.Refusal == citronusher.RefusalNone && wrote:
		e.position = answer.Position
	}
	return answer, nil
}

// commitLost returns the failure of a commit that was not sent, or whose connection or session setup failed. answer is the
// answer to the commit, if there is one.
func commitLost(answer *citronusher.Answer, err error, wrote bool) *citronusher.Failure {
	switch {
	case errors.Is(err, targets.ErrNotSent):
		return unconfirmedTransaction(err)
	case !wrote:
		return citronusher.NewFailure(citronusher.Ran, citronusher.ReasonBroken,
			"the member connection or its session setup failed during the commit of a transaction that wrote nothing")
	case answer != nil && answer.Refusal.NotRun():
		return transactionLost()
	default:
		return citronusher.NewUnknown(citronusher.ReasonBroken,
			"the member connection or its session setup failed during the commit: %v", err)
	}
}

// Rollback rolls back the open transaction, if there is one, and releases its connection. The connection is discarded
// when the rollback is not answered within rollbackTimeout.
func (e *Executor) Rollback() {
	conn := e.conn
	e.conn = nil
	if conn == nil {
		return
	}
	answer, err := conn.Rollback(e.config.Clock.Instant().Add(rollbackTimeout))
	if err != nil || answer.State != citronusher.StateIdle {
		conn.Discard()
		return
	}
	conn.State().EndTransaction(false)
	conn.Release()
}
