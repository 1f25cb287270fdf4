package targets

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/promotion"
)

const (
	moveLimit    = 4 * time.Second        // for a whole promotion
	yieldLimit   = 300 * time.Millisecond // for a daemon to give its right up
	catchUpLimit = 400 * time.Millisecond // for a replica to receive what a leaving primary has
	catchUpPause = 15 * time.Millisecond
	effectPause  = 40 * time.Millisecond   // between two looks at the promoted member
	movePause    = 300 * time.Millisecond  // before another promotion after a failed one
	otherPause   = 1 * time.Second         // before another promotion while another daemon carries one out
	moveSpan     = 1800 * time.Millisecond // in which a lost primary is usually replaced
	aliveWindow  = 150 * time.Millisecond  // in which replicas that receive show that their primary lives
	linkPatience = 1500 * time.Millisecond
	// guestPatience is how long a daemon that is no home leaves a lost primary to the group's homes.
	guestPatience = 2500 * time.Millisecond
)

// move is one promotion in progress.
type move struct {
	group    *Group
	planned  bool
	primary  string // the member that is replaced; empty when none is known
	term     uint64 // the newest term that any member told
	claim    citronusher.Claim
	deadline citronusher.Instant // until when the promotion may be ordered
	seen     []report            // the members' reports when the promotion began
	held     []report
	pause    time.Duration // before this daemon begins another one
	other    bool          // another daemon carries a promotion out
}

// moveIfNeeded begins a promotion when the primary is lost or leaves. The caller holds mu.
func (g *Group) moveIfNeeded(now citronusher.Instant) {
	if g.moving || now < g.deferred || len(g.members) < 2 { //nolint:mnd // one to replace, one to follow
		return
	}
	primary := g.members[g.primary]
	loss := promotion.Outage{DetectedAt: g.lostAt, Refused: g.refused, PrimaryKnown: primary != nil && !g.right.Closed()}
	if !g.home && now < loss.DetectedAt.Add(guestPatience) {
		return
	}
	planned := primary != nil && primary.report.Leaving && !g.right.Closed() && g.right.Valid(now)
	if !planned && !loss.ShouldPromote(now) {
		return
	}
	g.moving = true
	m := &move{group: g, planned: planned, primary: g.primary, term: max(g.right.Term(), g.highest), pause: movePause}
	g.background(m.run)
}

