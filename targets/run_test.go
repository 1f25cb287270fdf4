package targets

import (
	"errors"
	"testing"
	"testing/synctest"
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

// TestNothingIsSentWithoutALease guards against a statement that reaches a primary after its lease was released or expired.
func TestNothingIsSentWithoutALease(t *testing.T) {
	for name, end := range map[string]func(*fakeGroup, *Group){
		"released": func(_ *fakeGroup, g *Group) { g.releaseLease(1) },
		"expired":  func(f *fakeGroup, _ *Group) { f.advance(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeGroup(t)
			g := f.open()
			f.advance(time.Millisecond)
			g.discover()
			sent := 0
			f.members["a"].run = func() citronusher.Answer { sent++; return citronusher.Answer{} }
			conn := acquire(t, g)
			end(f, g)
			if _, err := conn.Run(citronusher.Never, 0, citronusher.Command{}); !errors.Is(err, ErrNotSent) || sent != 0 {
				t.Errorf("%d commands were sent: %v", sent, err)
			}
			conn.Release()
		})
	}
}

// TestEndedLeaseEndsTheWait guards against an answer that is held back until its deadline although the lease cannot be
// renewed.
func TestEndedLeaseEndsTheWait(t *testing.T) {
	for name, end := range map[string]func(*Group){
		"newer term": func(g *Group) { g.observeTerm(2, "b") },
		"ended":      func(g *Group) { g.endLease("primary refused a write", g.now()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				g := p.newDaemon(t, "d1")
				g.discover()
				conn := acquire(t, g)
				time.Sleep(2 * time.Second)
				startedAt := g.now()
				time.AfterFunc(100*time.Millisecond, func() {
					g.mu.Lock()
					defer g.mu.Unlock()
					end(g)
				})
				err := conn.confirm(startedAt.Add(3 * time.Second))
				if waited := g.now().Sub(startedAt); !errors.Is(err, ErrUnconfirmed) || waited > time.Second {
					t.Errorf("waited %s: %v", waited, err)
				}
			})
		})
	}
}
