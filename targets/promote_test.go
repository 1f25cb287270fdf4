package targets

import (
	"testing"
	"testing/synctest"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
)

// TestRefusedDaemonMayHoldALease guards against a promotion beside a lease of a daemon that runs, but whose network refuses
// connections to it.
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