// run carries the promotion out.
func (m *move) run() {
	g := m.group
	ctx, cancel := context.WithTimeout(g.set.ctx, moveLimit)
	defer cancel()
	why := m.try(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moving = false
	g.deferred = g.now().Add(m.pause)
	if !m.other {
		g.backAt = g.now().Add(moveSpan)
	}
	g.lookedAt = 0
	if why != "" {
		events.Log(g.set.config.Logger, events.PromotionAbandoned, "group", g.name, "primary", m.primary, "term", m.term,
			"planned", m.planned, "reason", why)
	}
	g.set.config.RefreshMembers()
	g.kick()
}

// try returns why the promotion was given up, or nothing.
func (m *move) try(ctx context.Context) string {
	if why := m.take(ctx); why != "" {
		return why
	}
	if why := m.examine(); why != "" {
		return why
	}
	events.Log(m.group.set.config.Logger, events.Promoting, "group", m.group.name, "primary", m.primary, "term", m.term,
		"planned", m.planned, "token", m.claim.Token)
	if m.planned {
		m.stepDown()
	}
	if why := m.hold(); why != "" {
		m.resume()
		return why
	}
	return m.order(ctx)
}

// take claims the group.
func (m *move) take(ctx context.Context) string {
	g := m.group
	askedAt := g.now()
	read, version, err := g.set.config.Store.ReadClaim(ctx, g.name)
	if err != nil {
		return "the claim could not be read: " + err.Error()
	}
	if !promotion.Claimable(read, g.set.config.Self) {
		m.pause, m.other = otherPause, true
		return "another daemon holds the claim: " + read.Holder
	}
	m.claim, err = g.set.config.Store.WriteClaim(ctx, g.name, version, promotion.NextClaim(read, g.set.config.Self))
	if err != nil {
		return "the claim could not be written: " + err.Error()
	}
	m.deadline = promotion.RequestDeadline(askedAt)
	members, err := g.set.config.Store.Members(ctx)
	if err != nil {
		return "the members could not be read: " + err.Error()
	}
	g.set.SetMembers(members)
	return ""
}

// examine makes sure that the primary is really lost, unless it leaves.
func (m *move) examine() string {
	g := m.group
	reports := g.askAll(status)
	m.seen = reports
	newest, leads := m.newest(reports)
	if newest > m.term {
		g.adoptFrom(reports)
		return "a newer term exists"
	}
	if m.planned {
		return ""
	}
	if leads {
		m.release(reports)
		return "the primary answers"
	}
	if m.primary == "" && anyBusy(reports) {
		return "a member that had no time to answer may lead"
	}
	g.mu.Lock()
	patient := g.refused || g.now() > g.lostAt.Add(linkPatience)
	g.mu.Unlock()
	if patient {
		return ""
	}
	before := latest(reports)
	time.Sleep(aliveWindow)
	if before.Less(latest(g.askAll(status))) {
		return "replicas receive from the primary: only this daemon cannot reach it"
	}
	return ""
}

// release lets members receive again that an earlier promotion stopped which never came to its end, and takes the
// primary over that leads all the while. Only the holder of the claim may do so: no earlier order is under way then.
func (m *move) release(reports []report) {
	for _, r := range reports {
		if r.err == nil && r.status.PausedTerm > m.term {
			m.held = append(m.held, r)
		}
	}
	if len(m.held) > 0 {
		m.resume()
		reports = m.group.askAll(status)
	}
	m.group.adoptFrom(reports)
}

// newest returns the newest term in reports and whether the primary to be replaced still leads under it.
func (m *move) newest(reports []report) (term uint64, leads bool) {
	for _, r := range reports {
		if r.err != nil {
			continue
		}
		term = max(term, r.status.Term)
		if r.status.Role == citronusher.RolePrimary && r.status.Term >= m.term {
			leads = true
		}
	}
	return term, leads
}

func latest(reports []report) citronusher.Position {
	var position citronusher.Position
	for _, r := range reports {
		if r.err == nil && r.status.Role == citronusher.RoleReplica {
			position = position.Max(r.status.Position)
		}
	}
	return position
}

// stepDown makes a leaving primary a replica and waits until another member has received all of its log.
func (m *move) stepDown() {
	g := m.group
	g.mu.Lock()
	primary := g.members[m.primary]
	g.mu.Unlock()
	if primary == nil {
		return
	}
	last := g.ask(primary, answerLimit, func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
		return c.link.Demote(deadline, m.term+1)
	})
	if last.err != nil {
		return // the promotion goes on as for a lost primary
	}
	waitDeadline := g.now().Add(catchUpLimit)
	for g.now() < waitDeadline {
		for _, r := range g.askAll(status) {
			if r.err == nil && r.member != primary && !r.leaving && !r.status.Position.Less(last.status.Position) {
				return
			}
		}
		time.Sleep(catchUpPause)
	}
}

// hold makes every other member stop receiving, so that no right to use the old primary is renewed any more. It
// fails unless all of them do: one that was left out could renew a right.
func (m *move) hold() string {
	g := m.group
	term := m.term + 1
	for _, r := range m.seen {
		if r.err == nil {
			term = max(term, r.status.PausedTerm+1)
		}
	}
	if why := m.unreachable(); why != "" {
		return why
	}
	reports := g.askAll(func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
		return c.link.PauseReplication(deadline, term)
	})
	why := ""
	for _, r := range reports {
		old := r.id == m.primary
		switch {
		case r.err != nil && !old:
			why = "member " + r.id + " did not stop receiving: " + r.err.Error()
		case r.err == nil && r.status.Role == citronusher.RolePrimary && !old:
			why = "member " + r.id + " leads"
		case r.err == nil && r.status.Role == citronusher.RoleReplica:
			m.held = append(m.held, r)
		}
	}
	if why == "" {
		why = m.left()
	}
	return why
}

