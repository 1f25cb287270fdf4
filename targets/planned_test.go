package targets

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// TestPlannedPromotionWaits guards against a planned promotion of another member while a repeated request for the primary
// may still be carried out: the other member would be replaced, and daemons would go on using it.
func TestPlannedPromotionWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		loseAnswer(t, p)
		time.Sleep(time.Minute)
		g := p.newDaemon(t, "d2")
		g.discover()
		if reason := promoteFor(g); reason != "" || g.primary != "b" {
			t.Fatalf("abandoned: %q, primary %q", reason, g.primary)
		}
		requested := len(p.requests())
		const wait = 5 * time.Second
		for range 2 {
			if reason := replaceFor(g); !strings.Contains(reason, "may promote the leaving primary again") {
				t.Errorf("abandoned: %q", reason)
			}
			time.Sleep(wait / 3) //nolint:mnd // within the wait
		}
		if more := p.requests()[requested:]; len(more) > 0 {
			t.Fatalf("requests %v during the wait", more)
		}
		time.Sleep(wait)
		if reason := replaceFor(g); reason != "" || g.primary != "a" {
			t.Errorf("abandoned after the wait: %q, primary %q", reason, g.primary)
		}
	})
}

// TestFailoverDoesNotWait guards against a group without a usable primary: one whose promotion was requested twice ends, and
// another one is promoted at once.
func TestFailoverDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		loseAnswer(t, p)
		time.Sleep(time.Minute)
		g := p.newDaemon(t, "d2")
		g.discover()
		if reason := promoteFor(g); reason != "" {
			t.Fatalf("abandoned: %s", reason)
		}
		p.members["b"].down = true
		if reason := promoteFor(g); reason != "" || g.primary != "a" {
			t.Errorf("abandoned: %q, primary %q", reason, g.primary)
		}
	})
}

// TestRefusedRequestIsNoRepeat guards against planned promotions that wait for a request that the platform refused.
func TestRefusedRequestIsNoRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		loseAnswer(t, p)
		time.Sleep(time.Minute)
		g := p.newDaemon(t, "d2")
		g.discover()
		p.promote = func(string) error { return errors.Join(citronusher.ErrUnavailable, citronusher.ErrNotRun) }
		promoteFor(g)
		if len(p.requests()) != 2 || p.claim.Repeated.ID != "" || p.claim.Phase != citronusher.ClaimRequested {
			t.Errorf("requests %v, claim %+v", p.requests(), p.claim)
		}
	})
}

// TestOneRequestDelaysNoPlannedPromotion guards against planned promotions that wait although no request was repeated: the
// only one has taken effect.
func TestOneRequestDelaysNoPlannedPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g := p.newDaemon(t, "d1")
		g.discover()
		p.setPrimaryDown(true)
		if reason := promoteFor(g); reason != "" {
			t.Fatalf("abandoned: %s", reason)
		}
		p.setPrimaryDown(false)
		if reason := replaceFor(g); reason != "" || g.primary == "b" {
			t.Errorf("abandoned: %q, primary %q", reason, g.primary)
		}
	})
}
