package targets

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/right"
)

const (
	shareAfter  = 450 * time.Millisecond // the same for the daemon that renews for the others
	sharePause  = 450 * time.Millisecond // before another daemon is asked again
	shareLimit  = 150 * time.Millisecond // for another daemon's answer
	renewAfter  = 900 * time.Millisecond // after the question that renewed the right last
	renewLimit  = 200 * time.Millisecond // for one replica's answer
	renewIdle   = 3 * time.Second        // without requests for the primary the right is not renewed
	lookPause   = 120 * time.Millisecond // between two looks for the primary
	answerLimit = 300 * time.Millisecond // for one member's answer
	aliveSpan   = 400 * time.Millisecond // a member that answered so lately is alive
	silentAfter = 150 * time.Millisecond // a member that leaves a statement unanswered for so long is probed
	probeLimit  = 250 * time.Millisecond // for a probe's answer
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
		g.step()
	}
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

// lookIfNeeded asks every member for its report while no primary is known under a right. The caller holds mu.
func (g *Group) lookIfNeeded(now citronusher.Instant) {
	lost := g.right.Term() == 0 || g.right.Closed()
	if !lost || g.looking || g.moving || now < g.lookedAt.Add(lookPause) || len(g.members) == 0 {
		return
	}
	g.looking = true
	g.lookedAt = now
	g.background(g.look)
}

// question asks a member something on a connection, or orders it something.
type question func(c *conn, deadline citronusher.Instant) (citronusher.MemberStatus, error)

// report is a member's answer to a question.
type report struct {
	member  *member
	id      string
	leaving bool
	status  citronusher.MemberStatus
	askedAt citronusher.Instant
	err     error
}

// askAll asks every member at the same time, those that were down lately left out.
func (g *Group) askAll(ask question) []report {
	now := g.now()
	return g.askSome(ask, func(m *member) bool { return now >= m.downUntil })
}

// askUp asks every member that is not down at the same time. It does not wait for one that went silent.
func (g *Group) askUp(ask question) []report {
	return g.askSome(ask, func(m *member) bool { return !m.down })
}

func (g *Group) askSome(ask question, chosen func(*member) bool) []report {
	g.mu.Lock()
	list := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		if chosen(m) && !m.replaced {
			list = append(list, m)
		}
	}
	g.mu.Unlock()
	reports := make([]report, len(list))
	var tasks errgroup.Group
	for i, m := range list {
		tasks.Go(func() error {
			reports[i] = g.ask(m, answerLimit, ask)
			return nil
		})
	}
	_ = tasks.Wait() // the functions return no errors
	return reports
}

func status(c *conn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
	return c.link.Status(deadline)
}

// ask puts one question to a member, on an idle connection or a new one.
func (g *Group) ask(
	m *member, limit time.Duration, ask question,
) report {
	g.mu.Lock()
	c := m.takeIdle()
	r := report{member: m, id: m.report.ID, leaving: m.report.Leaving}
	g.mu.Unlock()
	deadline := g.now().Add(limit)
	fresh := c == nil
	if fresh {
		if c, r.err = g.dial(m, deadline); r.err != nil {
			return r
		}
	}
	r.askedAt = g.now()
	r.status, r.err = ask(c, deadline)
	g.set.config.Meter.Probes().Inc(1)
	g.returnAsked(m, c, r.err)
	if r.err != nil && !fresh && citronusher.AsFailure(r.err).Reason() == citronusher.ReasonConnect && g.now() < deadline {
		return g.ask(m, deadline.Sub(g.now()), ask) // the idle connection was closed meanwhile
	}
	return r
}

// returnAsked gives a connection back after a question.
func (g *Group) returnAsked(m *member, c *conn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	broken := err != nil && citronusher.AsFailure(err).Reason() != citronusher.ReasonFull
	_, kept := m.open[c]
	if broken || !kept || g.closed {
		delete(m.open, c)
		closeConn(c)
		return
	}
	g.heard(m, now)
	c.idleSince = now
	m.idle = append(m.idle, c)
	g.dispatch(now)
}

// look asks every member and takes over the primary that the answers show.
func (g *Group) look() {
	if g.set.isKnown() && !g.adoptFrom(g.askUp(status)) {
		g.adoptFrom(g.askAll(status))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.looking = false
}

// adoptFrom takes over the primary that reports show, and reports whether they show one.
func (g *Group) adoptFrom(reports []report) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.adopt(reports)
}

// yield gives up the right to the primary up to a term, because another daemon is about to replace it.
func (g *Group) yield(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.right.Term() > term {
		return
	}
	now := g.now()
	g.right.Yield(now)
	g.noteLost(now, false)
	events.Log(g.set.config.Logger, events.RightYielded, "group", g.name, "term", g.right.Term())
	g.kick()
	g.wake()
}

// adopt is adoptFrom for a caller that holds mu.
func (g *Group) adopt(reports []report) bool {
	now := g.now()
	var leader *report
	for i := range reports {
		r := &reports[i]
		if r.err != nil {
			continue
		}
		g.highest = max(g.highest, r.status.Term)
		if r.status.Role == citronusher.RolePrimary && (leader == nil || r.status.Term > leader.status.Term) {
			leader = r
		}
	}
	if leader == nil && anyBusy(reports) {
		return false // the one that has no free connection may lead
	}
	if leader == nil || leader.status.Term < g.highest {
		g.noteLost(now, false)
		return false
	}
	fresh := g.right // keeps since when reports count
	fresh.Begin(leader.status.Term)
	for _, r := range reports {
		if r.err == nil && r.member != leader.member {
			fresh.Report(r.status, r.askedAt)
		}
	}
	if fresh.Closed() {
		g.noteLost(now, false)
		return false
	}
	g.lead(leader, fresh, now)
	return true
}

