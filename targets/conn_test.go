package targets

import (
	"errors"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

// TestAnswerOfANewerTermEndsTheLease guards against a primary that is used on although an answer of it, or of a replica,
// shows that another one leads a newer term.
func TestAnswerOfANewerTermEndsTheLease(t *testing.T) {
	for _, id := range []string{"a", "b"} {
		f := newFakeGroup(t)
		g := f.open()
		f.advance(time.Millisecond)
		g.discover()
		position := citronusher.NewPosition(1, 7)
		f.members[id].run = func() citronusher.Answer { return citronusher.Answer{Position: position} }
		conn := acquireFrom(t, g, id)
		for _, c := range []struct {
			term  uint64
			valid bool
		}{{1, true}, {2, false}} {
			position = citronusher.NewPosition(c.term, 8)
			_, err := conn.Run(citronusher.Never, 0, citronusher.Command{})
			if unconfirmed := id == "a" && !c.valid; errors.Is(err, ErrUnconfirmed) != unconfirmed {
				t.Errorf("member %s, position of term %d: %v", id, c.term, err)
			}
			if g.Ready() != c.valid {
				t.Errorf("member %s, position of term %d: lease valid %t", id, c.term, g.Ready())
			}
		}
		g.discover()
		if g.Ready() {
			t.Error("the primary of the older term was adopted again")
		}
	}
}

// acquireFrom returns a connection to a member.
func acquireFrom(t *testing.T, g *Group, id string) *Conn {
	t.Helper()
	if id == "a" {
		return acquire(t, g)
	}
	deadline := g.now().Add(time.Second)
	ticket := schedule.NewTicket(schedule.Requirement{PositionKnown: true}, 1, deadline, deadline)
	ticket.SetMemberWaitDeadline(deadline)
	for _, other := range []string{"a", "b", "c"} {
		if other != id {
			ticket.Avoid(other)
		}
	}
	conn, err := g.Acquire(ticket)
	if err != nil {
		t.Fatal(err)
	}
	if conn.Member() != id {
		t.Fatalf("connection to %s, want %s", conn.Member(), id)
	}
	return conn
}
