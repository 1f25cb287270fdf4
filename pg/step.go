package pg

import (
	"regexp"

	"citronusher.example/citronusher"
)

// Step kinds are the frontend message types that an exchange can hold.
const (
	StepQuery    byte = 'Q'
	StepParse    byte = 'P'
	StepBind     byte = 'B'
	StepDescribe byte = 'D'
	StepExecute  byte = 'E'
	StepClose    byte = 'C'
	StepSync     byte = 'S'
)

// beginPattern matches a query that opens an explicit transaction; readOnlyPattern one that cannot write.
var (
	beginPattern    = regexp.MustCompile(`(?i)^\s*(begin|start\s+transaction)\b`)
	readOnlyPattern = regexp.MustCompile(`(?i)\bread\s+only\b`)
)

// StatementKind tells a statement's text that opens a transaction from all others. Nothing else is read out of SQL.
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