// anyBusy reports whether a member lives but had no time or no connection for an answer.
func anyBusy(reports []report) bool {
	for _, r := range reports {
		if r.err == nil {
			continue
		}
		reason := citronusher.AsFailure(r.err).Reason()
		if reason == citronusher.ReasonLimit || reason == citronusher.ReasonFull {
			return true
		}
	}
	return false
}

// lead takes over a primary under a right that began now. The caller holds mu.
func (g *Group) lead(leader *report, fresh right.Right, now citronusher.Instant) {
	id := leader.id
	if id != g.primary || fresh.Term() != g.right.Term() {
		events.Log(g.set.config.Logger, events.PrimaryKnown, "group", g.name, "member", id, "term", fresh.Term(),
			"before", g.primary, "position", leader.status.Position.String())
		if old := g.members[g.primary]; old != nil && id != g.primary {
			closeAll(old.takeAll())
		}
		g.window.Reset()
	}
	g.primary, g.right, g.lostAt, g.refused = id, fresh, 0, false
	g.heard(leader.member, now)
	g.renewAt = leader.askedAt
	if fresh.Valid(leader.askedAt) {
		g.window.Observe(leader.status.Position, leader.askedAt)
	}
	g.wake()
	g.dispatch(now)
}

// noteLost records since when no primary can be used. The caller holds mu.
func (g *Group) noteLost(now citronusher.Instant, refused bool) {
	if g.lostAt == 0 {
		g.lostAt = now
		g.backAt = now.Add(moveSpan)
	}
	g.refused = g.refused || refused
}

// renewIfNeeded asks a replica to renew the right, while requests use the primary. The caller holds mu.
func (g *Group) renewIfNeeded(now citronusher.Instant) {
	used := g.queue.Primary() > 0 || now < g.usedAt.Add(renewIdle)
	if g.renewing || g.right.Term() == 0 || g.right.Closed() || !used || now < g.renewAt.Add(shareAfter) {
		return
	}
	prober, other := g.set.prober(g.name)
	switch {
	case !other:
		g.renewing = true
		g.background(g.renew)
	case other && now >= g.sharedAt.Add(sharePause):
		g.renewing = true
		g.sharedAt = now
		g.background(func() { g.share(prober) })
	}
}

// share asks the daemon that renews for the others, and a replica when that daemon cannot tell and the right gets old.
func (g *Group) share(prober citronusher.Instance) {
	g.mu.Lock()
	term := g.right.Term()
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.set.ctx, shareLimit)
	sentAt := g.now()
	age, err := g.set.config.Peers.Renewed(ctx, prober, g.name, term)
	cancel()
	g.mu.Lock()
	if err == nil && g.right.Share(term, sentAt.Add(-age)) == right.Renewed {
		g.renewAt = max(g.renewAt, sentAt.Add(-age))
		g.wake()
		g.dispatch(g.now())
	}
	old := g.now() >= g.renewAt.Add(renewAfter)
	if !old {
		g.renewing = false
	}
	g.mu.Unlock()
	if old {
		g.renew()
	}
}

// renewed returns how long ago the replica was asked that renewed the right of a term. Being asked counts as use: others rely on
// the renewals.
func (g *Group) renewed(term uint64) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.usedAt = now
	askedAt, ok := g.right.AskedAt()
	if !ok || g.right.Term() != term || !g.right.Valid(now) {
		g.kick()
		return 0, false
	}
	return now.Sub(askedAt), true
}

// renew asks one replica after the other until one renews the right.
func (g *Group) renew() {
	for _, m := range g.witnesses() {
		r := g.ask(m, renewLimit, status)
		g.mu.Lock()
		verdict := right.Silent
		if r.err == nil && g.members[r.id] == m && r.id != g.primary {
			verdict = g.right.Report(r.status, r.askedAt)
			m.position = m.position.Max(r.status.Position)
		}
		if verdict != right.Silent {
			g.finishRenewal(verdict, r)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renewing = false
	if now := g.now(); !g.right.Valid(now) && now > g.expiredAt.Add(right.Span) {
		g.expiredAt = now
		events.Log(g.set.config.Logger, events.RightExpired, "group", g.name, "term", g.right.Term(), "primary", g.primary)
	}
}

// finishRenewal records a decisive answer. The caller holds mu.
func (g *Group) finishRenewal(verdict right.Verdict, r report) {
	g.renewing = false
	g.renewAt = r.askedAt
	if verdict == right.Superseded {
		events.Log(g.set.config.Logger, events.RightClosed, "group", g.name, "term", g.right.Term(), "member",
			r.id, "held", r.status.Held, "newer", r.status.Term)
		g.kick()
	}
	g.wake()
	g.dispatch(g.now())
}

// witnesses returns the replicas in the order in which they are asked for a renewal: idle ones first.
func (g *Group) witnesses() []*member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var list []*member
	for id, m := range g.members {
		if id == g.primary {
			continue
		}
		if now < m.downUntil || m.running > 0 {
			list = append(list, m)
		} else {
			list = append([]*member{m}, list...)
		}
	}
	return list
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
	gone := errors.Is(err, citronusher.ErrRefused) || errors.Is(err, citronusher.ErrReplaced)
	if !gone && now < m.heardAt.Add(aliveSpan) {
		m.fullUntil = now.Add(fullPause)
		return
	}
	m.replaced = errors.Is(err, citronusher.ErrReplaced)
	g.markDown(m, now, err)
}

// heard records that a member answers. The caller holds mu.
func (g *Group) heard(m *member, now citronusher.Instant) {
	m.heardAt = now
	if !m.down {
		return
	}
	m.down = false
	events.Log(g.set.config.Logger, events.MemberBack, "group", g.name, "member", m.report.ID)
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