// left names a member, besides the primary, that was not told to stop receiving: it was down, or became known,
// meanwhile.
func (m *move) left() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for id, other := range m.group.members {
		held := slices.ContainsFunc(m.held, func(r report) bool { return r.id == id })
		if id != m.primary && !other.replaced && !held {
			return "member " + id + " was not told to stop receiving"
		}
	}
	return ""
}

// unreachable names a member, besides the primary, that does not answer: it could renew a right.
func (m *move) unreachable() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	now := m.group.now()
	for id, other := range m.group.members {
		if id != m.primary && !other.replaced && now < other.downUntil {
			return "member " + id + " does not answer and may renew rights"
		}
	}
	return ""
}

// resume lets the members receive again.
func (m *move) resume() {
	var tasks sync.WaitGroup
	for _, r := range m.held {
		tasks.Go(func() {
			m.group.ask(r.member, answerLimit, func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
				return citronusher.MemberStatus{}, c.link.ResumeReplication(deadline)
			})
		})
	}
	tasks.Wait()
}

// order promotes the member that received most and waits until it leads.
func (m *move) order(ctx context.Context) string {
	g := m.group
	list := make([]promotion.Member, 0, len(m.held))
	for _, r := range m.held {
		list = append(list, promotion.Member{ID: r.id, Position: r.status.Position, Leaving: r.leaving})
	}
	winner, ok := promotion.ChooseCandidate(list)
	if !ok {
		return "no member can follow"
	}
	heldAt := g.now()
	if wait := promotion.EarliestRequestAt(heldAt, m.yielded(ctx)).Sub(g.now()); wait > 0 {
		time.Sleep(wait)
	}
	if g.now() > m.deadline {
		m.resume()
		return "the claim is too old to order a promotion"
	}
	if err := g.set.config.Promoter.Promote(ctx, g.name, winner, m.claim); err != nil {
		return "the promotion of " + winner + " was not confirmed: " + err.Error()
	}
	g.set.config.Meter.Promotions().Inc(1)
	events.Log(g.set.config.Logger, events.Promoted, "group", g.name, "member", winner, "token", m.claim.Token)
	return m.await(ctx, winner)
}

// yielded asks every daemon to give its right to the primary up, and reports whether all did. The list of daemons is
// read after the replicas stopped: a daemon that is not in it can only begin rights later, and no replica renews
// them any more.
func (m *move) yielded(ctx context.Context) bool {
	g := m.group
	instances, err := g.set.config.Store.Instances(ctx)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, yieldLimit)
	defer cancel()
	var tasks errgroup.Group
	for _, instance := range instances {
		tasks.Go(func() error {
			if instance.Name() == g.set.config.Self {
				g.yield(m.term)
				return nil
			}
			err := g.set.config.Peers.ReleaseLease(ctx, instance, g.name, m.claim, m.term)
			if errors.Is(err, citronusher.ErrRefused) {
				return nil // it does not run and holds no right
			}
			return err
		})
	}
	if err := tasks.Wait(); err != nil {
		events.Log(g.set.config.Logger, events.LeaseReleaseFailed, "group", g.name, "term", m.term, "error", err)
		return false
	}
	return true
}

// await waits until the promoted member leads and takes it over.
func (m *move) await(ctx context.Context, winner string) string {
	g := m.group
	g.mu.Lock()
	g.right.Close()
	next := g.members[winner]
	g.mu.Unlock()
	for next != nil && ctx.Err() == nil {
		time.Sleep(effectPause)
		r := g.ask(next, answerLimit, status)
		if r.err == nil && r.status.Role == citronusher.RolePrimary {
			g.adoptFrom(g.askUp(status))
			m.demoteOld(r.status.Term)
			return ""
		}
	}
	return "the promoted member does not lead yet"
}

// demoteOld makes the old primary follow at once, when it can be reached.
func (m *move) demoteOld(term uint64) {
	g := m.group
	g.mu.Lock()
	old := g.members[m.primary]
	reachable := old != nil && m.primary != g.primary && g.now() >= old.downUntil
	g.mu.Unlock()
	if reachable {
		g.ask(old, answerLimit, func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
			return c.link.Demote(deadline, term)
		})
	}
}
