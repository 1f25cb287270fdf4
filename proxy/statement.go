package proxy

import (
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/place"
	"citronusher.example/citronusher/targets"
)

const (
	maxPrepared = 1000 // prepared statements and session values of one session
	runGrace    = 300 * time.Millisecond
)

// handle serves a statement. It returns the member's answer, or nil when the proxy answered by itself. The caller
// holds mu.
func (s *session) handle(statement citronusher.Statement, arrived citronusher.Instant) (*citronusher.Answer, error) {
	if s.state == citronusher.StateFailed {
		return nil, s.inFailed(statement)
	}
	switch statement.Kind {
	case citronusher.StatementBegin, citronusher.StatementBeginRead:
		return nil, s.begin(statement, arrived)
	case citronusher.StatementCommit:
		return s.commit(statement)
	case citronusher.StatementRollback:
		return nil, s.rollback()
	case citronusher.StatementSet:
		return nil, s.set(statement)
	case citronusher.StatementPrepare:
		return nil, s.prepare(statement)
	case citronusher.StatementDeallocate:
		return nil, s.deallocate(statement)
	case citronusher.StatementRead, citronusher.StatementWrite, citronusher.StatementExecute:
		return s.access(statement, arrived)
	default:
		return nil, s.fail(citronusher.Refuse(citronusher.ReasonInput, "the statement is not supported"))
	}
}

// fail marks an open transaction as failed and returns err.
func (s *session) fail(err error) error {
	if s.state == citronusher.StateOpen {
		s.state = citronusher.StateFailed
	}
	return err
}

// inFailed answers a statement inside a failed transaction: only its end is accepted, and nothing of it is kept.
func (s *session) inFailed(statement citronusher.Statement) error {
	switch statement.Kind {
	case citronusher.StatementRollback:
		return s.rollback()
	case citronusher.StatementCommit:
		if err := s.rollback(); err != nil {
			return err
		}
		return citronusher.Refuse(citronusher.ReasonGone, "the transaction had failed; nothing of it is kept")
	default:
		if s.tx.expired {
			return citronusher.Refuse(citronusher.ReasonGone, "the transaction was idle for too long; nothing of it is kept")
		}
		return citronusher.Refuse(citronusher.ReasonInput, "the transaction has failed and can only be ended")
	}
}

func (s *session) begin(statement citronusher.Statement, arrived citronusher.Instant) error {
	if s.state != citronusher.StateIdle {
		return s.fail(citronusher.Refuse(citronusher.ReasonInput, "a transaction is open already"))
	}
	route, ok := s.proxy.config.Plan().Routes[s.database]
	if !ok {
		return unknownDatabase(s.database)
	}
	s.state = citronusher.StateOpen
	s.tx = transaction{route: route, readOnly: statement.Kind == citronusher.StatementBeginRead, beganAt: arrived}
	return nil
}

func (s *session) rollback() error {
	if s.state == citronusher.StateIdle {
		return citronusher.Refuse(citronusher.ReasonInput, "no transaction is open")
	}
	s.giveBack()
	s.state = citronusher.StateIdle
	s.tx = transaction{}
	return nil
}

func (s *session) set(statement citronusher.Statement) error {
	if len(s.values) >= maxPrepared {
		return s.fail(citronusher.Refuse(citronusher.ReasonInput, "more than %d session values", maxPrepared))
	}
	s.values[statement.Name] = statement.Value
	return nil
}

func (s *session) prepare(statement citronusher.Statement) error {
	if len(s.prepared) >= maxPrepared {
		return s.fail(citronusher.Refuse(citronusher.ReasonInput, "more than %d prepared statements", maxPrepared))
	}
	s.prepared[statement.Name] = prepared{
		shared: sharedName(statement), shape: statement.Value, writes: statement.Writes,
	}
	return nil
}

// sharedName returns the name of a prepared statement on member connections.
func sharedName(statement citronusher.Statement) string {
	return fmt.Sprintf("p%016x%t", xxhash.Sum64String(statement.Value), statement.Writes)
}

func (s *session) deallocate(statement citronusher.Statement) error {
	if _, ok := s.prepared[statement.Name]; !ok {
		return s.fail(citronusher.Refuse(citronusher.ReasonStatement, "statement %s is not prepared", statement.Name))
	}
	delete(s.prepared, statement.Name)
	return nil
}

// access serves a read, a write or an execute.
func (s *session) access(statement citronusher.Statement, arrived citronusher.Instant) (*citronusher.Answer, error) {
	writes := statement.Kind == citronusher.StatementWrite
	if statement.Kind == citronusher.StatementExecute {
		known, ok := s.prepared[statement.Name]
		if !ok {
			return nil, s.fail(citronusher.Refuse(citronusher.ReasonStatement, "statement %s is not prepared", statement.Name))
		}
		writes = known.writes
	}
	if s.state == citronusher.StateOpen {
		return s.inTransaction(statement, writes, arrived)
	}
	route, ok := s.proxy.config.Plan().Routes[s.database]
	if !ok {
		return nil, unknownDatabase(s.database)
	}
	return s.single(route, statement, writes, arrived)
}

// ticket returns the place of a request in its group's queue.
func (s *session) ticket(route citronusher.Route, need place.Need, arrived citronusher.Instant) *place.Ticket {
	return place.NewTicket(need, route.Priority, arrived.Add(route.Goal), arrived.Add(route.Limit))
}

func (s *session) group(route citronusher.Route) (*targets.Group, error) {
	s.trace.group = route.Group
	g, ok := s.proxy.config.Targets.Group(route.Group)
	if !ok {
		return nil, citronusher.Refuse(citronusher.ReasonPrimary, "the group of database %s is not known", route.Name)
	}
	return g, nil
}

