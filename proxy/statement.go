package proxy

import (
	"citronusher.example/citronusher"
)

// handle runs a statement. It returns the member's answer, or nil when the proxy handled the statement without a
// member. The caller holds mu.
func (s *session) handle(statement citronusher.Statement, arrivedAt citronusher.Instant) (*citronusher.Answer, error) {
	if s.state == citronusher.StateFailed {
		return nil, s.serveInFailed(statement)
	}
	if s.proxy.rollingBack.Load() && passedOn(statement.Kind) {
		return nil, citronusher.NewNotRun(citronusher.ReasonLeaving, "the daemon is stopping; try again at another one")
	}
	switch statement.Kind {
	case citronusher.StatementBegin, citronusher.StatementBeginReadOnly:
		return nil, s.begin(statement, arrivedAt)
	case citronusher.StatementCommit:
		return s.commit(statement, arrivedAt)
	case citronusher.StatementRollback:
		return nil, s.rollback()
	case citronusher.StatementSet:
		return nil, s.set(statement)
	case citronusher.StatementPrepare:
		return nil, s.prepare(statement)
	case citronusher.StatementDeallocate:
		return nil, s.deallocate(statement)
	case citronusher.StatementRead, citronusher.StatementWrite, citronusher.StatementExecute:
		return s.runStatement(statement, arrivedAt)
	default:
		return nil, s.fail(citronusher.NewNotRun(citronusher.ReasonInput, "this kind of statement is not supported"))
	}
}

// passedOn reports whether statements of the kind begin work at a member.
func passedOn(kind citronusher.StatementKind) bool {
	switch kind {
	case citronusher.StatementBegin, citronusher.StatementBeginReadOnly, citronusher.StatementRead, citronusher.StatementWrite,
		citronusher.StatementExecute:
		return true
	default:
		return false
	}
}

// fail marks the open transaction, if there is one, as failed and returns err.
func (s *session) fail(err error) error {
	if s.state == citronusher.StateOpen {
		s.state = citronusher.StateFailed
	}
	return err
}

// serveInFailed handles a statement inside a failed transaction: only commit and rollback are accepted, and both roll back.
func (s *session) serveInFailed(statement citronusher.Statement) error {
	switch statement.Kind {
	case citronusher.StatementRollback:
		return s.rollback()
	case citronusher.StatementCommit:
		if err := s.rollback(); err != nil {
			return err
		}
		return citronusher.NewNotRun(citronusher.ReasonGone, "the transaction had failed and was rolled back")
	default:
		if s.tx.expired {
			return citronusher.NewNotRun(citronusher.ReasonGone,
				"the transaction was rolled back because it was idle for too long or the daemon is stopping")
		}
		return citronusher.NewNotRun(citronusher.ReasonInput,
			"the transaction has failed; only commit and rollback are accepted")
	}
}

// route returns the session's route in the active plan, and the version of the plan.
func (s *session) route() (citronusher.Route, uint64, error) {
	plan := s.proxy.config.Plan()
	route, ok := plan.Routes[s.database]
	if !ok {
		return route, plan.Version, newUnknownDatabase(s.database)
	}
	return route, plan.Version, nil
}

func (s *session) begin(statement citronusher.Statement, arrivedAt citronusher.Instant) error {
	if s.state != citronusher.StateIdle {
		return s.fail(citronusher.NewNotRun(citronusher.ReasonInput, "a transaction is already open"))
	}
	route, version, err := s.route()
	if err != nil {
		return err
	}
	s.state = citronusher.StateOpen
	s.tx = transaction{
		route: route, version: version, readOnly: statement.Kind == citronusher.StatementBeginReadOnly, beganAt: arrivedAt,
	}
	return nil
}

func (s *session) rollback() error {
	if s.state == citronusher.StateIdle {
		return citronusher.NewNotRun(citronusher.ReasonInput, "no transaction is open")
	}
	s.rollBackAndRelease()
	s.state = citronusher.StateIdle
	s.tx = transaction{}
	return nil
}

// runStatement runs a read, a write or an execute.
func (s *session) runStatement(statement citronusher.Statement, arrivedAt citronusher.Instant) (*citronusher.Answer, error) {
	task := citronusher.Task{
		Statement: statement, Writes: statement.Kind == citronusher.StatementWrite, Values: s.values, SessionPosition: s.position,
		ArrivedAt: arrivedAt,
	}
	if statement.Kind == citronusher.StatementExecute {
		prepared, ok := s.prepared[statement.Name]
		if !ok {
			return nil, s.fail(citronusher.NewNotRun(citronusher.ReasonStatement,
				"prepared statement %s does not exist", statement.Name))
		}
		task.Prepared, task.Writes = prepared, prepared.Writes
	}
	if s.state == citronusher.StateOpen {
		return s.executeInTransaction(task)
	}
	var err error
	if task.Route, task.Version, err = s.route(); err != nil {
		return nil, err
	}
	return s.execute(task)
}

// execute runs a task and updates the session's position and trace from its result.
func (s *session) execute(task citronusher.Task) (*citronusher.Answer, error) {
	if task.Part != citronusher.PartNext {
		task.Route.Goal = s.rejected.remainingGoal(task)
	}
	done, err := s.executor.Execute(task)
	if task.Part != citronusher.PartNext {
		s.rejected.observe(task, err)
	}
	s.trace = done.Trace
	if err != nil {
		return nil, err
	}
	s.position = done.SessionPosition
	return &done.Answer, nil
}

// executeInTransaction runs a read, a write or an execute inside the open transaction.
func (s *session) executeInTransaction(task citronusher.Task) (*citronusher.Answer, error) {
	answer, err := s.execute(s.tx.withTransaction(task))
	if err != nil {
		s.tx.begun = false
		return nil, s.fail(err)
	}
	s.tx.begun = true
	s.state = answer.State
	return answer, nil
}

// commit commits the open transaction.
func (s *session) commit(statement citronusher.Statement, arrivedAt citronusher.Instant) (*citronusher.Answer, error) {
	if s.state == citronusher.StateIdle {
		return nil, citronusher.NewNotRun(citronusher.ReasonInput, "no transaction is open")
	}
	task := s.tx.withTransaction(citronusher.Task{
		Statement: statement, Values: s.values, SessionPosition: s.position,
		ArrivedAt: arrivedAt,
	})
	s.tx = transaction{}
	s.state = citronusher.StateIdle
	return s.execute(task)
}
