package targets

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
)

// releasingPeers passes requests to release a lease on to one other daemon.
type releasingPeers struct {
	*fakePlatform
	other *Group
}

func (p releasingPeers) ReleaseLease(
	_ context.Context, _ citronusher.Instance, _ string, _ citronusher.Claim, term uint64,
) error {
	p.other.releaseLease(term)
	return nil
}

// demoteDialer runs a function before the first request to demote a member.
type demoteDialer struct {
	*fakePlatform
	before *func()
}

type demoteConn struct {
	*platformConn
	before *func()
}

func (d demoteDialer) Dial(deadline citronusher.Instant, group, address, id string) (citronusher.MemberConn, error) {
	conn, err := d.fakePlatform.Dial(deadline, group, address, id)
	if err != nil {
		return nil, err
	}
	return demoteConn{platformConn: conn.(*platformConn), before: d.before}, nil
}

func (c demoteConn) Demote(deadline citronusher.Instant, term uint64) (citronusher.MemberStatus, error) {
	if before := *c.before; before != nil {
		*c.before = nil
		before()
	}
	return c.platformConn.Demote(deadline, term)
}

// TestOldPrimaryThatLeadsAgainIsNotPassedOver guards against a promotion beside a valid lease: the promotion of the old
// primary, which was requested before, takes effect after the attempt has asked the members for their terms.
func TestOldPrimaryThatLeadsAgainIsNotPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.claim = earlierClaim(1, citronusher.ClaimRequested)
		p.claim.Candidate = citronusher.Candidate{ID: "a", Position: citronusher.NewPosition(1, 10)}
		g, other := p.newDaemon(t, "d1"), p.newDaemon(t, "d2")
		p.instances = append(p.instances, instance("d2"))
		before := func() {
			if err := p.lead("a"); err != nil {
				t.Error(err)
			}
			other.discover()
			if !other.Ready() || other.lease.Term() != 2 {
				t.Fatalf("the other daemon has no lease on a: term %d", other.lease.Term())
			}
		}
		g.set.config.Dialer = demoteDialer{p, &before}
		g.set.config.Peers = releasingPeers{p, other}
		g.discover()
		time.Sleep(time.Minute)
		p.promote = func(member string) error {
			if other.Ready() && other.primary != member {
				t.Errorf("the promotion of %s is requested while another daemon has a valid lease on %s of term %d", member,
					other.primary, other.lease.Term())
			}
			return p.lead(member)
		}
		reason := promoteFor(g)
		t.Logf("abandoned: %q, requests %v", reason, p.requests())
	})
}

// TestMemberThatIsListedAgainIsPaused guards against a promotion beside a lease that a replica renews which was missing in
// the list at first, as after an outage of the store: it is listed again before the request, and is not paused.
func TestMemberThatIsListedAgainIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g, other := p.newDaemon(t, "d1"), p.newDaemon(t, "d2")
		p.instances = append(p.instances, instance("d2"))
		p.releases["d2"] = citronusher.ErrUnavailable // d2 is not reached, and goes on
		other.queryAll(requestStatus)
		time.Sleep(time.Millisecond) // the members' processes ran before the lease began
		other.discover()
		delete(g.members, "c")
		g.discover()
		g.members["a"].down = true
		renew := func() {
			c := other.members["c"]
			if verdict := other.observeRenewal(c, other.query(c, memberTimeout, requestStatus)); verdict != lease.Renewed {
				t.Logf("c does not renew the lease: %d", verdict)
			}
		}
		p.onRelease = func() {
			time.AfterFunc(500*time.Millisecond, renew)
			time.AfterFunc(time.Second, renew)
			time.AfterFunc(time.Second, func() {
				g.configure(connectionShare{connections: 16, homes: 6, home: true}, p.reports(), g.now())
			})
		}
		p.setPrimaryDown(true)
		p.promote = func(member string) error {
			if other.Ready() {
				t.Errorf("the promotion of %s is requested while another daemon has a valid lease on %s; c is paused under term %d",
					member, other.primary, p.members["c"].status.PausedTerm)
			}
			return p.lead(member)
		}
		reason := promoteFor(g)
		t.Logf("abandoned: %q, requests %v", reason, p.requests())
	})
}

