package pg

import (
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
