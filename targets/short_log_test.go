package targets

import (
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

// TestAnswerBehindTheReportedLogKeepsTheLease guards against a lease on a sound primary that ends because its answer shows a
// lower position than its status: a status tells what the member has received, and PROTOCOL.md shows one of 3.1209 whose own
// READY has 3.1204.
func TestAnswerBehindTheReportedLogKeepsTheLease(t *testing.T) {
	f := newFakeGroup(t)
	f.members["a"].status.Position = citronusher.NewPosition(1, 1209)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	f.members["a"].run = func() citronusher.Answer {
		return citronusher.Answer{Position: citronusher.NewPosition(1, 1204)}
	}
	conn := acquire(t, g)
	if _, err := conn.Run(citronusher.Never, 0, citronusher.Command{}); err != nil {
		t.Errorf("an answer with READY 1.1204 after a status with 1.1209 received is not passed on: %v; lease ended %t", err,
			g.lease.Closed())
	}
}

// TestShortLogThatGrowsIsNotRead guards against a primary that started again without its log and is adopted again, under the
// same term, until its new log is as long as the one that it lost.
func TestShortLogThatGrowsIsNotRead(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	position := citronusher.NewPosition(1, 7)
	f.members["a"].run = func() citronusher.Answer { return citronusher.Answer{Position: position} }
	run := func() error {
		deadline := g.now().Add(time.Second)
		conn, err := g.Acquire(schedule.NewTicket(schedule.Requirement{Primary: true}, 1, deadline, deadline))
		if err != nil {
			return err
		}
		defer conn.Release()
		_, err = conn.Run(citronusher.Never, 0, citronusher.Command{})
		return err
	}
	if err := run(); err != nil {
		t.Fatal(err)
	}
	g.members["a"].takeAll() // its process ended
	f.advance(100 * time.Millisecond)
	for offset := uint64(2); offset <= 7; offset++ {
		position = citronusher.NewPosition(1, offset)
		f.members["a"].status.Position = position
		if err := run(); err == nil {
			t.Errorf("an answer from the new log at %s is passed on after the loss of the old log was seen", position)
		}
		f.advance(100 * time.Millisecond)
		g.discover()
	}
}

// TestPrimaryWithoutItsLogIsReplaced guards against a group without a usable primary: the one that has started again without
// its log answers, so that no outage is seen.
func TestPrimaryWithoutItsLogIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g := p.newDaemon(t, "d1")
		g.discover()
		g.mu.Lock()
		g.answered = citronusher.NewPosition(1, 99)
		g.mu.Unlock()
		g.discover()
		if g.unavailableSince == 0 {
			t.Error("the primary counts as available")
		}
		time.Sleep(replicationCheckTimeout)
		if reason := promoteFor(g); reason != "" || g.primary == "a" {
			t.Errorf("abandoned: %q, primary %q", reason, g.primary)
		}
	})
}
