package targets

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// fakePlatform is a store, a promotion call and the members of one group, without a network. Its methods take no time unless
// the test makes them.
type fakePlatform struct {
	citronusher.Store
	startedAt time.Time

	mu        sync.Mutex
	claim     citronusher.Claim
	era       uint64
	members   map[string]*platformMember
	instances []citronusher.Instance
	releases  map[string]error // result of the request to release the lease, by instance
	onRelease func()           // runs during each request to release a lease
	promoted  []fakePromotion
	promote   func(member string) error // carries a promotion out, or not
	onWrite   func(claim citronusher.Claim) error
}

// fakePromotion is one request for a promotion.
type fakePromotion struct {
	member string
	token  uint64
	at     citronusher.Instant
	claim  citronusher.Claim // row of the claim when the request came
	// storeMillis is the store's clock when the request came.
	storeMillis int64
}

type platformMember struct {
	status   citronusher.MemberStatus
	pausedAt citronusher.Instant
	down     bool
}

// newFakePlatform returns a platform with a primary a and replicas b and c of term 1, of which b has received more, and with
// daemon d1. The group is recorded as free.
func newFakePlatform() *fakePlatform {
	p := &fakePlatform{startedAt: time.Now(), era: 1, members: map[string]*platformMember{}, releases: map[string]error{}}
	for i, id := range []string{"a", "b", "c"} {
		p.members[id] = &platformMember{status: citronusher.MemberStatus{
			Role: citronusher.RoleReplica, Term: 1, Position: citronusher.NewPosition(1, uint64(10-i)), //nolint:gosec // small
		}}
	}
	p.members["a"].status.Role = citronusher.RolePrimary
	p.claim = citronusher.Claim{Era: 1, Version: 1, Phase: citronusher.ClaimFree}
	p.instances = []citronusher.Instance{instance("d1")}
	p.promote = p.lead
	return p
}

func instance(name string) citronusher.Instance {
	return citronusher.NewInstance(name, "127.0.0.1:1", "z", citronusher.InstanceLive)
}

// lead makes a member the primary of the next term.
func (p *fakePlatform) lead(member string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		m.status.Role, m.status.PausedTerm = citronusher.RoleReplica, 0
		m.status.Term++
	}
	p.members[member].status.Role = citronusher.RolePrimary
	return nil
}

// setPrimaryDown sets whether member a, the primary at first, answers.
func (p *fakePlatform) setPrimaryDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members["a"].down = down
}

// requests returns the requests for promotions so far.
func (p *fakePlatform) requests() []fakePromotion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]fakePromotion{}, p.promoted...)
}

func (p *fakePlatform) Instant() citronusher.Instant {
	return citronusher.Instant(0).Add(time.Hour + time.Since(p.startedAt))
}

func (p *fakePlatform) millis() int64 { return time.Since(p.startedAt).Milliseconds() }

func (p *fakePlatform) Era() citronusher.StoreEra {
	return citronusher.StoreEra{Number: p.era, SeenAt: 1}
}

func (p *fakePlatform) ReadClaim(context.Context, string) (citronusher.Claim, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	read := p.claim
	read.StoreMillis = p.millis()
	return read, nil
}

func (p *fakePlatform) WriteClaim(
	_ context.Context, _ string, expected uint64, claim citronusher.Claim,
) (citronusher.Claim, error) {
	if p.onWrite != nil {
		if err := p.onWrite(claim); err != nil {
			return citronusher.Claim{}, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if expected != p.claim.Version {
		return citronusher.Claim{}, citronusher.ErrConflict
	}
	claim.Version = p.claim.Version + 1
	claim.Token, claim.StoreMillis = claim.Version, p.millis()
	p.claim = claim
	return claim, nil
}

func (p *fakePlatform) Members(context.Context) ([]citronusher.MemberReport, error) {
	return p.reports(), nil
}

func (p *fakePlatform) reports() []citronusher.MemberReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]citronusher.MemberReport, 0, len(p.members))
	for id, m := range p.members {
		list = append(list, citronusher.MemberReport{
			ID: id, Group: "g", Address: "127.0.0.1:1", Role: m.status.Role, Slots: 2,
		})
	}
	return list
}

func (p *fakePlatform) Instances(context.Context) ([]citronusher.Instance, error) {
	return p.instances, nil
}

func (p *fakePlatform) Promote(
	_ context.Context, _ citronusher.Instant, _, member string, claim citronusher.Claim,
) error {
	p.mu.Lock()
	p.promoted = append(p.promoted, fakePromotion{
		member: member, token: claim.Token, at: p.Instant(), claim: p.claim, storeMillis: p.millis(),
	})
	p.mu.Unlock()
	return p.promote(member)
}

