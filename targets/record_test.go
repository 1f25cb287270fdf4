package targets

import (
	"errors"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/schedule"
)

// acquire returns a connection to the primary, for a request with a deadline in three seconds.
func acquire(t *testing.T, g *Group) *Conn {
	t.Helper()
	now := g.now()
	deadline := now.Add(3 * time.Second)
	ticket := schedule.NewTicket(schedule.Requirement{Primary: true}, 1, deadline, deadline)
	ticket.SetMemberWaitDeadline(deadline)
	conn, err := g.Acquire(ticket)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestLogTellsWhyALeaseBegan guards against logs that do not show which proof a lease rests on.
func TestLogTellsWhyALeaseBegan(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	f.advance(time.Minute)
	f.peers.err = nil
	g.renewFromPeer(citronusher.Instance{})
	began := f.log.of(events.LeaseBegan)
	if len(began) != 2 || began[0]["proof"] != string(proofClaimFree) || began[1]["proof"] != string(proofPeer) {
		t.Errorf("the lease began with %v", began)
	}
}

// TestLogTellsOfLateAnswers guards against logs that do not show an answer of a primary whose lease had ended, and against a
// log line for each statement.
func TestLogTellsOfLateAnswers(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	conn := acquire(t, g)
	sent := f.timer.now
	for range 3 {
		if _, err := conn.Run(sent.Add(time.Minute), 0, citronusher.Command{}); err != nil {
			t.Fatal(err)
		}
	}
	if late := f.log.of(events.LateAnswer); len(late) != 0 {
		t.Errorf("logged for a ready answer: %v", late)
	}
	f.members["a"].run = func() citronusher.Answer {
		f.advance(1600 * time.Millisecond)
		return citronusher.Answer{}
	}
	if _, err := conn.Run(sent.Add(time.Minute), 0, citronusher.Command{}); !errors.Is(err, ErrUnconfirmed) {
		t.Errorf("the answer was passed on: %v", err)
	}
	late := f.log.of(events.LateAnswer)
	if len(late) != 1 {
		t.Fatalf("%d records, want 1", len(late))
	}
	start := millis(sent)
	for name, want := range map[string]int64{"sent": start, "answered": start + 1600, "lease": start + 1500} {
		if late[0][name] != want {
			t.Errorf("%s: %v, want %d", name, late[0][name], want)
		}
	}
}
