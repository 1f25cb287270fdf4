package proxy

import (
	"citronusher.example/citronusher"
	"citronusher.example/citronusher/place"
)

// inTransaction serves a read, a write or an execute inside the open transaction.
func (s *session) inTransaction(
	statement citronusher.Statement, writes bool, arrived citronusher.Instant,
) (*citronusher.Answer, error) {
	if s.tx.hold == nil {
		return s.first(statement, writes, arrived)
	}
	commands := append(s.prelude(s.tx.hold, statement), citronusher.Command{Statement: s.shared(statement)})
	return s.runPinned(commands, writes, arrived)
}

// first runs a transaction's first statement. When it did not run the transaction is begun again elsewhere: nothing
// of it has run yet.
func (s *session) first(
	statement citronusher.Statement, writes bool, arrived citronusher.Instant,
) (*citronusher.Answer, error) {
	route := s.tx.route
	deadline := arrived.Add(route.Limit)
	for {
		if err := s.open(statement, arrived); err != nil {
			return nil, s.fail(err)
		}
		answer, err := s.runPinned([]citronusher.Command{{Statement: s.shared(statement)}}, writes, arrived)
		again := err == nil && answer.Refusal.NotRun() ||
			err != nil && (!writes || citronusher.AsFailure(err).Outcome() == citronusher.NotRun)
		if !again || s.proxy.config.Timer.Instant() >= deadline {
			return answer, err
		}
		s.giveBack()
		s.state = citronusher.StateOpen
		s.tx.wrote = false
		s.retried(refused(citronusher.RefusalBusy))
	}
}

// open takes a connection for the transaction and begins it there. The begin is answered before anything else is
// sent: a statement behind a refused begin would run outside the transaction.
func (s *session) open(statement citronusher.Statement, arrived citronusher.Instant) error {
	route := s.tx.route
	g, err := s.group(route)
	if err != nil {
		return err
	}
	need := place.Need{Primary: true, Pinned: true}
	if s.tx.readOnly {
		need = g.Needs(route, s.seen, s.tx.beganAt)
		need.Pinned = true
	}
	t := s.ticket(route, need, arrived)
	for {
		hold, err := g.Acquire(t)
		if err != nil {
			return err
		}
		s.tx.hold = hold
		s.trace.use(hold, need.After)
		failure := s.beginOn(statement, need, t.Deadline())
		if failure == nil {
			return nil
		}
		s.tx.hold = nil
		if s.proxy.config.Timer.Instant() >= t.Deadline() {
			return failure
		}
		s.retried(failure)
		t.Avoid(hold.Member())
	}
}

// beginOn begins the transaction on the connection that it holds. A connection where that failed is given back.
func (s *session) beginOn(
	statement citronusher.Statement, need place.Need, deadline citronusher.Instant,
) *citronusher.Failure {
	hold := s.tx.hold
	if err := hold.Begin(); err != nil {
		hold.Release()
		return citronusher.AsFailure(err)
	}
	s.count(hold, s.tx.route)
	begin := citronusher.Command{Statement: citronusher.Statement{Kind: citronusher.StatementBegin}}
	if s.tx.readOnly {
		begin.Statement.Kind = citronusher.StatementBeginRead
		if !hold.Primary() {
			begin.After = need.After
		}
	}
	commands := append(s.prelude(hold, statement), begin)
	answers, err := hold.Run(deadline, commands...)
	if err != nil || !allSucceeded(answers[:len(commands)-1]) {
		hold.Discard()
		return citronusher.Refuse(citronusher.ReasonBroken, "the connection to the member broke before the transaction began")
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
		return citronusher.Refuse(citronusher.ReasonBroken, "the member did not begin the transaction")
	}
}

// runPinned runs commands on the transaction's connection.
func (s *session) runPinned(
	commands []citronusher.Command, writes bool, arrived citronusher.Instant,
) (*citronusher.Answer, error) {
	hold := s.tx.hold
	s.trace.group = s.tx.route.Group
	if s.trace.tries == 0 {
		s.trace.use(hold, citronusher.Position{})
	}
	s.tx.wrote = s.tx.wrote || writes
	deadline := arrived.Add(s.tx.route.Limit).Add(runGrace)
	answers, err := hold.Run(deadline, commands...)
	if err != nil || !allSucceeded(answers[:len(commands)-1]) {
		hold.Discard()
		s.tx.hold = nil
		return nil, s.fail(citronusher.Refuse(citronusher.ReasonGone,
			"the connection to the member broke inside the transaction; nothing of it is kept"))
	}
	answer := answers[len(answers)-1]
	s.state = answer.State
	if answer.State == citronusher.StateIdle {
		hold.Discard()
		s.tx = transaction{}
		return nil, citronusher.Refuse(citronusher.ReasonGone, "the member ended the transaction; nothing of it is kept")
	}
	return &answer, nil
}

// commit ends the open transaction.
func (s *session) commit(statement citronusher.Statement) (*citronusher.Answer, error) {
	if s.state == citronusher.StateIdle {
		return nil, citronusher.Refuse(citronusher.ReasonInput, "no transaction is open")
	}
	arrived := s.proxy.config.Timer.Instant()
	if s.tx.hold == nil {
		if err := s.open(statement, arrived); err != nil {
			s.state = citronusher.StateIdle
			s.tx = transaction{}
			return nil, err
		}
	}
	tx := s.tx
	s.trace.group = tx.route.Group
	s.trace.use(tx.hold, citronusher.Position{})
	s.tx = transaction{}
	s.state = citronusher.StateIdle
	deadline := arrived.Add(tx.route.Limit)
	answers, err := tx.hold.Run(deadline.Add(runGrace), citronusher.Command{Statement: statement})
	if err != nil {
		tx.hold.Discard()
		if !tx.wrote {
			return nil, citronusher.NewFailure(citronusher.Ran, citronusher.ReasonBroken,
				"the connection broke at the end of a transaction that wrote nothing")
		}
		return nil, broken(err, true)
	}
	answer := answers[0]
	if answer.State != citronusher.StateIdle {
		tx.hold.Discard()
	} else {
		defer tx.hold.Release()
	}
	if answer.Refusal != citronusher.RefusalNone || !tx.wrote {
		return &answer, nil
	}
	if err := tx.hold.Confirm(deadline); err != nil {
		return nil, err
	}
	s.seen = answer.Position
	return &answer, nil
}
