package citronusher

import (
	"context"
	"time"
)

// Message is one message of an exchange, in the protocol that the caller and the targets speak.
type Message struct {
	// Statement is what the step's statement does, as far as the protocol tells; StatementOther when it does not.
	Statement StatementKind
	// Kind is the message's type in its protocol.
	Kind byte
	// Name is the prepared statement that the message defines or uses; empty when it names none.
	Name string
	// Raw is the whole encoded message, type byte and length included.
	Raw []byte
	// RecordedAnswer, when set, is the encoded answer to give without sending the step: the request was decided before.
	RecordedAnswer []byte
}

// Exchange is what a caller sends before it waits for answers: one simple query, or extended messages up to a Sync or
// a Flush.
type Exchange struct {
	// Messages are the messages, in order.
	Messages []Message
	// RequiredStatements are the definitions of the prepared statements that the steps use and do not define.
	RequiredStatements []Message
	// Partial is true when the exchange ended with Flush, so that more belongs to the same implicit transaction.
	Partial bool
}

// Request is one exchange with everything that decides how it is served.
type Request struct {
	// Database names the configured database.
	Database string
	// Profile names the configured profile.
	Profile string
	// Caller identifies the caller for fair queueing.
	Caller string
	// ID is the caller's identity for a non-repeatable request; empty when it has none.
	ID string
	// MinPosition is the position that reads must have reached.
	MinPosition Position
	// PositionKnown is false when the session's position could not be learnt; reads then go to the primary.
	PositionKnown bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Exchange is what to run.
	Exchange Exchange
}

// Result is how an exchange ended when the target answered it.
type Result struct {
	// Status is the transaction status byte of ReadyForQuery: I, T or E.
	Status byte
	// Position is the new position of the session; zero when it did not change.
	Position Position
	// Replica is true when a replica served the exchange.
	Replica bool
	// Pinned is true while the work holds a target connection.
	Pinned bool
	// Failed is the SQLSTATE of the target's own error answer; empty when it had none.
	Failed string
}

// Sink receives encoded backend messages in order. It must not keep the slice.
type Sink func(raw []byte) error

// DatabaseConn is a caller's sequence of exchanges with one database. Between the first exchange of a transaction and its end
// it is pinned to one target connection. A DatabaseConn is used by one goroutine at a time.
type DatabaseConn interface {
	// Do runs one exchange and streams its answer, without ReadyForQuery, into sink. Its error is a *Failure.
	Do(ctx context.Context, request Request, sink Sink) (Result, error)
	// Close gives back what the work holds; an open transaction is rolled back.
	Close() error
}

// Connector opens works. The daemon's own databases and connections to peers both implement it.
type Connector interface {
	// Open returns a new work on database. Its error is a *Failure that did not run.
	Open(ctx context.Context, database string) (DatabaseConn, error)
}
