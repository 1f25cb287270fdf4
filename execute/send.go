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
// connection lacks of them is sent ahead in the same write. With targets.ErrNotSent nothing was sent, and with
// targets.ErrUnconfirmed the answer is returned, on a connection that is in order. With any other error the connection must
// be discarded; with errSetup the answer to the statement is returned too.
func send(
	conn *targets.Conn, task citronusher.Task, command citronusher.Command, deadline citronusher.Instant,
) (*citronusher.Answer, error) {
	state := conn.State()
	commands := state.Synchronize(task.Values, task.Prepared)
	if command.Statement.Kind == citronusher.StatementExecute {
		command.Statement.Name = state.Name(task.Prepared)
		command.Statement.Text = ""
	}
	answers, err := conn.Run(deadline, confirmBy(task), append(commands, command)...)
	if errors.Is(err, targets.ErrNotSent) && len(commands) > 0 {
		state.MarkUncertain()
	}
	if err != nil && !errors.Is(err, targets.ErrUnconfirmed) {
		return nil, err
	}
	last := len(answers) - 1
	for _, answer := range answers[:last] {
		if answer.Refusal != citronusher.RefusalNone {
			return &answers[last], errSetup
		}
	}
	return &answers[last], err
}

// confirmBy returns how long the answer to a statement on the primary may wait for a renewal of the lease. What can run
// elsewhere instead waits no longer than for a usable member.
func confirmBy(task citronusher.Task) citronusher.Instant {
	if task.Part == citronusher.PartNone && !task.Writes {
		return min(task.Deadline(), task.MemberWaitDeadline)
	}
	return task.Deadline()
}
