package targets

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/promotion"
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
		p.setPrimaryDown(true)
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
		p.setPrimaryDown(true)
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
		if claim := g.readClaim(promotion.Primary{Term: 2, ID: "b"}); claim != claimFree {
			t.Errorf("the claim on the successor is %d, want %d", claim, claimFree)
		}
		if claim := g.readClaim(promotion.Primary{Term: 1, ID: "a"}); claim != claimOverdue {
			t.Errorf("the claim on the replaced primary is %d, want %d", claim, claimOverdue)
		}
	})
}

// loseAnswer makes a platform that has a primary a, which was away for a moment, keep the promotion of b that daemon d1
// requested: it is not answered, and may take effect at any time. Daemon d1 then ends.
func loseAnswer(t *testing.T, p *fakePlatform) {
	t.Helper()
	g := p.newDaemon(t, "d1")
	g.discover()
	p.setPrimaryDown(true)
	p.promote = func(string) error { return citronusher.ErrUnavailable }
	if reason := promoteFor(g); !strings.Contains(reason, "was not confirmed") {
		t.Fatalf("abandoned: %q", reason)
	}
	p.promote = p.lead
	p.setPrimaryDown(false)
}

// TestUnansweredRequestIsRepeated guards against the use of the old primary, which answers again, beside the member
// whose promotion takes effect long after its request, when the claim of its holder has ended.
func TestUnansweredRequestIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		loseAnswer(t, p)
		time.Sleep(time.Minute)
		g := p.newDaemon(t, "d2")
		g.discover()
		if g.Ready() || g.readClaim(promotion.Primary{Term: 1, ID: "a"}) != claimOverdue {
			t.Errorf("a lease on the old primary may begin: the claim is %d", g.readClaim(promotion.Primary{Term: 1, ID: "a"}))
		}
		if reason := promoteFor(g); reason != "" {
			t.Errorf("abandoned: %s", reason)
		}
		requests := p.requests()
		if len(requests) != 2 || requests[1].member != "b" || requests[1].token <= requests[0].token {
			t.Fatalf("requests %v, want b twice under rising tokens", requests)
		}
		for _, r := range requests {
			if r.claim.Phase != citronusher.ClaimRequested || r.claim.Candidate.ID != r.member || r.claim.Token != r.token {
				t.Errorf("%s was requested under the claim %+v", r, r.claim)
			}
		}
		if !g.Ready() || g.primary != "b" {
			t.Errorf("primary %q, ready %t", g.primary, g.Ready())
		}
	})
}

// TestPendingRequestOutlastsForgottenPauses guards against a lease on the old primary that begins although a promotion
// may take effect: the replicas have forgotten that they were paused.
func TestPendingRequestOutlastsForgottenPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		loseAnswer(t, p)
		for _, m := range p.members {
			m.status.PausedTerm = 0
		}
		time.Sleep(time.Minute)
		g := p.newDaemon(t, "d2")
		g.discover()
		g.renewFromReplicas()
		if g.Ready() {
			t.Error("the old primary is used")
		}
		if g.unavailableSince == 0 {
			t.Error("nobody requests the promotion again")
		}
	})
}

// TestAnotherMemberIsPromoted checks when another member is promoted than the one whose promotion was requested without
// an answer: when the platform refuses that one, or it is no member any more. It is the one with the longest log, so that
// no acknowledged commit is lost: here the old primary, which answers again.
func TestAnotherMemberIsPromoted(t *testing.T) {
	refuse := func(p *fakePlatform) {
		p.promote = func(member string) error {
			if member == "b" {
				return errors.Join(citronusher.ErrConflict, citronusher.ErrNotRun)
			}
			return p.lead(member)
		}
	}
	remove := func(p *fakePlatform) { delete(p.members, "b") }
	for name, change := range map[string]func(*fakePlatform){"refused": refuse, "removed": remove} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				loseAnswer(t, p)
				time.Sleep(time.Minute)
				change(p)
				g := p.newDaemon(t, "d2")
				g.discover()
				if reason := promoteFor(g); reason != "" {
					t.Fatalf("abandoned: %s", reason)
				}
				requests := p.requests()
				if last := requests[len(requests)-1]; last.member != "a" || last.claim.Candidate.ID != "a" {
					t.Errorf("requests %v", requests)
				}
			})
		})
	}
}

// TestRequestIsShownFirst guards against a promotion that no claim shows: without an answer to the write of the mark
// nothing is requested, and the replicas are resumed.
func TestRequestIsShownFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g := p.newDaemon(t, "d1")
		g.discover()
		p.setPrimaryDown(true)
		p.onWrite = func(claim citronusher.Claim) error {
			if claim.Phase == citronusher.ClaimRequested {
				return citronusher.ErrUnavailable
			}
			return nil
		}
		reason := promoteFor(g)
		if len(p.requests()) > 0 || p.members["b"].status.PausedTerm != 0 {
			t.Errorf("requests %v, b paused under term %d, %q", p.requests(), p.members["b"].status.PausedTerm, reason)
		}
		if p.claim.Phase != citronusher.ClaimFree {
			t.Errorf("the claim is %s", p.claim.Phase)
		}
	})
}

// TestRequestThatWasNotRunIsForgotten guards against a primary that stays unused, and is replaced, although the
// platform has refused the promotion.
func TestRequestThatWasNotRunIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g := p.newDaemon(t, "d1")
		g.discover()
		p.setPrimaryDown(true)
		p.promote = func(string) error { return errors.Join(citronusher.ErrUnavailable, citronusher.ErrNotRun) }
		promoteFor(g)
		if p.claim.Phase != citronusher.ClaimFree {
			t.Fatalf("the claim is %s", p.claim.Phase)
		}
		p.setPrimaryDown(false)
		time.Sleep(time.Second)
		if reason := promoteFor(g); reason != "the primary answers" || !g.Ready() {
			t.Errorf("abandoned %q, ready %t", reason, g.Ready())
		}
	})
}

// TestFormerPrimaryIsPaused guards against a promotion beside leases that a former primary renews, which is a replica
// now and which only this daemon does not reach: the daemon knows of the newer term, but not of its primary.
func TestFormerPrimaryIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g := p.newDaemon(t, "d1")
		g.discover()
		if err := p.lead("b"); err != nil {
			t.Fatal(err)
		}
		g.highestTerm = 2
		p.setPrimaryDown(true)
		g.configure(connectionShare{connections: 16, homes: 6, home: true}, p.reports(), 0)
		delete(g.members, "b") // delisted for a moment
		if reason := promoteFor(g); !strings.Contains(reason, "member a could not be paused") {
			t.Errorf("requests %v, abandoned %q", p.requests(), reason)
		}
	})
}

// TestHoldersDoNotTakeTurns guards against promotions that two holders request soon after each other: the claim lasts
// as long as ever from the request on, although that had to wait for leases.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.instances = append(p.instances, instance("d2"))
		p.releases["d2"] = citronusher.ErrUnavailable
		g := p.newDaemon(t, "d1")
		g.discover()
		p.setPrimaryDown(true)
		if reason := promoteFor(g); reason != "" {
			t.Fatalf("abandoned: %s", reason)
		}
		r := p.requests()[0]
		if left := r.claim.EndMillis - r.storeMillis; left < promotion.ClaimTTL.Milliseconds() {
			t.Errorf("%s was requested %d ms before the end of its claim", r, left)
		}
	})
}
