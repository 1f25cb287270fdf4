package targets

import (
	"maps"
	"strconv"

	"citronusher.example/citronusher"
)

// maxPreparedBytes is the size of the texts prepared on a connection from which they are cleared before its next use.
const maxPreparedBytes = 1 << 20 // bytes

// SessionState is the session values and the prepared statements that a member holds for a connection. Sessions share a
// connection, so the statements have names of their own there; the same statement has one name for all sessions.
type SessionState struct {
	values        map[string]string
	names         map[citronusher.PreparedStatement]string
	preparedBytes int
	lastName      int  // number in the latest name; no number is used twice
	open          bool // a transaction is open on the connection
	changed       bool // the open transaction has changed the state
	uncertain     bool // the member may hold something else
}

func newSessionState() *SessionState {
	return &SessionState{values: map[string]string{}, names: map[citronusher.PreparedStatement]string{}}
}

// Synchronize returns the commands after which the member holds exactly the values, and the prepared statement, if it is
// not the zero value: a reset if there is another value or the state is uncertain, the values that differ, and the
// statement if it is missing. The state is updated as if the commands had succeeded, so the connection must be discarded if
// one fails.
func (s *SessionState) Synchronize(
	values map[string]string, prepared citronusher.PreparedStatement,
) []citronusher.Command {
	var commands []citronusher.Command
	add := func(statement citronusher.Statement) {
		commands = append(commands, citronusher.Command{Statement: statement})
	}
	if s.uncertain || s.hasOtherThan(values) {
		add(citronusher.Statement{Kind: citronusher.StatementReset})
		s.clear()
	}
	for name, value := range values {
		if current, ok := s.values[name]; !ok || current != value {
			add(citronusher.Statement{Kind: citronusher.StatementSet, Name: name, Value: value})
		}
	}
	maps.Copy(s.values, values)
	if _, ok := s.names[prepared]; !ok && prepared != (citronusher.PreparedStatement{}) {
		add(citronusher.Statement{
			Kind: citronusher.StatementPrepare, Name: s.assignName(prepared), Value: prepared.Text, Writes: prepared.Writes,
		})
	}
	s.changed = s.changed || s.open && len(commands) > 0
	return commands
}

// BeginTransaction records that a transaction is open on the connection.
func (s *SessionState) BeginTransaction() { s.open, s.changed = true, false }

// EndTransaction records that the transaction has ended. Unless it was committed, the member may have undone what was set
// or prepared in it, so that the next Synchronize resets the state.
func (s *SessionState) EndTransaction(committed bool) {
	if s.changed && !committed {
		s.MarkUncertain()
	}
	s.open, s.changed = false, false
}

func (s *SessionState) hasOtherThan(values map[string]string) bool {
	for name := range s.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

func (s *SessionState) clear() {
	clear(s.values)
	clear(s.names)
	s.preparedBytes, s.uncertain = 0, false
}

func (s *SessionState) assignName(prepared citronusher.PreparedStatement) string {
	s.lastName++
	name := "p" + strconv.Itoa(s.lastName)
	s.names[prepared] = name
	s.preparedBytes += len(prepared.Text)
	return name
}

// Name returns the name of a statement that is prepared on the connection.
func (s *SessionState) Name(prepared citronusher.PreparedStatement) string { return s.names[prepared] }

// MarkUncertain makes the next Synchronize reset the connection's state.
func (s *SessionState) MarkUncertain() { s.uncertain = true }
