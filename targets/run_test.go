package targets

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

// BenchmarkRun is what a statement costs on the primary besides its member: an acquired connection, both checks of the lease
// and the release.
func BenchmarkRun(b *testing.B) {
	f := newFakeGroup(b)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	now := f.timer.now
	for b.Loop() {
		ticket := schedule.NewTicket(schedule.Requirement{Primary: true}, 1, now.Add(time.Second), now.Add(time.Second))
		conn, err := g.Acquire(ticket)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Run(now.Add(time.Second), now.Add(time.Second), citronusher.Command{}); err != nil {
			b.Fatal(err)
		}
		conn.Release()
	}
}
