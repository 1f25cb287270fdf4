package execute

import (
	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

// runFirst begins a transaction and runs its first statement. If the statement did not run, the transaction is begun
// again on another connection, which is safe because no other statement of it has run yet.
func (e *Executor) runFirst(task citronusher.Task) (*citronusher.Answer, error) {
	for {
		if err := e.begin(task); err != nil {
			return nil, err
		}
		answer, err := e.runInTransaction(task, []citronusher.Command{{Statement: memberStatement(e.conn, task)}})
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
	commands := sessionSetup(e.conn, task)
	return e.runInTransaction(task, append(commands, citronusher.Command{Statement: memberStatement(e.conn, task)}))
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
	if err := conn.CheckLease(); err != nil {
		conn.Release()
		return citronusher.AsFailure(err)
	}
	e.countRequest(conn, task.Route)
	begin := citronusher.Command{Statement: citronusher.Statement{Kind: citronusher.StatementBegin}}
	if task.ReadOnly {
		begin.Statement.Kind = citronusher.StatementBeginReadOnly
		if !conn.Primary() {
			begin.After = requirement.MinPosition
		}
	}
	commands := append(sessionSetup(conn, task), begin)
	answers, err := conn.Run(task.Deadline(), commands...)
	if err != nil || !allSucceeded(answers[:len(commands)-1]) {
		conn.Discard()
		return citronusher.NewNotRun(citronusher.ReasonBroken,
			"the member connection or its session setup failed before the transaction began")
	}
	answer := answers[len(answers)-1]
	switch {
	case answer.Refusal == citronusher.RefusalNone && answer.State == citronusher.StateOpen:
		return nil
	case answer.Refusal != citronusher.RefusalNone && answer.State == citronusher.StateIdle:
		conn.Release()
		return rejected(answer.Refusal)
	default:
		conn.Discard()
		return citronusher.NewNotRun(citronusher.ReasonBroken, "the member did not begin the transaction")
	}
}

// runInTransaction runs commands on the transaction's connection and returns the answer to the last one. It discards the
// connection when the connection fails, when a preceding command fails, or when the transaction is no longer open.
func (e *Executor) runInTransaction(task citronusher.Task, commands []citronusher.Command) (*citronusher.Answer, error) {
	conn := e.conn
	if e.trace.Attempts == 0 {
		e.recordConn(conn, citronusher.Position{})
	}
	e.wrote = e.wrote || task.Writes
	answers, err := conn.Run(task.Deadline().Add(answerGrace), commands...)
	if err != nil || !allSucceeded(answers[:len(commands)-1]) {
		conn.Discard()
		e.conn = nil
		return nil, transactionLost()
	}
	answer := answers[len(answers)-1]
	if answer.State == citronusher.StateIdle {
		conn.Discard()
		e.conn = nil
		return nil, citronusher.NewNotRun(citronusher.ReasonGone, "the member ended the transaction; its changes are not kept")
	}
	return &answer, nil
}

// commit runs the transaction's commit, beginning the transaction first if the commit is its first statement. A commit
// after writes succeeds only once the primary's term is confirmed.
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
	answers, err := conn.Run(task.Deadline().Add(answerGrace), citronusher.Command{Statement: task.Statement})
	if err != nil {
		conn.Discard()
		if !wrote {
			return nil, citronusher.NewFailure(citronusher.Ran, citronusher.ReasonBroken,
				"the member connection failed during the commit of a transaction that wrote nothing")
		}
		return nil, connectionLost(err, true)
	}
	answer := answers[0]
	if answer.State != citronusher.StateIdle {
		conn.Discard()
	} else {
		defer conn.Release()
	}
	if answer.Refusal != citronusher.RefusalNone || !wrote {
		return &answer, nil
	}
	if err := conn.Confirm(task.Deadline()); err != nil {
		return nil, err
	}
	e.position = answer.Position
	return &answer, nil
}

// Rollback rolls back the open transaction, if there is one, and releases its connection. The connection is discarded
// when the rollback is not answered within rollbackTimeout.
func (e *Executor) Rollback() {
	conn := e.conn
	e.conn = nil
	if conn == nil {
		return
	}
	rollback := citronusher.Command{Statement: citronusher.Statement{Kind: citronusher.StatementRollback}}
	answers, err := conn.Run(e.config.Clock.Instant().Add(rollbackTimeout), rollback)
	if err != nil || answers[0].State != citronusher.StateIdle {
		conn.Discard()
		return
	}
	conn.Release()
}
