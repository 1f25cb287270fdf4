package targets

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
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
		conn := acquire(t, g)
		defer conn.Release()
		_, err := conn.Run(citronusher.Never, 0, citronusher.Command{})
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
