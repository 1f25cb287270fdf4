package targets

import (
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// TestClaimOnAnUnknownTermIsReplaced guards against a group without a usable primary: a primary of term 2, which had only
// been heard of by daemons that have ended, is gone, and the claim on it has ended.
func TestClaimOnAnUnknownTermIsReplaced(t *testing.T) {
	for _, phase := range []citronusher.ClaimPhase{
		citronusher.ClaimFree, citronusher.ClaimHeld, citronusher.ClaimRequested,
	} {
		t.Run(string(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				p.claim = earlierClaim(2, phase)
				time.Sleep(time.Minute)
				g := p.newDaemon(t, "d1")
				for range 10 {
					g.discover()
					g.renewFromReplicas()
					time.Sleep(time.Second)
				}
				if !g.Ready() && g.unavailableSince == 0 {
					t.Errorf("primary %q is not usable, and no promotion is due", g.primary)
				}
			})
		})
	}
}
