// Package execute runs the statements of sessions at a home of their group: it takes a connection to the right member,
// brings the connection's session state in line, tries again what did not run, and says truthfully what is known of
// everything else.
package execute

import (
	"log/slog"
	"maps"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/schedule"
	"citronusher.example/citronusher/targets"
)

const (
	runGrace      = 300 * time.Millisecond // beyond a statement's limit, for an answer that is on its way
	rollbackLimit = 300 * time.Millisecond
	failedReads   = 2 // members that may fail a read before their answer is passed on
)

// Config holds what executors need from their daemon.
type Config struct {
	// Targets gives connections to members.
	Targets *targets.Set
	// Clock gives the time.
	Clock citronusher.MonotonicClock
	// Logger receives the events.
	Logger *slog.Logger
	// Meter counts.
	Meter *meter.Meter
}

// Executor runs the tasks of one session at this daemon. It implements citronusher.Executor.
type Executor struct {
	config Config
	seen   citronusher.Position
	trace  citronusher.Trace
	hold   *targets.Conn // of the open transaction; nil without one
	wrote  bool          // the open transaction has sent a write
}

// New returns an executor without a transaction.
func New(config Config) *Executor { return &Executor{config: config} }

// Execute runs a task.
func (e *Executor) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	e.seen = task.SessionPosition
	e.trace = citronusher.Trace{Group: task.Route.Group}
	answer, err := e.run(task)
	done := citronusher.TaskResult{SessionPosition: e.seen, Trace: e.trace}
	if err != nil {
		return done, err
	}
	done.Answer = *answer
	return done, nil
}

func (e *Executor) run(task citronusher.Task) (*citronusher.Answer, error) {
	switch {
	case task.Part == citronusher.PartNone:
		return e.single(task)
	case task.Statement.Kind == citronusher.StatementCommit:
		return e.commit(task)
	case task.Part == citronusher.PartFirst:
		return e.first(task)
	default:
		return e.next(task)
	}
}

// use records the connection that the statement got.
func (e *Executor) use(hold *targets.Conn, after citronusher.Position) {
	t := &e.trace
	t.Attempts++
	t.Member, t.Term, t.After = hold.Member(), 0, after
	if hold.Primary() {
		t.Term, t.After = hold.Term(), citronusher.Position{}
	}
}

// retried counts and logs that the statement is tried again.
func (e *Executor) retried(task citronusher.Task, failure *citronusher.Failure) {
	e.config.Meter.CountRetry(failure.Reason())
	events.Log(e.config.Logger, events.RequestRetried, append(e.trace.LogArgs(task.Statement.ID, task.Route.Name),
		"reason", string(failure.Reason()), "error", failure.Message())...)
}

func (e *Executor) group(route citronusher.Route) (*targets.Group, error) {
	g, ok := e.config.Targets.Group(route.Group)
	if !ok {
		return nil, citronusher.NewNotRun(citronusher.ReasonHome, "the group of database %s is not known here", route.Name)
	}
	return g, nil
}

// ticket returns the place of a task in its group's queue.
func ticket(task citronusher.Task, need schedule.Requirement) *schedule.Ticket {
	t := schedule.NewTicket(need, task.Route.Priority, task.ArrivedAt.Add(task.Route.Goal), task.Deadline())
	t.SetMemberWaitDeadline(task.MemberWaitDeadline)
	return t
}

// single serves a statement outside a transaction. What did not run is tried again until the statement's deadline.
func (e *Executor) single(task citronusher.Task) (*citronusher.Answer, error) {
	g, err := e.group(task.Route)
	if err != nil {
		return nil, err
	}
	need := schedule.Requirement{Primary: true}
	if !task.Writes {
		need = g.ReadRequirement(task.Route, e.seen, task.ArrivedAt)
	}
	t := ticket(task, need)
	for {
		hold, err := g.Acquire(t)
		if err != nil {
			return nil, err
		}
		e.use(hold, need.MinPosition)
		answer, err := e.runSingle(hold, task, need)
		failure, again := e.again(task, answer, err)
		if !again {
			return answer, err
		}
		e.retried(task, failure)
		t.Avoid(hold.Member())
	}
}