// single serves a statement outside a transaction. What did not run is tried again until the statement's deadline.
func (s *session) single(
	route citronusher.Route, statement citronusher.Statement, writes bool, arrived citronusher.Instant,
) (*citronusher.Answer, error) {
	g, err := s.group(route)
	if err != nil {
		return nil, err
	}
	need := place.Need{Primary: true}
	if !writes {
		need = g.Needs(route, s.seen, arrived)
	}
	t := s.ticket(route, need, arrived)
	for {
		hold, err := g.Acquire(t)
		if err != nil {
			return nil, err
		}
		s.trace.use(hold, need.After)
		answer, err := s.runSingle(hold, route, statement, writes, need, t.Deadline())
		if err == nil {
			return answer, nil
		}
		failure := citronusher.AsFailure(err)
		again := failure.Outcome() == citronusher.NotRun || !writes
		if !again || s.proxy.config.Timer.Instant() >= t.Deadline() {
			return nil, err
		}
		s.retried(failure)
		t.Avoid(hold.Member())
	}
}

// runSingle runs a statement outside a transaction on a connection and gives the connection back.
func (s *session) runSingle(
	hold *targets.Hold, route citronusher.Route, statement citronusher.Statement, writes bool, need place.Need,
	deadline citronusher.Instant,
) (*citronusher.Answer, error) {
	if err := hold.Begin(); err != nil {
		hold.Release()
		return nil, err
	}
	s.count(hold, route)
	commands := s.prelude(hold, statement)
	command := citronusher.Command{Statement: s.shared(statement)}
	if !hold.Primary() {
		command.After = need.After
	}
	commands = append(commands, command)
	answers, err := hold.Run(deadline.Add(runGrace), commands...)
	if err != nil || !allSucceeded(answers[:len(commands)-1]) {
		hold.Discard()
		return nil, broken(err, writes)
	}
	answer := answers[len(answers)-1]
	if answer.State != citronusher.StateIdle {
		hold.Discard()
		return nil, citronusher.Doubt(citronusher.ReasonBroken, "the member left a transaction open")
	}
	if answer.Refusal.NotRun() {
		hold.Release()
		return nil, refused(answer.Refusal)
	}
	if writes && answer.Refusal == citronusher.RefusalNone {
		if err := hold.Confirm(deadline); err != nil {
			hold.Release()
			return nil, err
		}
		s.seen = answer.Position
	}
	hold.Release()
	return &answer, nil
}

// count counts which kind of member serves a read.
func (s *session) count(hold *targets.Hold, route citronusher.Route) {
	if route.Consistency != citronusher.ConsistencyPrimary {
		s.proxy.config.Meter.Allowed().Inc(1)
	}
	if hold.Primary() {
		s.proxy.config.Meter.Primary().Inc(1)
	} else {
		s.proxy.config.Meter.Replica().Inc(1)
	}
}

func allSucceeded(answers []citronusher.Answer) bool {
	for _, answer := range answers {
		if answer.Refusal != citronusher.RefusalNone {
			return false
		}
	}
	return true
}

// broken describes a connection that broke while a statement ran. A read may run again; a write may have taken effect.
func broken(err error, writes bool) error {
	if writes {
		return citronusher.Doubt(citronusher.ReasonBroken, "the connection to the member broke while the write ran: %v", err)
	}
	return citronusher.Refuse(citronusher.ReasonBroken, "the connection to the member broke while the read ran: %v", err)
}

// refused describes a member's refusal of a statement that did not run.
func refused(refusal citronusher.Refusal) *citronusher.Failure {
	switch refusal {
	case citronusher.RefusalBehind:
		return citronusher.Refuse(citronusher.ReasonBehind, "the replica lacks the position that the read needs")
	case citronusher.RefusalReadOnly:
		return citronusher.Refuse(citronusher.ReasonPrimary, "the member does not lead any more")
	default:
		return citronusher.Refuse(citronusher.ReasonFull, "the member is busy; try again later")
	}
}

// shared returns the statement as it goes to a member: prepared statements have other names there.
func (s *session) shared(statement citronusher.Statement) citronusher.Statement {
	if statement.Kind == citronusher.StatementExecute {
		statement.Name = s.prepared[statement.Name].shared
		statement.Text = ""
	}
	return statement
}

// prelude returns the commands that bring the connection's session state in line with the session's.
func (s *session) prelude(hold *targets.Hold, statement citronusher.Statement) []citronusher.Command {
	var commands []citronusher.Command
	add := func(statement citronusher.Statement) {
		commands = append(commands, citronusher.Command{Statement: statement})
	}
	for name := range hold.Values() {
		if _, ok := s.values[name]; !ok {
			add(citronusher.Statement{Kind: citronusher.StatementReset})
			clear(hold.Values())
			clear(hold.Prepared())
			break
		}
	}
	for name, value := range s.values {
		if held, ok := hold.Values()[name]; !ok || held != value {
			add(citronusher.Statement{Kind: citronusher.StatementSet, Name: name, Value: value})
		}
	}
	maps.Copy(hold.Values(), s.values)
	if statement.Kind == citronusher.StatementExecute {
		known := s.prepared[statement.Name]
		if !hold.Prepared()[known.shared] {
			add(citronusher.Statement{
				Kind: citronusher.StatementPrepare, Name: known.shared, Value: known.shape, Writes: known.writes,
			})
			hold.Prepared()[known.shared] = true
		}
	}
	return commands
}