func (p *fakePlatform) ReleaseLease(
	_ context.Context, i citronusher.Instance, _ string, _ citronusher.Claim, _ uint64,
) error {
	if p.onRelease != nil {
		p.onRelease()
	}
	return p.releases[i.Name()]
}

func (p *fakePlatform) LeaseRenewalAge(
	context.Context, citronusher.Instance, string, uint64,
) (time.Duration, error) {
	return 0, citronusher.ErrNotFound
}

func (p *fakePlatform) FetchUpdate(
	context.Context, citronusher.Instance, citronusher.PeerUpdateRequest,
) (citronusher.PeerUpdate, error) {
	return citronusher.PeerUpdate{}, citronusher.ErrUnavailable
}

func (p *fakePlatform) Dial(_ citronusher.Instant, _, _, id string) (citronusher.MemberConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members[id] == nil || p.members[id].down {
		return nil, citronusher.NewNotRun(citronusher.ReasonConnect, "%v", errNoDial)
	}
	return &platformConn{platform: p, member: p.members[id]}, nil
}

// platformConn is a connection to a member.
type platformConn struct {
	citronusher.MemberConn
	platform *fakePlatform
	member   *platformMember
}

func (c *platformConn) Open() bool   { return true }
func (c *platformConn) Close() error { return nil }

// apply changes the member's status and returns it.
func (c *platformConn) apply(change func(*citronusher.MemberStatus)) (citronusher.MemberStatus, error) {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	if c.member.down {
		return citronusher.MemberStatus{}, citronusher.NewNotRun(citronusher.ReasonConnect, "%v", errNoDial)
	}
	change(&c.member.status)
	return c.member.status, nil
}

func (c *platformConn) Status(citronusher.Instant) (citronusher.MemberStatus, error) {
	return c.apply(func(*citronusher.MemberStatus) {})
}

func (c *platformConn) PauseReplication(_ citronusher.Instant, term uint64) (citronusher.MemberStatus, error) {
	return c.apply(func(s *citronusher.MemberStatus) {
		if s.Role == citronusher.RoleReplica {
			s.PausedTerm, c.member.pausedAt = term, c.platform.Instant()
		}
	})
}

func (c *platformConn) ResumeReplication(citronusher.Instant) error {
	_, err := c.apply(func(s *citronusher.MemberStatus) { s.PausedTerm = 0 })
	return err
}

func (c *platformConn) Demote(_ citronusher.Instant, term uint64) (citronusher.MemberStatus, error) {
	return c.apply(func(s *citronusher.MemberStatus) {
		if s.Term < term {
			s.Role = citronusher.RoleReplica
		}
	})
}

// earlierClaim returns the claim of a daemon that has ended, to replace the primary of term by b.
func earlierClaim(term uint64, phase citronusher.ClaimPhase) citronusher.Claim {
	return citronusher.Claim{
		Holder: "d0/1", Era: 1, Version: 1, Term: term, Phase: phase, Candidate: citronusher.Candidate{ID: "b"},
	}
}

// newDaemon returns the group of a daemon that uses the platform and has found no primary yet.
func (p *fakePlatform) newDaemon(t *testing.T, name string) *Group {
	t.Helper()
	s := New(Config{
		Self: name, Dialer: p, Store: p, Peers: p, Promoter: p, Clock: p, Logger: slog.New(slog.DiscardHandler),
		Meter: meter.New(), RefreshMembers: func() {},
	})
	s.SetRegistered(instance(name))
	g := newGroup(s, "g")
	g.configure(connectionShare{connections: 16, homes: 6, home: true}, p.reports(), 0)
	time.Sleep(time.Millisecond) // what is requested from now on is later than the group
	return g
}

// promoteFor makes a daemon that has lost its primary try a promotion, and returns the reason for which it was abandoned.
func promoteFor(g *Group) string {
	g.mu.Lock()
	g.markUnavailable(g.now(), true)
	for _, m := range g.members {
		m.down, m.downUntil = false, 0
	}
	m := g.newAttempt(false)
	g.mu.Unlock()
	return carryOut(m)
}

// replaceFor makes a daemon try a planned promotion, and returns the reason for which it was abandoned.
func replaceFor(g *Group) string {
	g.mu.Lock()
	m := g.newAttempt(true)
	g.mu.Unlock()
	return carryOut(m)
}

// carryOut tries a promotion, and returns the reason for which it was abandoned.
func carryOut(m *promotionAttempt) string {
	ctx, cancel := context.WithTimeout(context.Background(), promotionTimeout)
	defer cancel()
	reason := m.try(ctx)
	m.disclaim()
	return reason
}

func (p fakePromotion) String() string { return fmt.Sprintf("%s under token %d", p.member, p.token) }
