package pg

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
)

// messageHeader is the type byte and the length of a message.
const messageHeader = 5

// outcomeField is the error field, unknown to drivers, that holds the outcome for programs.
const outcomeField = 'o'

// ErrorMessage returns the error response for a failure. The outcome and the reason stand in the detail, which every
// driver shows, and the outcome alone in the field 'o'.
func ErrorMessage(f *citronusher.Failure, severity string) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.Code(), Message: f.Message(),
		Detail: fmt.Sprintf("outcome: %s; reason: %s", f.Outcome(), f.Reason()),
	}
	tagOutcome(response, f.Outcome())
	return response
}

// tagOutcome adds the outcome field to an error response.
func tagOutcome(response *pgproto3.ErrorResponse, outcome citronusher.Outcome) {
	if response.UnknownFields == nil {
		response.UnknownFields = map[byte]string{}
	}
	response.UnknownFields[outcomeField] = outcome.String()
}
