package targets

import (
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/lease"
)

const (
	lookPause   = 120 * time.Millisecond // between two looks for the primary
	answerLimit = 300 * time.Millisecond // for one member's answer
)

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
type question func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error)

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
	var tasks sync.WaitGroup
	for i, m := range list {
		tasks.Go(func() { reports[i] = g.ask(m, answerLimit, ask) })
	}
	tasks.Wait()
	return reports
}

func status(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
	return c.link.Status(deadline)
}

// ask puts one question to a member, on an idle connection or a new one.
func (g *Group) ask(m *member, limit time.Duration, ask question) report {
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
func (g *Group) returnAsked(m *member, c *pooledConn, err error) {
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
			fresh.ObserveStatus(r.status, r.askedAt)
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
func (g *Group) lead(leader *report, fresh lease.Lease, now citronusher.Instant) {
	id := leader.id
	if id != g.primary || fresh.Term() != g.right.Term() {
		events.Log(g.set.config.Logger, events.PrimaryChanged, "group", g.name, "member", id, "term", fresh.Term(),
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