// TestPositionOfAnOldTermIsNoHistory guards against a read at a replica that lacks the session's own write: an answer of the
// old primary that is observed after the next one was adopted sets the minimum position of reads of the new term.
func TestPositionOfAnOldTermIsNoHistory(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	conn := acquire(t, g)
	f.members["a"].run = func() citronusher.Answer {
		f.advance(time.Millisecond)
		f.members["b"].status = citronusher.MemberStatus{Role: citronusher.RolePrimary, Term: 2}
		f.members["a"].status.Role = citronusher.RoleReplica
		g.discover()
		return citronusher.Answer{Position: citronusher.NewPosition(1, 7)}
	}
	_, err := conn.Run(citronusher.Never, 0, citronusher.Command{})
	route := citronusher.Route{Consistency: citronusher.ConsistencySession, Age: 5 * time.Second}
	own := citronusher.NewPosition(1, 9)
	requirement := g.ReadRequirement(route, own, g.now())
	if g.lease.Term() != 2 {
		t.Fatalf("term %d", g.lease.Term())
	}
	if requirement.PositionKnown && requirement.MinPosition.Less(own) {
		t.Errorf("a replica at %s may serve a session whose own write is at %s (run: %v)", requirement.MinPosition, own, err)
	}
}

// TestLogOfThePrimaryThatWentBackIsNotRead guards against reads on a primary that has started again, within its lease,
// without what it had acknowledged: its position is lower than one that it showed before.
func TestLogOfThePrimaryThatWentBackIsNotRead(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	position := citronusher.NewPosition(1, 7)
	f.members["a"].run = func() citronusher.Answer { return citronusher.Answer{Position: position} }
	conn := acquire(t, g)
	if _, err := conn.Run(citronusher.Never, 0, citronusher.Command{}); err != nil {
		t.Fatal(err)
	}
	conn.Release()
	g.members["a"].takeAll() // its process ended
	f.advance(100 * time.Millisecond)
	position = citronusher.NewPosition(1, 2)
	conn = acquire(t, g)
	if _, err := conn.Run(citronusher.Never, 0, citronusher.Command{}); err == nil {
		t.Errorf("an answer from a log at %s is passed on after one at 1/7; lease valid %t", position, g.Ready())
	}
}

// TestEarlierEffectBeforeTheRequestIsSeen guards against a promotion beside a valid lease: the member that was requested
// before started again without its log, and leads while the claim is marked with another candidate.
func TestEarlierEffectBeforeTheRequestIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.claim = earlierClaim(1, citronusher.ClaimRequested)
		p.claim.Candidate.Position = citronusher.NewPosition(1, 9)
		p.members["b"].status.Position = citronusher.Position{}
		g, other := p.newDaemon(t, "d1"), p.newDaemon(t, "d2")
		p.instances = append(p.instances, instance("d2"))
		g.set.config.Peers = releasingPeers{p, other}
		g.discover()
		time.Sleep(time.Minute)
		p.onWrite = func(claim citronusher.Claim) error {
			if claim.Phase == citronusher.ClaimRequested && claim.Candidate.ID != "b" && p.members["b"].status.Term == 1 {
				if err := p.lead("b"); err != nil {
					return err
				}
				other.discover()
			}
			return nil
		}
		p.promote = func(member string) error {
			if other.Ready() && other.primary != member {
				t.Errorf("the promotion of %s is requested while another daemon has a valid lease on %s of term %d", member,
					other.primary, other.lease.Term())
			}
			return p.lead(member)
		}
		reason := promoteFor(g)
		t.Logf("abandoned: %q, requests %v", reason, p.requests())
	})
}

