package targets

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

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
