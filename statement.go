package citronusher

// StatementKind is the effect of a statement on its session and on the data.
type StatementKind int

// The kinds of statements.
const (
	// StatementOther is a statement that the protocol does not recognize.
	StatementOther StatementKind = iota
	// StatementBegin opens a transaction that may write.
	StatementBegin
	// StatementBeginReadOnly opens a transaction that only reads.
	StatementBeginReadOnly
	// StatementCommit ends a transaction and keeps its writes.
	StatementCommit
	// StatementRollback ends a transaction and discards its writes.
	StatementRollback
	// StatementRead reads data.
	StatementRead
	// StatementWrite writes data.
	StatementWrite
	// StatementSet sets a session value.
	StatementSet
	// StatementPrepare names a statement text for later execution.
	StatementPrepare
	// StatementExecute runs a prepared statement.
	StatementExecute
	// StatementDeallocate removes a prepared statement.
	StatementDeallocate
	// StatementReset clears all session values and prepared statements of a connection. Only the proxy sends it.
	StatementReset
)

// Statement is one statement of a caller, or one that the proxy sends itself. It is encoded by the protocol that decoded
// it.
type Statement struct {
	// ID is the caller's identifier of the statement; empty for the proxy's own statements.
	ID string
	// Kind is the statement's effect.
	Kind StatementKind
	// Name is the name of the session value of a set, or of the prepared statement of prepare, execute and deallocate.
	Name string
	// Value is the session value, the text that is prepared, or the arguments of execute.
	Value string
	// Writes is set for a prepare whose statement writes.
	Writes bool
	// Text is the statement as the caller sent it. When it is empty, the statement is encoded from the other fields.
	Text string
}

// TransactionState is the transaction state of a session or a connection.
type TransactionState int

// The transaction states.
const (
	// StateIdle is outside a transaction.
	StateIdle TransactionState = iota
	// StateOpen is inside a transaction.
	StateOpen
	// StateFailed is inside a failed transaction, which can only be ended.
	StateFailed
)

// Command is a statement to send to a member.
type Command struct {
	Statement Statement
	// After is the position that the member's log must have reached before the statement runs; zero requires none.
	After Position
}

// Refusal is a member's reason for an error response.
type Refusal int

// The refusals of members.
const (
	// RefusalNone is no refusal: the statement succeeded.
	RefusalNone Refusal = iota
	// RefusalBusy means that the member's queue is full. The statement did not run.
	RefusalBusy
	// RefusalBehind means that the member's log has not reached the required position. The statement did not run.
	RefusalBehind
	// RefusalReadOnly means that the member is not the primary. The statement did not run.
	RefusalReadOnly
	// RefusalWrongMember means that another member responds at the address. Nothing ran.
	RefusalWrongMember
	// RefusalConnections means that the member accepts no more connections. Nothing ran.
	RefusalConnections
	// RefusalUnprepared means that the statement is not prepared on the connection. The statement did not run.
	RefusalUnprepared
	// RefusalAborted means that the whole transaction was rolled back.
	RefusalAborted
	// RefusalFailed means that the statement ran and failed.
	RefusalFailed
	// RefusalOther is any other error; the statement may have run.
	RefusalOther
)

// NotRun reports whether the refusal proves that the statement did not run.
func (r Refusal) NotRun() bool {
	switch r {
	case RefusalBusy, RefusalBehind, RefusalReadOnly, RefusalWrongMember, RefusalConnections, RefusalUnprepared:
		return true
	default:
		return false
	}
}

// Answer is a member's complete response to one command.
type Answer struct {
	// Payload is the response in the protocol's encoding, without the transaction state that follows it.
	Payload []byte
	// Refusal is why the command failed; RefusalNone when it succeeded.
	Refusal Refusal
	// State is the connection's transaction state after the command.
	State TransactionState
	// Position is the end of the member's log; zero when the member did not report it.
	Position Position
}

// MemberStatus is the state that a member reports about itself.
type MemberStatus struct {
	// Role is the member's part in replication, as it reports it.
	Role Role
	// Term is the newest term of which the member has a primary.
	Term uint64
	// Position is the end of the log that the member received.
	Position Position
	// PausedTerm is the highest term under which the member's replication was paused; 0 while it replicates.
	PausedTerm uint64
	// LagMillis is the member's own estimate of its replication lag, in milliseconds.
	LagMillis int64
}

// MemberConn is one connection to a group member. It is used by one goroutine at a time.
type MemberConn interface {
	// Run sends commands in one write and returns the responses in order. On an error it also returns the responses that
	// arrived completely, and the connection must be closed.
	Run(deadline Instant, commands ...Command) ([]Answer, error)
	// Status requests the member's status.
	Status(deadline Instant) (MemberStatus, error)
	// PauseReplication makes a replica pause replication under term.
	PauseReplication(deadline Instant, term uint64) (MemberStatus, error)
	// ResumeReplication makes a replica replicate again.
	ResumeReplication(deadline Instant) error
	// Demote makes the member a replica if it is the primary of a term below term.
	Demote(deadline Instant, term uint64) (MemberStatus, error)
	// Open reports whether the connection is still open, as far as it can be determined locally.
	Open() bool
	// Close closes the connection at once; the member rolls back what it runs.
	Close() error
}

// MemberDialer opens connections to group members.
type MemberDialer interface {
	// Dial connects to the member id of group at address. Its error is a *Failure with outcome NotRun.
	Dial(deadline Instant, address, group, id string) (MemberConn, error)
}

// Caller is one session of a caller, in the protocol that the caller speaks.
type Caller interface {
	// Startup returns the database that the caller connects to. Its error is ErrClosed or ErrInvalid.
	Startup() (database string, err error)
	// Accept reports to the caller that its session has started.
	Accept() error
	// Next waits for the caller's next statement. Its error is ErrClosed, or ErrInvalid for input that is not a statement.
	Next() (Statement, error)
	// SendAnswer sends a member's response, followed by the session's transaction state.
	SendAnswer(answer Answer, state TransactionState) error
	// SendDone reports the success of a statement that needed no member.
	SendDone(state TransactionState) error
	// SendFailure sends the error of a statement, followed by the session's transaction state.
	SendFailure(failure *Failure, state TransactionState) error
	// Reject sends the reason for which the caller's session is not started.
	Reject(failure *Failure) error
	// Interrupt makes a waiting Next return ErrClosed.
	Interrupt()
	// Close closes the connection.
	Close() error
}
