package targets

import (
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// TestEarlierRequestTakesEffectFirst guards against a lease on a primary that is about to be replaced: c leads by a request
// that was forgotten, before the request for b takes effect.
func TestEarlierRequestTakesEffectFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.claim = earlierClaim(1, citronusher.ClaimRequested)
		if err := p.lead("c"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		g := p.newDaemon(t, "d1")
		g.discover()
		if g.Ready() {
			t.Fatalf("primary %q of term %d is used", g.primary, g.lease.Term())
		}
		if reason := promoteFor(g); reason != "" {
			t.Fatalf("abandoned: %s", reason)
		}
		requests := p.requests()
		if last := requests[len(requests)-1]; last.member != "b" || g.primary != "b" || !g.Ready() {
			t.Errorf("requests %v, primary %q of term %d", requests, g.primary, g.lease.Term())
		}
	})
}
