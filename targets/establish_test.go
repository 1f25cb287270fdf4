package targets

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// unreachableStore is a store that does not answer one daemon.
type unreachableStore struct{ *fakePlatform }

func (unreachableStore) ReadClaim(context.Context, string) (citronusher.Claim, error) {
	return citronusher.Claim{}, citronusher.ErrUnavailable
}

// TestUnknownMemberMayLead guards against a lease on a replaced primary at a daemon that the store does not answer: the
// member that was promoted joined later, and the only replica that the daemon knows has not heard of it.
func TestUnknownMemberMayLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		joined := p.members["b"]
		delete(p.members, "b")
		s := New(Config{
			Self: "d1", Dialer: p, Store: unreachableStore{p}, Peers: p, Promoter: p, Clock: p,
			Logger: slog.New(slog.DiscardHandler), Meter: meter.New(), RefreshMembers: func() {},
		})
		s.SetRegistered(instance("d1"))
		g := newGroup(s, "g")
		g.configure(connectionShare{connections: 16, homes: 6, home: true}, p.reports(), 0)
		p.members["b"] = joined
		joined.status = citronusher.MemberStatus{Role: citronusher.RolePrimary, Term: 2}
		p.claim = earlierClaim(1, citronusher.ClaimRequested)
		time.Sleep(time.Minute)
		g.discover()
		if g.Ready() {
			t.Errorf("primary %q of term %d is used after b leads term 2", g.primary, g.lease.Term())
		}
	})
}
