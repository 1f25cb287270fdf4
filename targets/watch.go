package targets

import (
	"errors"
	"slices"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/guard"
)

const (
	recentResponseWindow = 400 * time.Millisecond // in which a member that has answered is not marked down by a dial time-out
	unresponsiveAfter    = 150 * time.Millisecond // without an answer to a statement, after which the member is probed
	probeTimeout         = 250 * time.Millisecond // timeout of each step of a probe: the connection and the status request
	unusedTimeout        = 6 * time.Second        // after which an unused group is closed by a non-home instance
	minIdleConns         = 1                      // idle connections per member that are kept open ahead of need
)

// watch runs a step every watchInterval, and whenever wakeLoop is called, until the group closes or becomes unused.
func (g *Group) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
		case <-g.wakeLoopC:
		}
		if g.unused() {
			g.set.remove(g)
			return
		}
		g.step()
	}
}

// recordUse records that a request is about to use the group, so that it is not closed as unused.
func (g *Group) recordUse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requestedAt = g.now()
}

// unused reports whether this instance is not a home of the group, no request came within unusedTimeout and nothing is
// in progress.
func (g *Group) unused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.home || g.promoting || len(g.waiting) > 0 || g.now() < g.requestedAt.Add(unusedTimeout) {
		return false
	}
	for _, m := range g.members {
		if m.inUse > 0 {
			return false
		}
	}
	return true
}

// step starts the background work that is due: discovery, renewal, probes, opening and closing of idle connections, and
// promotion. Then it rejects and dispatches queued requests.
func (g *Group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	now := g.now()
	g.discoverIfNeeded(now)
	g.renewIfNeeded(now)
	for _, m := range g.members {
		g.probeIfUnresponsive(m, now)
		g.prewarmIfNeeded(m, now)
		closeAll(m.takeSurplus(now))
	}
	g.promoteIfNeeded(now)
	g.rejectUnservable(now)
	g.dispatch(now)
}

// background runs f until the set closes.
func (g *Group) background(f func()) {
	g.set.tasks.Go(func() error {
		guard.Run(g.set.config.Logger, "group "+g.name, f)
		return nil
	})
}

// prewarmIfNeeded opens a connection if the member has too few idle ones. A member that is down is dialled as well, to
// detect that it answers again. An instance that is not a home opens connections only for requests, because a large fleet's
// would exceed what the members accept. A discovery leaves its connections open, so that none is opened beside it: each one
// occupies a slot of the member, and all daemons of a restarted fleet open theirs at the same time. The caller holds mu.
func (g *Group) prewarmIfNeeded(m *member, now citronusher.Instant) {
	if !g.home || g.discovering {
		return
	}
	enough := len(m.conns) >= m.maxConns || len(m.idle) >= minIdleConns || m.report.Leaving
	if m.prewarming || m.wrongMember || now < m.downUntil || now < m.fullUntil || enough && !m.down {
		return
	}
	m.prewarming = true
	g.background(func() { g.prewarm(m) })
}

func (g *Group) prewarm(m *member) {
	c, err := g.dial(m, g.now().Add(dialTimeout))
	g.mu.Lock()
	defer g.mu.Unlock()
	m.prewarming = false
	if err != nil {
		return // dial has recorded the failure
	}
	if g.closed || g.members[m.report.ID] != m {
		delete(m.conns, c)
		closeConn(c)
		return
	}
	c.idleSince = g.now()
	m.idle = slices.Insert(m.idle, 0, c) // used and kept after the older ones, which show that the member has not restarted
	g.dispatch(g.now())
}

// probeIfUnresponsive starts a probe if a statement has been unanswered for unresponsiveAfter and nothing else was
// answered in that time. The caller holds mu.
func (g *Group) probeIfUnresponsive(m *member, now citronusher.Instant) {
	sent := m.oldestSent()
	if m.probing || sent == 0 || max(sent, m.lastResponseAt).Add(unresponsiveAfter) > now {
		return
	}
	m.probing = true
	g.background(func() { g.probe(m) })
}

// probe requests the status of an unresponsive member on a new connection. If the member does not answer, its
// connections are closed, so that their statements fail and those that can be retried run at another member. A primary
// that answers that it is a replica, or the primary of a newer term, ends the lease.
func (g *Group) probe(m *member) {
	c, err := g.dial(m, g.now().Add(probeTimeout))
	if err == nil {
		r := memberReply{sentAt: g.now()}
		r.status, r.err = c.link.Status(r.sentAt.Add(probeTimeout))
		status, err := r.status, r.err
		g.set.config.Meter.Probes().Inc(1)
		g.mu.Lock()
		r.id = m.report.ID
		superseded := status.Role == citronusher.RoleReplica || status.Term > g.lease.Term()
		if err == nil && m.report.ID == g.primary && superseded {
			g.endLease("primary reported another role or term", g.now())
		}
		g.mu.Unlock()
		g.returnQueried(m, c, r)
		if err != nil && citronusher.AsFailure(err).Reason() == citronusher.ReasonConnect {
			g.mu.Lock()
			g.markDown(m, g.now(), err)
			g.mu.Unlock()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.probing = false
}

// recordDialFailure records that no connection could be opened. A member that answered on another connection within
// recentResponseWindow is treated as out of connections instead of down, unless its machine refused the connection or
// another member answered. The caller holds mu.
func (g *Group) recordDialFailure(m *member, now citronusher.Instant, err error) {
	certain := errors.Is(err, citronusher.ErrRefused) || errors.Is(err, citronusher.ErrWrongMember)
	if !certain && now < m.lastResponseAt.Add(recentResponseWindow) {
		m.fullUntil = now.Add(fullBackoff)
		return
	}
	m.wrongMember = errors.Is(err, citronusher.ErrWrongMember)
	g.markDown(m, now, err)
}

// recordResponse records that a member has answered and is up. The caller holds mu.
func (g *Group) recordResponse(m *member, now citronusher.Instant) {
	m.lastResponseAt = now
	if !m.down {
		return
	}
	m.down = false
	events.Log(g.set.config.Logger, events.MemberRecovered, "group", g.name, "member", m.report.ID)
	if m.report.ID == g.primary && !g.promoting {
		g.unavailableSince, g.connectionRefused = 0, false
	}
}

// markDown records that a member is down and closes its connections. The caller holds mu.
func (g *Group) markDown(m *member, now citronusher.Instant, err error) {
	if !m.down {
		events.Log(g.set.config.Logger, events.ProbeFailed, "group", g.name, "member", m.report.ID, "error", err)
	}
	m.down = true
	m.downUntil = now.Add(downBackoff)
	closeAll(m.takeAll())
	if m.report.ID == g.primary {
		g.markUnavailable(now, errors.Is(err, citronusher.ErrRefused) || m.wrongMember)
	}
	g.wakeLoop()
}