// again reports whether a statement outside a transaction may run once more, and why. A read that failed has no effect:
// another member may be able to serve it.
func (e *Executor) again(
	task citronusher.Task, answer *citronusher.Answer, err error,
) (failure *citronusher.Failure, again bool) {
	late := e.config.Clock.Instant() >= task.Deadline()
	switch {
	case err != nil:
		failure = citronusher.AsFailure(err)
		return failure, !late && (failure.Outcome() == citronusher.NotRun || !task.Writes)
	case !task.Writes && answer.Refusal == citronusher.RefusalFailed:
		return citronusher.NewFailure(citronusher.Ran, citronusher.ReasonFailed, "the member ran the read and failed"),
			!late && e.trace.Attempts <= failedReads
	default:
		return nil, false
	}
}

// runSingle runs a statement outside a transaction on a connection and gives the connection back.
func (e *Executor) runSingle(hold *targets.Conn, task citronusher.Task, need schedule.Requirement) (*citronusher.Answer, error) {
	if err := hold.CheckLease(); err != nil {
		hold.Release()
		return nil, err
	}
	e.count(hold, task.Route)
	commands := prelude(hold, task)
	command := citronusher.Command{Statement: shared(task)}
	if !hold.Primary() {
		command.After = need.MinPosition
	}
	commands = append(commands, command)
	answers, err := hold.Run(task.Deadline().Add(runGrace), commands...)
	if err != nil || !allSucceeded(answers[:len(commands)-1]) {
		hold.Discard()
		return nil, broken(err, task.Writes)
	}
	answer := answers[len(answers)-1]
	if answer.State != citronusher.StateIdle {
		hold.Discard()
		return nil, citronusher.NewUnknown(citronusher.ReasonBroken, "the member left a transaction open")
	}
	if answer.Refusal.NotRun() {
		hold.Release()
		return nil, refused(answer.Refusal)
	}
	if task.Writes && answer.Refusal == citronusher.RefusalNone {
		if err := hold.Confirm(task.Deadline()); err != nil {
			hold.Release()
			return nil, err
		}
		e.seen = answer.Position
	}
	hold.Release()
	return &answer, nil
}

// count counts which kind of member serves a read.
func (e *Executor) count(hold *targets.Conn, route citronusher.Route) {
	if route.Consistency != citronusher.ConsistencyPrimary {
		e.config.Meter.ReplicaEligible().Inc(1)
	}
	if hold.Primary() {
		e.config.Meter.PrimaryRequests().Inc(1)
	} else {
		e.config.Meter.ReplicaRequests().Inc(1)
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
		return citronusher.NewUnknown(citronusher.ReasonBroken, "the connection to the member broke while the write ran: %v", err)
	}
	return citronusher.NewNotRun(citronusher.ReasonBroken, "the connection to the member broke while the read ran: %v", err)
}

// refused describes a member's refusal of a statement that did not run.
func refused(refusal citronusher.Refusal) *citronusher.Failure {
	switch refusal {
	case citronusher.RefusalBehind:
		return citronusher.NewNotRun(citronusher.ReasonBehind, "the replica lacks the position that the read needs")
	case citronusher.RefusalReadOnly:
		return citronusher.NewNotRun(citronusher.ReasonPrimary, "the member does not lead any more")
	default:
		return citronusher.NewNotRun(citronusher.ReasonFull, "the member is busy; try again later")
	}
}

// shared returns the statement as it goes to a member: prepared statements have other names there.
func shared(task citronusher.Task) citronusher.Statement {
	statement := task.Statement
	if statement.Kind == citronusher.StatementExecute {
		statement.Name = task.Prepared.Name
		statement.Text = ""
	}
	return statement
}

// prelude returns the commands that bring the connection's session state in line with the session's.
func prelude(hold *targets.Conn, task citronusher.Task) []citronusher.Command {
	var commands []citronusher.Command
	add := func(statement citronusher.Statement) {
		commands = append(commands, citronusher.Command{Statement: statement})
	}
	for name := range hold.Values() {
		if _, ok := task.Values[name]; !ok {
			add(citronusher.Statement{Kind: citronusher.StatementReset})
			clear(hold.Values())
			clear(hold.Prepared())
			break
		}
	}
	for name, value := range task.Values {
		if held, ok := hold.Values()[name]; !ok || held != value {
			add(citronusher.Statement{Kind: citronusher.StatementSet, Name: name, Value: value})
		}
	}
	maps.Copy(hold.Values(), task.Values)
	known := task.Prepared
	if known.Name != "" && !hold.Prepared()[known.Name] {
		add(citronusher.Statement{
			Kind: citronusher.StatementPrepare, Name: known.Name, Value: known.Text, Writes: known.Writes,
		})
		hold.Prepared()[known.Name] = true
	}
	return commands
}