// freezingClock freezes its daemon at the second call after it was armed, until it is thawed.
type freezingClock struct {
	*fakePlatform
	armed  atomic.Bool
	calls  atomic.Int32
	thawed chan struct{}
}

func (c *freezingClock) Instant() citronusher.Instant {
	if c.armed.Load() && c.calls.Add(1) > 1 {
		<-c.thawed
	}
	return c.fakePlatform.Instant()
}

// TestFrozenHolderResumesNoReplica guards against a lease on the old primary, at a daemon that cannot read the claim,
// while a promotion may take effect: a holder that was frozen resumes the replicas long after its claim has ended.
func TestFrozenHolderResumesNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g, next := p.newDaemon(t, "d1"), p.newDaemon(t, "d2")
		clock := &freezingClock{fakePlatform: p, thawed: make(chan struct{})}
		g.set.config.Clock = clock
		g.discover()
		next.discover()
		p.setPrimaryDown(true)
		p.onWrite = func(claim citronusher.Claim) error {
			if claim.Phase == citronusher.ClaimRequested && clock.armed.CompareAndSwap(false, true) {
				return citronusher.ErrUnavailable
			}
			return nil
		}
		var frozen sync.WaitGroup
		frozen.Go(func() { promoteFor(g) })
		time.Sleep(5 * time.Second) // the claim of d1 has ended
		p.promote = func(string) error { return citronusher.ErrUnavailable }
		if reason := promoteFor(next); !strings.Contains(reason, "was not confirmed") {
			t.Fatalf("abandoned: %q", reason)
		}
		p.setPrimaryDown(false)
		close(clock.thawed)
		frozen.Wait()
		cutOff := p.newDaemon(t, "d3")
		cutOff.set.config.Store = unreachableStore{fakePlatform: p, lists: true}
		cutOff.discover()
		if cutOff.Ready() {
			t.Errorf("%q is used while the promotion of %s may take effect; b and c are paused under terms %d and %d",
				cutOff.primary, p.claim.Candidate.ID, p.members["b"].status.PausedTerm, p.members["c"].status.PausedTerm)
		}
	})
}

// TestNamesakeIsAsked guards against a promotion beside the lease of an earlier process of the promoter's name, at another
// address, whose registration is still listed: the promoter takes its own release for that one's.
func TestNamesakeIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.instances = append(p.instances, citronusher.NewInstance("d1", "127.0.0.2:1", "z", citronusher.InstanceLive))
		p.releases["d1"] = citronusher.ErrUnavailable
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

// joiningStore is a store that lists member c from the second time on.
type joiningStore struct {
	*fakePlatform
	lists *int
}

func (s joiningStore) Members(ctx context.Context) ([]citronusher.MemberReport, error) {
	*s.lists++
	list, err := s.fakePlatform.Members(ctx)
	if *s.lists == 1 {
		list = slices.DeleteFunc(list, func(r citronusher.MemberReport) bool { return r.ID == "c" })
	}
	return list, err
}

// TestMemberThatJoinsBeforeThePausesIsPaused guards against a promotion beside a lease that a replica renews which was
// listed after the promoter had read the members, and before the pauses.
func TestMemberThatJoinsBeforeThePausesIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g := p.newDaemon(t, "d1")
		g.set.config.Store = joiningStore{fakePlatform: p, lists: new(int)}
		delete(g.members, "c")
		g.set.groups["g"] = g
		g.set.plan.Groups = map[string]citronusher.GroupPlan{"g": {Name: "g", Connections: 16}}
		g.discover()
		p.setPrimaryDown(true)
		if reason := promoteFor(g); reason != "replication at member c was not paused" {
			t.Errorf("abandoned: %q", reason)
		}
		if requests := p.requests(); len(requests) > 0 {
			t.Errorf("requests: %v", requests)
		}
	})
}
