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

// TestFreedClaimKeepsItsTerm guards against a lease on a primary that was replaced: a later attempt to replace its
// successor was abandoned, and freed the claim.
func TestFreedClaimKeepsItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		if err := p.lead("b"); err != nil {
			t.Fatal(err)
		}
		g := p.newDaemon(t, "d1")
		g.discover()
		if reason := promoteFor(g); reason != "the primary answers" {
			t.Fatalf("abandoned: %q", reason)
		}
		if claim := g.readClaim(2); claim != claimFree {
			t.Errorf("the claim on the successor is %d, want %d", claim, claimFree)
		}
		if claim := g.readClaim(1); claim != claimHeld {
			t.Errorf("the claim on the replaced primary is %d, want %d", claim, claimHeld)
		}
	})
}
