package citronusher

// StatementKind says what a statement does to its session and to the data.
type StatementKind int

// The kinds of statements.
const (
	// StatementOther is a statement that the protocol does not know.
	StatementOther StatementKind = iota
	// StatementBegin opens a transaction that may write.
	StatementBegin
	// StatementBeginReadOnly opens a transaction that only reads.
	StatementBeginReadOnly
	// StatementCommit ends a transaction and keeps its writes.
	StatementCommit
	// StatementRollback ends a transaction and drops its writes.
	StatementRollback
	// StatementRead reads.
	StatementRead
	// StatementWrite writes.
	StatementWrite
	// StatementSet gives a session value.
	StatementSet
	// StatementPrepare names a shape for later execution.
	StatementPrepare
	// StatementExecute runs a prepared statement.
	StatementExecute
	// StatementDeallocate forgets a prepared statement.
	StatementDeallocate
	// StatementReset clears all session values and prepared statements of a connection. Callers never send it.
	StatementReset
)

// Statement is one statement of a caller, or one that the proxy sends by itself. The protocol that read it also
// writes it.
type Statement struct {
	// ID is the caller's identity of the statement; empty for the proxy's own statements.
	ID string
	// Kind says what the statement does.
	Kind StatementKind
	// Name is the session value that a set names, or the prepared statement of prepare, execute and deallocate.
	Name string
	// Value is the session value, the shape that is prepared, or the arguments of execute.
	Value string
	// Writes is set for a prepare whose statement writes.
	Writes bool
	// Text is the statement as the caller sent it. When it is empty the protocol writes the statement from the other
	// fields.
	Text string
}

// TransactionState is a session's or a connection's place in a transaction.
type TransactionState int

// The transaction states.
const (
	// StateIdle is outside a transaction.
	StateIdle TransactionState = iota
	// StateOpen is inside a transaction.
	StateOpen
	// StateFailed is inside a transaction that can only be ended.
	StateFailed
)

// Command is a statement as it goes to a member.
type Command struct {
	Statement Statement
	// After is the position that the member's log must hold for the statement to run; zero asks for none.
	After Position
}

// Refusal is a member's reason for an error answer.
type Refusal int

// The refusals of members.
const (
	// RefusalNone is no refusal: the statement succeeded.
	RefusalNone Refusal = iota
	// RefusalBusy says that the member's queue is full. The statement did not run.
	RefusalBusy
	// RefusalBehind says that the member's log lacks the position asked for. The statement did not run.
	RefusalBehind
	// RefusalReadOnly says that the member does not lead. The statement did not run.
	RefusalReadOnly
	// RefusalWrongMember says that another member answers at the address. Nothing ran.
	RefusalWrongMember
	// RefusalConnections says that the member takes no more connections. Nothing ran.
	RefusalConnections
	// RefusalUnprepared says that the connection does not know the prepared statement. The statement did not run.
	RefusalUnprepared
	// RefusalAborted says that nothing of the transaction is kept.
	RefusalAborted
	// RefusalFailed says that the statement ran and failed.
	RefusalFailed
	// RefusalOther is any other error; nothing is known of the statement.
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

// Answer is a member's whole answer to one command.
type Answer struct {
	// Payload is the answer in the protocol's encoding, without the state that follows it.
	Payload []byte
	// Refusal is why the command failed; RefusalNone when it succeeded.
	Refusal Refusal
	// State is the connection's transaction state after the command.
	State TransactionState
	// Position is the end of the member's log; zero when the member did not tell.
	Position Position
}

// MemberStatus is a member's report of itself.
type MemberStatus struct {
	// Role is the member's part in replication, as it sees itself.
	Role Role
	// Term is the newest term that the member knows a primary of.
	Term uint64
	// Position is the end of the log that the member received.
	Position Position
	// PausedTerm is the highest term under which the member was told to stop receiving; 0 when it receives.
	PausedTerm uint64
	// LagMillis is how far the member believes to be behind, in milliseconds.
	LagMillis int64
}

// MemberConn is one connection to a group member. It is used by one goroutine at a time.
type MemberConn interface {
	// Run sends commands in one write and returns their answers in order. On an error the answers that arrived whole are
	// returned with it, and the connection must be closed.
	Run(deadline Instant, commands ...Command) ([]Answer, error)
	// Status asks the member for its report.
	Status(deadline Instant) (MemberStatus, error)
	// PauseReplication makes a replica stop receiving under term.
	PauseReplication(deadline Instant, term uint64) (MemberStatus, error)
	// ResumeReplication makes a replica receive again.
	ResumeReplication(deadline Instant) error
	// Demote makes a primary of a term below term a replica.
	Demote(deadline Instant, term uint64) (MemberStatus, error)
	// Open reports whether the member has left the connection open, as far as is known here.
	Open() bool
	// Close closes the connection at once; whatever it runs is rolled back.
	Close() error
}

// MemberDialer opens connections to group members.
type MemberDialer interface {
	// Dial connects to the member id of group at address. Its error is a *Failure that did not run.
	Dial(deadline Instant, address, group, id string) (MemberConn, error)
}

// Caller is one session of a caller, in the protocol that the caller speaks.
type Caller interface {
	// Startup returns the database that the caller asks for. Its error is ErrClosed or ErrInvalid.
	Startup() (database string, err error)
	// Accept tells the caller that its session began.
	Accept() error
	// Next waits for the caller's next statement. Its error is ErrClosed, or ErrInvalid for input that is not a statement.
	Next() (Statement, error)
	// SendAnswer sends a member's answer, followed by the session's state.
	SendAnswer(answer Answer, state TransactionState) error
	// SendDone tells the caller that a statement that no member ran succeeded.
	SendDone(state TransactionState) error
	// SendFailure tells the caller why its statement failed, followed by the session's state.
	SendFailure(failure *Failure, state TransactionState) error
	// Reject tells the caller why it gets no session.
	Reject(failure *Failure) error
	// Interrupt makes a waiting Next return ErrClosed.
	Interrupt()
	// Close closes the connection.
	Close() error
}
