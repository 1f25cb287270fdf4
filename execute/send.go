package execute

import (
	"errors"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/targets"
)

// errSetup reports that a member refused a command that synchronises the connection's session state. The statement after it
// may have run with other session values.
var errSetup = errors.New("the session values or the prepared statement could not be set")

// send runs a statement of a session on a connection and returns the member's answer. Every statement of a session, its
// commits included, is sent by it, so that none runs without the session's values and its prepared statement: whatever the
// connection lacks of them is sent ahead in the same write. With an error the connection must be discarded; with errSetup
// the answer to the statement is returned too.
func send(
	conn *targets.Conn, task citronusher.Task, command citronusher.Command, deadline citronusher.Instant,
) (*citronusher.Answer, error) {
	state := conn.State()
	commands := state.Synchronize(task.Values, task.Prepared)
	if command.Statement.Kind == citronusher.StatementExecute {
		command.Statement.Name = state.Name(task.Prepared)
		command.Statement.Text = ""
	}
	answers, err := conn.Run(deadline, append(commands, command)...)
	if err != nil {
		return nil, err
	}
	last := len(answers) - 1
	for _, answer := range answers[:last] {
		if answer.Refusal != citronusher.RefusalNone {
			return &answers[last], errSetup
		}
	}
	return &answers[last], nil
}
