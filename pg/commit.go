package pg

import (
	"regexp"
	"slices"

	"citronusher.example/citronusher"
)

var (
	// commitPattern matches every statement that can commit or prepare a transaction. It may match other statements too.
	commitPattern = regexp.MustCompile(`(?i)\b(commit|end|prepare)\b`)
	// beginsPattern matches every statement that can begin a transaction. It may match other statements too.
	beginsPattern = regexp.MustCompile(`(?i)\b(begin|start)\b`)
	// rollbackPattern matches every statement that can roll back to a savepoint. It may match other statements too.
	rollbackPattern = regexp.MustCompile(`(?i)\brollback\b`)
	// endPattern matches every statement that can end a transaction; endThenMorePattern also requires another one after it.
	endPattern         = regexp.MustCompile(`(?i)\b(commit|end|prepare|rollback|abort)\b`)
	endThenMorePattern = regexp.MustCompile(`(?i)\b(commit|end|prepare|rollback|abort)\b[^;]*;\s*[^\s\x00]`)
)

// MayCommit reports whether the exchange could commit an open transaction, or run statements after its end. It may return
// true for one that cannot, never false for one that can.
func MayCommit(exchange citronusher.Exchange) bool {
	return anyStatement(exchange, commitPattern) || runsAfterEnd(exchange)
}

// runsAfterEnd reports whether the exchange could run a statement after it has ended an open transaction.
func runsAfterEnd(exchange citronusher.Exchange) bool {
	executions := 0
	for _, step := range exchange.Messages {
		if step.Kind == StepExecute {
			executions++
		}
	}
	return anyStatement(exchange, endThenMorePattern) || (executions > 1 && anyStatement(exchange, endPattern))
}

// anyStatement reports whether the pattern matches a statement that the exchange runs or requires.
func anyStatement(exchange citronusher.Exchange, pattern *regexp.Regexp) bool {
	matches := func(step citronusher.Message) bool {
		return (step.Kind == StepQuery || step.Kind == StepParse) && pattern.Match(step.Raw)
	}
	return slices.ContainsFunc(exchange.Messages, matches) || slices.ContainsFunc(exchange.RequiredStatements, matches)
}
