package targets

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// unreachableStore is a store that does not show claims to one daemon, and members only if lists is set. afterList runs when
// it has listed them.
type unreachableStore struct {
	*fakePlatform
	lists     bool
	afterList func()
}

func (unreachableStore) ReadClaim(context.Context, string) (citronusher.Claim, error) {
	return citronusher.Claim{}, citronusher.ErrUnavailable
}

func (s unreachableStore) Members(ctx context.Context) ([]citronusher.MemberReport, error) {
	if !s.lists {
		return nil, citronusher.ErrUnavailable
	}
	list, err := s.fakePlatform.Members(ctx)
	if s.afterList != nil {
		s.afterList()
	}
	return list, err
}

// newUnreachable returns the group of a daemon for which the store is away.
func (p *fakePlatform) newUnreachable(store unreachableStore) *Group {
	s := New(Config{
		Self: "d1", Dialer: p, Store: store, Peers: p, Promoter: p, Clock: p,
		Logger: slog.New(slog.DiscardHandler), Meter: meter.New(), RefreshMembers: func() {},
	})
	s.SetRegistered(instance("d1"))
	g := newGroup(s, "g")
	g.configure(connectionShare{connections: 16, homes: 6, home: true}, p.reports(), 0)
	return g
}

// promoteJoined makes b, which joined, the primary of term 2. The other members have not heard of that.
func (p *fakePlatform) promoteJoined(b *platformMember) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.status = citronusher.MemberStatus{Role: citronusher.RolePrimary, Term: 2}
	p.members["b"] = b
	p.claim = earlierClaim(1, citronusher.ClaimRequested)
}

// TestUnknownMemberMayLead guards against a lease on a replaced primary at a daemon that the store does not answer: the
// member that was promoted joined later, and the only replica that the daemon knows has not heard of it.
func TestUnknownMemberMayLead(t *testing.T) {
	for _, lists := range []bool{false, true} {
		t.Run(fmt.Sprintf("members listed %t", lists), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				joined := p.members["b"]
				delete(p.members, "b")
				g := p.newUnreachable(unreachableStore{fakePlatform: p, lists: lists})
				p.promoteJoined(joined)
				time.Sleep(time.Minute)
				g.discover()
				g.renewFromReplicas()
				if g.Ready() {
					t.Errorf("primary %q of term %d is used after b leads term 2", g.primary, g.lease.Term())
				}
			})
		})
	}
}

// TestMemberJoinsAfterTheList guards against the same when the member joins after the daemon has listed the members: the
// daemon was frozen for as long as a promotion takes, or has released its lease so that the promotion need not wait.
func TestMemberJoinsAfterTheList(t *testing.T) {
	for _, c := range []struct {
		name      string
		afterList func(g *Group)
		replaced  bool // b is promoted meanwhile
		used      bool
	}{
		{"nothing happens", func(*Group) {}, false, true},
		{"frozen", func(*Group) { time.Sleep(3 * time.Second) }, true, false},
		{"asked for a release", func(g *Group) { g.releaseLease(1) }, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				joined := p.members["b"]
				delete(p.members, "b")
				var g *Group
				g = p.newUnreachable(unreachableStore{fakePlatform: p, lists: true, afterList: func() {
					c.afterList(g)
					time.Sleep(time.Millisecond)
					if c.replaced {
						p.promoteJoined(joined)
					}
				}})
				time.Sleep(time.Minute)
				g.discover()
				if g.Ready() != c.used {
					t.Errorf("primary %q of term %d is used: %t", g.primary, g.lease.Term(), g.Ready())
				}
			})
		})
	}
}
