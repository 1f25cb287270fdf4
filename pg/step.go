package pg

import (
	"regexp"

	"citronusher.example/citronusher"
)

// The message types of the frontend that an exchange can contain.
const (
	StepQuery    byte = 'Q'
	StepParse    byte = 'P'
	StepBind     byte = 'B'
	StepDescribe byte = 'D'
	StepExecute  byte = 'E'
	StepClose    byte = 'C'
	StepSync     byte = 'S'
)

// beginPattern matches a statement that begins an explicit transaction; readOnlyPattern matches its READ ONLY clause.
var (
	beginPattern    = regexp.MustCompile(`(?i)^\s*(begin|start\s+transaction)\b`)
	readOnlyPattern = regexp.MustCompile(`(?i)\bread\s+only\b`)
)

// StatementKind reports whether a statement begins a transaction, read-only or not, or is any other statement. The
// kind is all that is derived from the SQL text.
func StatementKind(text string) citronusher.StatementKind {
	switch {
	case !beginPattern.MatchString(text):
		return citronusher.StatementOther
	case readOnlyPattern.MatchString(text):
		return citronusher.StatementBeginReadOnly
	default:
		return citronusher.StatementBegin
	}
}
