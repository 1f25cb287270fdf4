package citronusher

import (
	"context"
	"time"
)

// Message is one message of an exchange, in the protocol of the caller and the targets.
type Message struct {
	// Statement is the kind of the message's statement; StatementOther when the protocol does not determine it.
	Statement StatementKind
	// Kind is the message's type in its protocol.
	Kind byte
	// Name is the prepared statement that the message defines or uses; empty when it names none.
	Name string
	// Raw is the complete encoded message, including type byte and length.
	Raw []byte
	// RecordedAnswer, when set, is the encoded answer to return without sending the message, because the outcome of the request
	// was decided before.
	RecordedAnswer []byte
}

// Exchange is what a caller sends before it waits for answers: one simple query, or extended messages up to a Sync or
// a Flush.
type Exchange struct {
	// Messages are the messages, in order.
	Messages []Message
	// RequiredStatements are the messages that define the prepared statements that this exchange uses but does not define.
	RequiredStatements []Message
	// Partial is true when the exchange ended with Flush, so that later exchanges belong to the same implicit transaction.
	Partial bool
}

// Request is one exchange with all that determines how it is served.
type Request struct {
	// Database names the configured database.
	Database string
	// Profile names the configured profile.
	Profile string
	// Caller identifies the caller for fair queueing.
	Caller string
	// ID is the caller's identifier of a non-repeatable request; empty when it has none.
	ID string
	// MinPosition is the position that a replica must have reached to serve reads.
	MinPosition Position
	// PositionKnown is false when the session's position is not known; reads are then sent to the primary.
	PositionKnown bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Exchange is what to run.
	Exchange Exchange
}

// Result is the result of an exchange that the target answered.
type Result struct {
	// Status is the transaction status byte of ReadyForQuery: I, T or E.
	Status byte
	// Position is the new position of the session; zero when it did not change.
	Position Position
	// Replica is true when a replica served the exchange.
	Replica bool
	// Pinned is true while the connection holds a target connection.
	Pinned bool
	// Failed is the SQLSTATE of the target's own error answer; empty when it had none.
	Failed string
}

// Sink receives encoded backend messages in order. It must not retain the slice.
type Sink func(raw []byte) error

// DatabaseConn is a caller's connection to one database, on which it runs a sequence of exchanges. Between the first
// exchange of a transaction and its end it is pinned to one target connection. A DatabaseConn is used by one
// goroutine at a time.
type DatabaseConn interface {
	// Do runs one exchange and streams its answer, without ReadyForQuery, into sink. Its error is a *Failure.
	Do(ctx context.Context, request Request, sink Sink) (Result, error)
	// Close releases what the connection holds; an open transaction is rolled back.
	Close() error
}

// Connector opens database connections. The daemon's own databases and the connections to peers implement it.
type Connector interface {
	// Open returns a new connection to database. Its error is a *Failure with outcome NotRun.
	Open(ctx context.Context, database string) (DatabaseConn, error)
}
