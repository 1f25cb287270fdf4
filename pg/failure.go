package pg

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
)

// messageHeaderSize is the size in bytes of a message's type and length.
const messageHeaderSize = 5

// outcomeField is a non-standard field of ErrorResponse that holds the outcome for programs. Drivers ignore it.
const outcomeField = 'o'

// ErrorMessage returns the ErrorResponse for a failure. The detail, which every driver shows, holds the outcome and the
// reason; the field 'o' holds the outcome alone.
func ErrorMessage(f *citronusher.Failure, severity string) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.Code(), Message: f.Message(),
		Detail: fmt.Sprintf("outcome: %s; reason: %s", f.Outcome(), f.Reason()),
	}
	setOutcome(response, f.Outcome())
	return response
}

// setOutcome adds the outcome field to an error response.
func setOutcome(response *pgproto3.ErrorResponse, outcome citronusher.Outcome) {
	if response.UnknownFields == nil {
		response.UnknownFields = map[byte]string{}
	}
	response.UnknownFields[outcomeField] = outcome.String()
}

// NewContextEnded returns the failure of a request whose context ended with err before the request was sent.
func NewContextEnded(err error) error {
	if errors.Is(err, context.Canceled) {
		return citronusher.NewNotRun(citronusher.ReasonCancel, "the request was cancelled before it was sent")
	}
	return citronusher.NewNotRun(citronusher.ReasonDeadline, "the deadline passed before the request was sent")
}

// failure returns the failure of an exchange that could not be sent or whose answer could not be received or passed on.
// before is the transaction status before the exchange, and written counts the bytes of size that were sent: messages that
// were sent completely run, though the connection is lost. What is open then is rolled back.
func (c *Conn) failure(before byte, exchange citronusher.Exchange, written, size int, cause error) error {
	c.dirty = true
	complete := written == size
	sentPart := written > 0 && (complete || len(exchange.Messages) > 1)
	mayCommit := MayCommit(exchange)
	if before == StatusFailed {
		mayCommit = runsAfterEnd(exchange)
	}
	switch {
	case sentPart && mayCommit, complete && before == StatusIdle:
		return citronusher.NewUnknown(citronusher.ReasonBroken,
			"the exchange failed before its whole answer was received and passed on: %v", cause)
	case before == StatusIdle:
		return citronusher.NewNotRun(citronusher.ReasonBroken, "the request could not be sent completely to the target: %v",
			cause)
	default:
		return citronusher.NewNotRun(citronusher.ReasonBroken,
			"the exchange failed before the transaction could commit; the transaction is rolled back: %v", cause)
	}
}
