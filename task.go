package citronusher

import "context"

// TransactionPart is the position of a task in a transaction.
type TransactionPart int

// The parts of a transaction.
const (
	// PartNone is a statement outside a transaction.
	PartNone TransactionPart = iota
	// PartFirst is a transaction's first statement that is sent to a member: the executor begins the transaction before it.
	PartFirst
	// PartNext is a later statement of a transaction.
	PartNext
)

// PreparedStatement is a statement that is prepared on a member connection before it is executed. The zero value is none.
type PreparedStatement struct {
	// Text is the text that was prepared.
	Text string
	// Writes is set when it writes.
	Writes bool
}

// Task is one statement of a session with all that determines how it is served.
type Task struct {
	// Route is the active route at the session's daemon, and Version the version of its plan.
	Route   Route
	Version uint64
	// Statement is what to run.
	Statement Statement
	// Writes is set when the statement may write.
	Writes bool
	// Part is the statement's position in its transaction.
	Part TransactionPart
	// ReadOnly is set for a transaction that only reads.
	ReadOnly bool
	// Values are the session's values.
	Values map[string]string
	// Prepared is the prepared statement that the statement executes.
	Prepared PreparedStatement
	// SessionPosition is the position of the session's last write.
	SessionPosition Position
	// ArrivedAt is when the statement was received from its caller.
	ArrivedAt Instant
	// BeganAt is when the transaction began.
	BeganAt Instant
	// MemberWaitDeadline is how long a home waits for a usable member when it has none. Afterwards it rejects the statement,
	// so that the entry can try another home.
	MemberWaitDeadline Instant
}

// Deadline returns the time by which the statement must have started at a member.
func (t Task) Deadline() Instant { return t.ArrivedAt.Add(t.Route.Limit) }

// Trace records how a statement was served, for log lines.
type Trace struct {
	// Home is the daemon that served the statement; empty when it was the caller's entry.
	Home string
	// Group is the database group.
	Group string
	// Member is the member that the statement was sent to last.
	Member string
	// Term is the term of the primary that was used; 0 for a replica.
	Term uint64
	// After is the position that a replica had to reach.
	After Position
	// Attempts counts the connections on which the statement was attempted.
	Attempts int
}

// LogArgs returns the trace as fields of a log line about the statement id of a database.
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

// TaskResult is the result of a task.
type TaskResult struct {
	// Answer is the member's response.
	Answer Answer
	// SessionPosition is the position of the session's last write.
	SessionPosition Position
	// Trace records how the task was served; it is also set together with an error.
	Trace Trace
}

// Executor runs the tasks of one session, one after the other. During a transaction it holds a connection to a member,
// or another daemon holds one for it.
type Executor interface {
	// Execute runs a task. Its error is a *Failure; a transaction that was open is rolled back after it.
	Execute(task Task) (TaskResult, error)
	// Rollback rolls the open transaction back, if there is one.
	Rollback()
}

// TaskHandler serves the tasks that other daemons forward to this one.
type TaskHandler interface {
	// Execute runs a task of a session of another daemon.
	Execute(session SessionKey, task Task) (TaskResult, error)
	// Rollback rolls a session's open transaction back.
	Rollback(session SessionKey)
}

// SessionKey identifies a session among all daemons.
type SessionKey struct {
	// Instance names the session's entry.
	Instance string
	// Number is unique among the sessions of the daemon's process.
	Number uint64
}

// TaskForwarder forwards tasks to other daemons.
type TaskForwarder interface {
	// Execute makes a daemon run a task. Its error is a *Failure from the daemon, or wraps ErrNotDelivered when the task
	// was not delivered, or ErrUnavailable when it may have run.
	Execute(ctx context.Context, home Instance, session SessionKey, task Task) (TaskResult, error)
	// Rollback makes a daemon roll a session's open transaction back. Its error wraps ErrNotDelivered or ErrUnavailable.
	Rollback(ctx context.Context, home Instance, session SessionKey) error
	// Ping checks whether a daemon responds. Its error wraps ErrNotDelivered or ErrUnavailable.
	Ping(ctx context.Context, home Instance) error
}
