package targets

import (
	"strings"
	"testing"

	"citronusher.example/citronusher"
)

// kinds returns the kinds of the commands' statements.
func kinds(commands []citronusher.Command) []citronusher.StatementKind {
	list := make([]citronusher.StatementKind, 0, len(commands))
	for _, c := range commands {
		list = append(list, c.Statement.Kind)
	}
	return list
}

// TestEachStatementHasItsOwnName guards against an EXECUTE that runs the statement of another session: statements whose
// texts have the same hash, and a read and a write of the same text, share no name on a connection.
func TestEachStatementHasItsOwnName(t *testing.T) {
	statements := []citronusher.PreparedStatement{
		{Text: "grade_of_route_where_id=?_hint=a_limit=1_order_by_revision_desc_"},
		{Text: "qd4eWQb9_route_where_id=?_hint=afZtr_?-I_order_by_revision_desc_"}, // the same xxhash64
		{Text: "grade_of_route_where_id=?_hint=a_limit=1_order_by_revision_desc_", Writes: true},
	}
	s := newSessionState()
	for i, statement := range statements {
		commands := s.Synchronize(nil, statement)
		if len(commands) != 1 {
			t.Fatalf("statement %d was not prepared: %+v", i, commands)
		}
		sent := commands[0].Statement
		if sent.Value != statement.Text || sent.Writes != statement.Writes {
			t.Errorf("statement %d was prepared as %+v", i, sent)
		}
		if again := s.Synchronize(nil, statement); len(again) != 0 {
			t.Errorf("statement %d was prepared again: %+v", i, again)
		}
		if s.Name(statement) != commands[0].Statement.Name {
			t.Errorf("statement %d: prepared as %s, executed as %s", i, commands[0].Statement.Name, s.Name(statement))
		}
		for _, earlier := range statements[:i] {
			if s.Name(earlier) == s.Name(statement) {
				t.Errorf("%+v and %+v have the same name", earlier, statement)
			}
		}
	}
}

// TestNamesAreNotReused guards against an EXECUTE under a name that stands for another statement since a reset.
func TestNamesAreNotReused(t *testing.T) {
	s := newSessionState()
	first := citronusher.PreparedStatement{Text: "first"}
	s.Synchronize(map[string]string{"a": "1"}, first)
	name := s.Name(first)
	second := citronusher.PreparedStatement{Text: "second"}
	commands := s.Synchronize(nil, second)
	if len(commands) != 2 || commands[0].Statement.Kind != citronusher.StatementReset {
		t.Fatalf("a value of another session was not reset: %v", kinds(commands))
	}
	if s.Name(second) == name || s.Name(first) != "" {
		t.Errorf("names %q and %q, before %q", s.Name(first), s.Name(second), name)
	}
}

// TestPreparedTextsOfAConnectionAreBounded guards against the memory of a daemon and of a member that a caller with many
// long prepared statements uses up on each shared connection.
func TestPreparedTextsOfAConnectionAreBounded(t *testing.T) {
	const length = 300 << 10 // bytes
	g, _ := newTestGroup(t)
	m := g.members["b"]
	c := &pooledConn{state: newSessionState()}
	m.conns[c] = struct{}{}
	for i := range 20 {
		h := &Conn{group: g, member: m, id: "b", conn: c}
		h.State().Synchronize(nil, citronusher.PreparedStatement{Text: strings.Repeat(string(rune('a'+i)), length)})
		if size := h.State().preparedBytes; size > maxPreparedBytes+length {
			t.Fatalf("%d bytes are prepared on the connection", size)
		}
		h.Release()
	}
}

// TestStateOfARolledBackTransactionIsSetAgain guards against a statement that runs without a session value, or with the one
// of another session, because the member undid what was set in a transaction that was rolled back.
func TestStateOfARolledBackTransactionIsSetAgain(t *testing.T) {
	before, after := map[string]string{"a": "1"}, map[string]string{"a": "2"}
	none := citronusher.PreparedStatement{}
	for _, test := range []struct {
		set       map[string]string // in the transaction
		committed bool
		reset     bool
	}{{after, false, true}, {after, true, false}, {before, false, false}} {
		s := newSessionState()
		s.Synchronize(before, none)
		s.BeginTransaction()
		s.Synchronize(test.set, none)
		s.EndTransaction(test.committed)
		commands := s.Synchronize(test.set, none)
		if reset := len(commands) == 2 && commands[0].Statement.Kind == citronusher.StatementReset; reset != test.reset {
			t.Errorf("%+v: %v", test, kinds(commands))
		}
	}
}
