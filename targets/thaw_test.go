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
		s.SetRegistered()
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
