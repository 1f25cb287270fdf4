package citronusher

import "context"

// TransactionPart is a task's place in a transaction.
type TransactionPart int

// The parts of a transaction.
const (
	// PartNone is a statement outside a transaction.
	PartNone TransactionPart = iota
	// PartFirst is a transaction's first statement that a member sees: the executor begins the transaction before it.
	PartFirst
	// PartNext is a later statement of a transaction.
	PartNext
)

// PreparedStatement is a prepared statement as member connections know it.
type PreparedStatement struct {
	// Name is its name on member connections, the same for all sessions; empty when none is needed.
	Name string
	// Text is what was prepared.
	Text string
	// Writes is set when it writes.
	Writes bool
}

// Task is one statement of a session with everything that decides how it is served.
type Task struct {
	// Route is the route that the session's daemon has in force, and Version the version of its plan.
	Route   Route
	Version uint64
	// Statement is what to run.
	Statement Statement
	// Writes is set when the statement may write.
	Writes bool
	// Part is the statement's place in its transaction.
	Part TransactionPart
	// ReadOnly is set for a transaction that only reads.
	ReadOnly bool
	// Values are the session's values.
	Values map[string]string
	// Prepared is the prepared statement that the statement executes.
	Prepared PreparedStatement
	// SessionPosition is the position of the session's last write.
	SessionPosition Position
	// ArrivedAt is when the statement came from its caller.
	ArrivedAt Instant
	// BeganAt is when the transaction began.
	BeganAt Instant
	// MemberWaitDeadline is until when a home waits for a member that can serve while it can use none. Afterwards it
	// refuses the statement at once, so that another home can be asked.
	MemberWaitDeadline Instant
}

// Deadline returns when the statement must have started at a member.
func (t Task) Deadline() Instant { return t.ArrivedAt.Add(t.Route.Limit) }

// Trace is what a log line tells of how a statement was served.
type Trace struct {
	// Home is the daemon that served the statement; empty when it was the caller's.
	Home string
	// Group is the database group.
	Group string
	// Member is the member that the statement was sent to last.
	Member string
	// Term is the term of the primary that was used; 0 for a replica.
	Term uint64
	// After is the position that a replica had to hold.
	After Position
	// Attempts counts the connections that the statement got.
	Attempts int
}

// LogArgs are the trace as fields of a log line about the statement id of a database.
func (t Trace) LogArgs(id, database string) []any {
	args := []any{
		"id", id, "database", database, "group", t.Group, "member", t.Member, "term", t.Term, "after", t.After.String(),
		"tries", t.Attempts,
	}
	if t.Home != "" {
		args = append(args, "home", t.Home)
	}
	return args
}

// TaskResult is how a task ended.
type TaskResult struct {
	// Answer is the member's answer.
	Answer Answer
	// SessionPosition is the position of the session's last write.
	SessionPosition Position
	// Trace tells how the task was served; it is also set beside an error.
	Trace Trace
}

// Executor runs the tasks of one session, one after the other. Between the parts of a transaction it holds a
// connection to a member, or has another daemon hold it.
type Executor interface {
	// Execute runs a task. Its error is a *Failure; a transaction that was open is rolled back after it.
	Execute(task Task) (TaskResult, error)
	// Rollback rolls the open transaction back, if there is one.
	Rollback()
}

// TaskHandler serves the tasks that other daemons carry to this one.
type TaskHandler interface {
	// Execute runs a task of a session of another daemon.
	Execute(session SessionKey, task Task) (TaskResult, error)
	// Rollback rolls a session's open transaction back.
	Rollback(session SessionKey)
}

// SessionKey identifies a session among all daemons.
type SessionKey struct {
	// Instance names the daemon that has the session.
	Instance string
	// Number is different for each session of the daemon's process.
	Number uint64
}

// TaskForwarder carries tasks to other daemons.
type TaskForwarder interface {
	// Execute has a daemon run a task. Its error is a *Failure from the daemon, or wraps ErrNotDelivered when the task
	// certainly did not get there, or ErrUnavailable when it may have run.
	Execute(ctx context.Context, home Instance, session SessionKey, task Task) (TaskResult, error)
	// Rollback has a daemon roll a session's open transaction back. Its error wraps ErrNotDelivered or ErrUnavailable.
	Rollback(ctx context.Context, home Instance, session SessionKey) error
	// Ping asks whether a daemon answers. Its error wraps ErrNotDelivered or ErrUnavailable.
	Ping(ctx context.Context, home Instance) error
}
