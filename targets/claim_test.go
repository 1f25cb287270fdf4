package targets

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// resumeHook dials the members of a platform. onResume runs before the first of them resumes replication.
type resumeHook struct {
	platform *fakePlatform
	resumed  atomic.Bool
	onResume func()
}

func (h *resumeHook) Dial(
	deadline citronusher.Instant, address, group, id string,
) (citronusher.MemberConn, error) {
	conn, err := h.platform.Dial(deadline, address, group, id)
	if err != nil {
		return nil, err
	}
	return &hookedConn{MemberConn: conn, hook: h}, nil
}

type hookedConn struct {
	citronusher.MemberConn
	hook *resumeHook
}

func (c *hookedConn) ResumeReplication(deadline citronusher.Instant) error {
	if c.hook.resumed.CompareAndSwap(false, true) {
		c.hook.onResume()
	}
	return c.MemberConn.ResumeReplication(deadline)
}

// TestThawedHolderAdoptsNoReplacedPrimary guards against a lease on a replaced primary: its holder was frozen while it
// resumed the replicas that an earlier one had paused, until another daemon had promoted b, of which c has not heard.
func TestThawedHolderAdoptsNoReplacedPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		hook := &resumeHook{platform: p, onResume: func() {
			time.Sleep(10 * time.Second)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.claim.Holder, p.claim.Phase, p.claim.Candidate = "d2/1", citronusher.ClaimRequested, citronusher.Candidate{ID: "b"}
			p.claim.Version++
			p.members["b"].status.Role, p.members["b"].status.Term = citronusher.RolePrimary, 2
			p.members["b"].down = true // for the thawed daemon
			p.members["c"].status.PausedTerm = 0
		}}
		s := New(Config{
			Self: "d1", Dialer: hook, Store: p, Peers: p, Promoter: p, Clock: p, Logger: slog.New(slog.DiscardHandler),
			Meter: meter.New(), RefreshMembers: func() {},
		})
		s.SetRegistered(instance("d1"))
		g := newGroup(s, "g")
		g.configure(connectionShare{connections: 16, homes: 6, home: true}, p.reports(), 0)
		p.claim = earlierClaim(1, citronusher.ClaimHeld)
		p.members["b"].status.PausedTerm, p.members["c"].status.PausedTerm = 2, 2
		time.Sleep(time.Minute)
		reason := promoteFor(g)
		if g.Ready() {
			t.Errorf("primary %q of term %d is used after b leads term 2; %s", g.primary, g.lease.Term(), reason)
		}
	})
}

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

// TestPendingRequestOfAnUnusedGroupIsRepeated guards against a daemon that is not ready because a promotion may take effect,
// as long as no request comes, although the platform answers again.
func TestPendingRequestOfAnUnusedGroupIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		loseAnswer(t, p)
		for _, m := range p.members {
			m.status.PausedTerm = 0
		}
		time.Sleep(time.Minute)
		g := p.newDaemon(t, "d2")
		g.recordedEra = p.era // it ran before, or is not the group's lease renewer
		ready := false
		for range 1200 {
			g.step()
			time.Sleep(watchInterval)
			ready = ready || g.Ready()
		}
		if !ready {
			t.Errorf("no lease after a minute: primary %q, %d requests, unavailable since %d", g.primary, len(p.requests()),
				g.unavailableSince)
		}
		if err := g.set.Close(); err != nil {
			t.Error(err)
		}
	})
}

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

// TestUnadoptedPrimaryIsReplaced guards against a group without a primary: one that a daemon has heard of, but has not
// adopted, ends. The daemon takes the former one for the primary that is replaced.
func TestUnadoptedPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g := p.newDaemon(t, "d1")
		g.discover()
		p.claim = earlierClaim(1, citronusher.ClaimRequested)
		if err := p.lead("b"); err != nil {
			t.Fatal(err)
		}
		p.members["b"].down = true
		g.queryAll(requestStatus) // c reports term 2
		time.Sleep(time.Minute)
		if reason := promoteFor(g); reason != "" {
			t.Errorf("abandoned: %s", reason)
		}
	})
}

// TestEmptyCandidateIsNotPromoted guards against the loss of acknowledged commits: the member whose promotion was requested
// without an answer has started again without its log.
func TestEmptyCandidateIsNotPromoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		loseAnswer(t, p)
		time.Sleep(time.Minute)
		p.members["b"].status = citronusher.MemberStatus{Role: citronusher.RoleReplica, Term: 1}
		p.setPrimaryDown(true)
		g := p.newDaemon(t, "d2")
		g.primary, g.highestTerm = "a", 1 // it has used a before
		reason := promoteFor(g)
		requests := p.requests()
		if last := requests[len(requests)-1]; len(requests) > 1 && last.member == "b" {
			t.Errorf("b is promoted without a log, although c has received %s: %q", p.members["c"].status.Position, reason)
		}
	})
}
