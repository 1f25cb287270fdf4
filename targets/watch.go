package targets

import (
	"errors"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

const (
	aliveSpan   = 400 * time.Millisecond // a member that answered so lately is alive
	silentAfter = 150 * time.Millisecond // a member that leaves a statement unanswered for so long is probed
	probeLimit  = 250 * time.Millisecond // for a probe's answer
	wantedSpan  = 6 * time.Second        // for which a group is served without requests that this daemon is no home of
	warmSpare   = 1                      // idle connections that are opened ahead of need
)

// watch keeps the right, looks for the primary and probes silent members until the group closes.
func (g *Group) watch() {
	ticker := time.NewTicker(groupTick)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
		case <-g.kicked:
		}
		if g.unwanted() {
			g.set.drop(g)
			return
		}
		g.step()
	}
}

// wanted records that a request is about to use the group.
func (g *Group) wanted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wantedAt = g.now()
}

// unwanted reports whether this daemon is no home of the group and nobody has used it for a while.
func (g *Group) unwanted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.home || g.moving || len(g.waits) > 0 || g.now() < g.wantedAt.Add(wantedSpan) {
		return false
	}
	for _, m := range g.members {
		if m.busy > 0 {
			return false
		}
	}
	return true
}

// step begins whatever is due now.
func (g *Group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	now := g.now()
	g.lookIfNeeded(now)
	g.renewIfNeeded(now)
	for _, m := range g.members {
		g.probeIfSilent(m, now)
		g.warmIfEmpty(m, now)
		closeAll(m.takeSurplus(now))
	}
	g.moveIfNeeded(now)
	g.refuseHopeless(now)
	g.dispatch(now)
}

// background runs f until the set closes.
func (g *Group) background(f func()) {
	g.set.tasks.Go(func() error {
		f()
		return nil
	})
}

// warmIfEmpty opens a connection ahead of need, and looks whether a member that did not answer is back. The caller
// holds mu.
func (g *Group) warmIfEmpty(m *member, now citronusher.Instant) {
	enough := len(m.open) >= m.limit || len(m.idle) >= warmSpare || m.report.Leaving
	if m.warming || m.replaced || now < m.downUntil || now < m.fullUntil || enough && !m.down {
		return
	}
	m.warming = true
	g.background(func() { g.warm(m) })
}

func (g *Group) warm(m *member) {
	c, err := g.dial(m, g.now().Add(dialLimit))
	g.mu.Lock()
	defer g.mu.Unlock()
	m.warming = false
	if err != nil {
		return // dial has noted it
	}
	if g.closed || g.members[m.report.ID] != m {
		delete(m.open, c)
		closeConn(c)
		return
	}
	m.idle = append(m.idle, c)
	g.dispatch(g.now())
}

// probeIfSilent probes a member that leaves a statement unanswered. The caller holds mu.
func (g *Group) probeIfSilent(m *member, now citronusher.Instant) {
	sent := m.oldestSent()
	if m.probing || sent == 0 || max(sent, m.heardAt).Add(silentAfter) > now {
		return
	}
	m.probing = true
	g.background(func() { g.probe(m) })
}

// probe asks a silent member on a new connection. A member that does not answer loses its connections: what can be
// retried is retried elsewhere.
func (g *Group) probe(m *member) {
	c, err := g.dial(m, g.now().Add(probeLimit))
	if err == nil {
		_, err = c.link.Status(g.now().Add(probeLimit))
		g.set.config.Meter.Probes().Inc(1)
		g.returnAsked(m, c, err)
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

// noteDialFailure records that no connection could be opened. A member that answers on other connections is only too
// busy for another one. The caller holds mu.
func (g *Group) noteDialFailure(m *member, now citronusher.Instant, err error) {
	gone := errors.Is(err, citronusher.ErrRefused) || errors.Is(err, citronusher.ErrWrongMember)
	if !gone && now < m.heardAt.Add(aliveSpan) {
		m.fullUntil = now.Add(fullPause)
		return
	}
	m.replaced = errors.Is(err, citronusher.ErrWrongMember)
	g.markDown(m, now, err)
}

// heard records that a member answers. The caller holds mu.
func (g *Group) heard(m *member, now citronusher.Instant) {
	m.heardAt = now
	if !m.down {
		return
	}
	m.down = false
	events.Log(g.set.config.Logger, events.MemberRecovered, "group", g.name, "member", m.report.ID)
	if m.report.ID == g.primary && !g.moving {
		g.lostAt, g.refused = 0, false
	}
}

// markDown records that a member does not answer. The caller holds mu.
func (g *Group) markDown(m *member, now citronusher.Instant, err error) {
	if !m.down {
		events.Log(g.set.config.Logger, events.ProbeFailed, "group", g.name, "member", m.report.ID, "error", err)
	}
	m.down = true
	m.downUntil = now.Add(downPause)
	closeAll(m.takeAll())
	if m.report.ID == g.primary {
		g.noteLost(now, errors.Is(err, citronusher.ErrRefused) || m.replaced)
	}
	g.kick()
}
