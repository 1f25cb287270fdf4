package pg

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
)

// Control is what the statements of an exchange do to the transaction that they run in.
type Control struct {
	// Opens is true when the exchange begins an explicit transaction and leaves it open.
	Opens bool
	// Commits is true when the exchange commits or prepares the transaction.
	Commits bool
	// RollsBackTo is true when it rolls back to a savepoint.
	RollsBackTo bool
	// RunsOn is true when it ends the transaction and goes on in a later one, or may go on in another exchange before the
	// target has told of the end.
	RunsOn bool
}

// ControlOf returns what an exchange does to its transaction. Text whose statements can't be told apart, because its quoting
// depends on the target's settings, counts as all that it could be.
func ControlOf(exchange citronusher.Exchange) Control {
	run, unrun, ok := statementsOf(exchange)
	if !ok {
		return Control{
			Opens:       anyStatement(exchange, beginsPattern) && !MayCommit(exchange),
			Commits:     MayCommit(exchange),
			RollsBackTo: anyStatement(exchange, rollbackPattern),
			RunsOn:      runsAfterEnd(exchange) || exchange.Partial && anyStatement(exchange, endPattern),
		}
	}
	var c Control
	ended := false
	for _, s := range run {
		c.RunsOn = c.RunsOn || ended || s.commits() && s.chains()
		c.Commits = c.Commits || s.commits()
		c.RollsBackTo = c.RollsBackTo || s.rollsBackTo()
		ended = ended || s.ends()
		c.Opens = (c.Opens || s.begins()) && !ended
	}
	c.RunsOn = c.RunsOn || ended && exchange.Partial || slices.ContainsFunc(unrun, statement.ends)
	return c
}

// statusAfter returns the transaction status after an exchange that ended with Flush, so that the target has not told it. It
// may be idle although a transaction is open, never the reverse.
func statusAfter(exchange citronusher.Exchange, before byte) byte {
	run, _, ok := statementsOf(exchange)
	if !ok && anyStatement(exchange, endPattern) {
		return StatusIdle
	}
	status := before
	for _, s := range run {
		switch {
		case s.ends():
			status = StatusIdle
		case s.begins():
			status = StatusActive
		}
	}
	return status
}

// statementsOf returns the statements of an exchange in the order in which they run, and those that are bound but not run.
// ok is false when a text can't be split.
func statementsOf(exchange citronusher.Exchange) (run, unrun []statement, ok bool) {
	prepared := map[string]string{} // texts
	bound := map[string]string{}    // texts, until they run; a portal that runs again goes on with its rows
	ok = true
	split := func(text string) []statement {
		statements, complete := splitStatements(text)
		ok = ok && complete
		return statements
	}
	for _, step := range slices.Concat(exchange.RequiredStatements, exchange.Messages) {
		body := step.Raw[min(len(step.Raw), messageHeaderSize):]
		switch step.Kind {
		case StepQuery:
			run = append(run, split(StatementText(step))...)
		case StepParse:
			var m pgproto3.Parse
			ok = m.Decode(body) == nil && ok
			prepared[m.Name] = m.Query
		case StepBind:
			var m pgproto3.Bind
			ok = m.Decode(body) == nil && ok
			bound[m.DestinationPortal] = prepared[m.PreparedStatement]
		case StepExecute:
			var m pgproto3.Execute
			ok = m.Decode(body) == nil && ok
			run = append(run, split(bound[m.Portal])...)
			delete(bound, m.Portal)
		}
	}
	for _, text := range bound {
		unrun = append(unrun, split(text)...)
	}
	return run, unrun, ok
}
