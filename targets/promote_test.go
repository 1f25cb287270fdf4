package targets

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
)

// TestRefusedDaemonMayHoldALease guards against a promotion beside a lease of a daemon that runs, but whose network
// refuses connections to it.
func TestRefusedDaemonMayHoldALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.instances = append(p.instances, instance("d2"))
		p.releases["d2"] = citronusher.ErrRefused
		g := p.newDaemon(t, "d1")
		g.discover()
		p.setDown("a", true)
		if reason := promoteFor(g); reason != "" {
			t.Fatalf("abandoned: %s", reason)
		}
		requested, paused := p.requests()[0], p.members["b"].pausedAt
		if waited := requested.at.Sub(paused); waited < lease.TTL {
			t.Errorf("the promotion was requested %s after the pauses, want %s", waited, lease.TTL)
		}
	})
}

// TestResumeDuringTheWaitIsSeen guards against a promotion beside a lease that a replica renewed after it had been
// paused: it performed a late request to resume while the promotion waited for the leases to expire.
func TestResumeDuringTheWaitIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.instances = append(p.instances, instance("d2"))
		p.releases["d2"] = citronusher.ErrUnavailable
		g := p.newDaemon(t, "d1")
		g.discover()
		p.setDown("a", true)
		p.onRelease = func() {
			time.AfterFunc(time.Second, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.members["c"].status.PausedTerm = 0
			})
		}
		reason := promoteFor(g)
		if len(p.requests()) > 0 || !strings.Contains(reason, "may not be paused") {
			t.Errorf("requests %v, abandoned %q", p.requests(), reason)
		}
	})
}
