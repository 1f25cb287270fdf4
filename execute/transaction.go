package execute

import (
	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

// first runs a transaction's first statement. When it did not run the transaction is begun again elsewhere: nothing
// of it has run yet.
func (e *Executor) first(task citronusher.Task) (*citronusher.Answer, error) {
	for {
		if err := e.open(task); err != nil {
			return nil, err
		}
		answer, err := e.runPinned(task, []citronusher.Command{{Statement: shared(task)}})
		again := err == nil && answer.Refusal.NotRun() ||
			err != nil && (!task.Writes || citronusher.AsFailure(err).Outcome() == citronusher.NotRun)
		if !again || e.config.Clock.Instant() >= task.Deadline() {
			return answer, err
		}
		e.Rollback()
		e.retried(task, refused(citronusher.RefusalBusy))
	}
}

// next runs a later statement of the open transaction.
func (e *Executor) next(task citronusher.Task) (*citronusher.Answer, error) {
	if e.hold == nil {
		return nil, gone()
	}
	return e.runPinned(task, append(prelude(e.hold, task), citronusher.Command{Statement: shared(task)}))
}

// gone says that the transaction's connection is lost. A member keeps nothing of a transaction that was not committed.
func gone() *citronusher.Failure {
	return citronusher.NewNotRun(citronusher.ReasonGone,
		"the connection to the member broke inside the transaction; nothing of it is kept")
}

// open takes a connection for the transaction and begins it there. The begin is answered before anything else is
// sent: a statement behind a refused begin would run outside the transaction.
func (e *Executor) open(task citronusher.Task) error {
	g, err := e.group(task.Route)
	if err != nil {
		return err
	}
	need := schedule.Requirement{Primary: true, Pinned: true}
	if task.ReadOnly {
		need = g.ReadRequirement(task.Route, e.seen, task.BeganAt)
		need.Pinned = true
	}
	e.wrote = false
	t := ticket(task, need)
	for {
		hold, err := g.Acquire(t)
		if err != nil {
			return err
		}
		e.hold = hold
		e.use(hold, need.MinPosition)
		failure := e.beginOn(task, need)
		if failure == nil {
			return nil
		}
		e.hold = nil
		if e.config.Clock.Instant() >= t.Deadline() {
			return failure
		}
		e.retried(task, failure)
		t.Avoid(hold.Member())
	}
}

// beginOn begins the transaction on the connection that it holds. A connection where that failed is given back.
func (e *Executor) beginOn(task citronusher.Task, need schedule.Requirement) *citronusher.Failure {
	hold := e.hold
	if err := hold.CheckLease(); err != nil {
		hold.Release()
		return citronusher.AsFailure(err)
	}
	e.count(hold, task.Route)
	begin := citronusher.Command{Statement: citronusher.Statement{Kind: citronusher.StatementBegin}}
	if task.ReadOnly {
		begin.Statement.Kind = citronusher.StatementBeginReadOnly
		if !hold.Primary() {
			begin.After = need.MinPosition
		}
	}
	commands := append(prelude(hold, task), begin)
	answers, err := hold.Run(task.Deadline(), commands...)
	if err != nil || !allSucceeded(answers[:len(commands)-1]) {
		hold.Discard()
		return citronusher.NewNotRun(citronusher.ReasonBroken, "the connection to the member broke before the transaction began")
	}
	answer := answers[len(answers)-1]
	switch {
	case answer.Refusal == citronusher.RefusalNone && answer.State == citronusher.StateOpen:
		return nil
	case answer.Refusal != citronusher.RefusalNone && answer.State == citronusher.StateIdle:
		hold.Release()
		return refused(answer.Refusal)
	default:
		hold.Discard()
		return citronusher.NewNotRun(citronusher.ReasonBroken, "the member did not begin the transaction")
	}
}

// runPinned runs commands on the transaction's connection.
func (e *Executor) runPinned(task citronusher.Task, commands []citronusher.Command) (*citronusher.Answer, error) {
	hold := e.hold
	if e.trace.Attempts == 0 {
		e.use(hold, citronusher.Position{})
	}
	e.wrote = e.wrote || task.Writes
	answers, err := hold.Run(task.Deadline().Add(runGrace), commands...)
	if err != nil || !allSucceeded(answers[:len(commands)-1]) {
		hold.Discard()
		e.hold = nil
		return nil, gone()
	}
	answer := answers[len(answers)-1]
	if answer.State == citronusher.StateIdle {
		hold.Discard()
		e.hold = nil
		return nil, citronusher.NewNotRun(citronusher.ReasonGone, "the member ended the transaction; nothing of it is kept")
	}
	return &answer, nil
}

// commit ends the open transaction.
func (e *Executor) commit(task citronusher.Task) (*citronusher.Answer, error) {
	if task.Part == citronusher.PartFirst {
		if err := e.open(task); err != nil {
			return nil, err
		}
	}
	if e.hold == nil {
		return nil, gone()
	}
	hold, wrote := e.hold, e.wrote
	e.hold = nil
	if e.trace.Attempts == 0 {
		e.use(hold, citronusher.Position{})
	}
	answers, err := hold.Run(task.Deadline().Add(runGrace), citronusher.Command{Statement: task.Statement})
	if err != nil {
		hold.Discard()
		if !wrote {
			return nil, citronusher.NewFailure(citronusher.Ran, citronusher.ReasonBroken,
				"the connection broke at the end of a transaction that wrote nothing")
		}
		return nil, broken(err, true)
	}
	answer := answers[0]
	if answer.State != citronusher.StateIdle {
		hold.Discard()
	} else {
		defer hold.Release()
	}
	if answer.Refusal != citronusher.RefusalNone || !wrote {
		return &answer, nil
	}
	if err := hold.Confirm(task.Deadline()); err != nil {
		return nil, err
	}
	e.seen = answer.Position
	return &answer, nil
}

// Rollback rolls the open transaction back and releases its connection.
func (e *Executor) Rollback() {
	hold := e.hold
	e.hold = nil
	if hold == nil {
		return
	}
	rollback := citronusher.Command{Statement: citronusher.Statement{Kind: citronusher.StatementRollback}}
	answers, err := hold.Run(e.config.Clock.Instant().Add(rollbackLimit), rollback)
	if err != nil || answers[0].State != citronusher.StateIdle {
		hold.Discard()
		return
	}
	hold.Release()
}
