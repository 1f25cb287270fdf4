package proxy

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"citronusher.example/citronusher"
)

// maxPrepared bounds the prepared statements and the session values of one session.
const maxPrepared = 1000

// handle serves a statement. It returns the member's answer, or nil when the proxy answered by itself. The caller
// holds mu.
func (s *session) handle(statement citronusher.Statement, arrived citronusher.Instant) (*citronusher.Answer, error) {
	if s.state == citronusher.StateFailed {
		return nil, s.inFailed(statement)
	}
	switch statement.Kind {
	case citronusher.StatementBegin, citronusher.StatementBeginReadOnly:
		return nil, s.begin(statement, arrived)
	case citronusher.StatementCommit:
		return s.commit(statement, arrived)
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
		return nil, s.fail(citronusher.NewNotRun(citronusher.ReasonInput, "the statement is not supported"))
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
		return citronusher.NewNotRun(citronusher.ReasonGone, "the transaction had failed; nothing of it is kept")
	default:
		if s.tx.expired {
			return citronusher.NewNotRun(citronusher.ReasonGone, "the transaction was idle for too long; nothing of it is kept")
		}
		return citronusher.NewNotRun(citronusher.ReasonInput, "the transaction has failed and can only be ended")
	}
}

// route returns the session's route in force and the version of its plan.
func (s *session) route() (citronusher.Route, uint64, error) {
	plan := s.proxy.config.Plan()
	route, ok := plan.Routes[s.database]
	if !ok {
		return route, plan.Version, unknownDatabase(s.database)
	}
	return route, plan.Version, nil
}

func (s *session) begin(statement citronusher.Statement, arrived citronusher.Instant) error {
	if s.state != citronusher.StateIdle {
		return s.fail(citronusher.NewNotRun(citronusher.ReasonInput, "a transaction is open already"))
	}
	route, version, err := s.route()
	if err != nil {
		return err
	}
	s.state = citronusher.StateOpen
	s.tx = transaction{
		route: route, version: version, readOnly: statement.Kind == citronusher.StatementBeginReadOnly, beganAt: arrived,
	}
	return nil
}

func (s *session) rollback() error {
	if s.state == citronusher.StateIdle {
		return citronusher.NewNotRun(citronusher.ReasonInput, "no transaction is open")
	}
	s.giveBack()
	s.state = citronusher.StateIdle
	s.tx = transaction{}
	return nil
}

func (s *session) set(statement citronusher.Statement) error {
	if len(s.values) >= maxPrepared {
		return s.fail(citronusher.NewNotRun(citronusher.ReasonInput, "more than %d session values", maxPrepared))
	}
	s.values[statement.Name] = statement.Value
	return nil
}

func (s *session) prepare(statement citronusher.Statement) error {
	if len(s.prepared) >= maxPrepared {
		return s.fail(citronusher.NewNotRun(citronusher.ReasonInput, "more than %d prepared statements", maxPrepared))
	}
	s.prepared[statement.Name] = citronusher.PreparedStatement{
		Name: sharedName(statement), Text: statement.Value, Writes: statement.Writes,
	}
	return nil
}

// sharedName returns the name of a prepared statement on member connections.
func sharedName(statement citronusher.Statement) string {
	return fmt.Sprintf("p%016x%t", xxhash.Sum64String(statement.Value), statement.Writes)
}

func (s *session) deallocate(statement citronusher.Statement) error {
	if _, ok := s.prepared[statement.Name]; !ok {
		return s.fail(citronusher.NewNotRun(citronusher.ReasonStatement, "statement %s is not prepared", statement.Name))
	}
	delete(s.prepared, statement.Name)
	return nil
}

// access serves a read, a write or an execute.
func (s *session) access(statement citronusher.Statement, arrived citronusher.Instant) (*citronusher.Answer, error) {
	task := citronusher.Task{
		Statement: statement, Writes: statement.Kind == citronusher.StatementWrite, Values: s.values, SessionPosition: s.seen,
		ArrivedAt: arrived,
	}
	if statement.Kind == citronusher.StatementExecute {
		known, ok := s.prepared[statement.Name]
		if !ok {
			return nil, s.fail(citronusher.NewNotRun(citronusher.ReasonStatement, "statement %s is not prepared", statement.Name))
		}
		task.Prepared, task.Writes = known, known.Writes
	}
	if s.state == citronusher.StateOpen {
		return s.inTransaction(task)
	}
	var err error
	if task.Route, task.Version, err = s.route(); err != nil {
		return nil, err
	}
	return s.execute(task)
}

// execute has a task run and takes over what it says of the session.
func (s *session) execute(task citronusher.Task) (*citronusher.Answer, error) {
	done, err := s.executor.Execute(task)
	s.trace = done.Trace
	if err != nil {
		return nil, err
	}
	s.seen = done.SessionPosition
	return &done.Answer, nil
}

// inTransaction serves a read, a write or an execute inside the open transaction.
func (s *session) inTransaction(task citronusher.Task) (*citronusher.Answer, error) {
	answer, err := s.execute(s.tx.part(task))
	if err != nil {
		s.tx.held = false
		return nil, s.fail(err)
	}
	s.tx.held = true
	s.state = answer.State
	return answer, nil
}

// commit ends the open transaction.
func (s *session) commit(statement citronusher.Statement, arrived citronusher.Instant) (*citronusher.Answer, error) {
	if s.state == citronusher.StateIdle {
		return nil, citronusher.NewNotRun(citronusher.ReasonInput, "no transaction is open")
	}
	task := s.tx.part(citronusher.Task{Statement: statement, Values: s.values, SessionPosition: s.seen, ArrivedAt: arrived})
	s.tx = transaction{}
	s.state = citronusher.StateIdle
	return s.execute(task)
}
