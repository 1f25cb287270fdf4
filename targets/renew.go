package targets

import (
	"context"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/lease"
)

const (
	shareAfter = 450 * time.Millisecond // after the question that renewed the right last, for the next renewal
	sharePause = 450 * time.Millisecond // before another daemon is asked again
	shareLimit = 150 * time.Millisecond // for another daemon's answer
	renewAfter = 900 * time.Millisecond // the age of a right at which a daemon that others do not help asks a replica
	renewLimit = 200 * time.Millisecond // for one replica's answer
	renewIdle  = 3 * time.Second        // without requests for the primary the right is not renewed
)

// yield gives up the right to the primary up to a term, because another daemon is about to replace it.
func (g *Group) yield(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.right.Term() > term {
		return
	}
	now := g.now()
	g.right.Release(now)
	g.noteLost(now, false)
	events.Log(g.set.config.Logger, events.LeaseReleased, "group", g.name, "term", g.right.Term())
	g.kick()
	g.wake()
}

// renewIfNeeded asks a replica to renew the right, while requests use the primary. The caller holds mu.
func (g *Group) renewIfNeeded(now citronusher.Instant) {
	used := g.queue.PrimaryLen() > 0 || now < g.usedAt.Add(renewIdle)
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
	age, err := g.set.config.Peers.LeaseRenewalAge(ctx, prober, g.name, term)
	cancel()
	g.mu.Lock()
	if err == nil && g.right.ObservePeerRenewal(term, sentAt.Add(-age)) == lease.Renewed {
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

// renewed returns how long ago the replica was asked that renewed the right of a term. Being asked counts as use:
// others rely on the renewals.
func (g *Group) renewed(term uint64) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.usedAt = now
	askedAt, ok := g.right.RenewalSentAt()
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
		verdict := lease.Inconclusive
		if r.err == nil && g.members[r.id] == m && r.id != g.primary {
			verdict = g.right.ObserveStatus(r.status, r.askedAt)
			m.position = m.position.Max(r.status.Position)
		}
		if verdict != lease.Inconclusive {
			g.finishRenewal(verdict, r)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renewing = false
	if now := g.now(); !g.right.Valid(now) && now > g.expiredAt.Add(lease.TTL) {
		g.expiredAt = now
		events.Log(g.set.config.Logger, events.LeaseExpired, "group", g.name, "term", g.right.Term(), "primary", g.primary)
	}
}

// finishRenewal records a decisive answer. The caller holds mu.
func (g *Group) finishRenewal(verdict lease.Verdict, r report) {
	g.renewing = false
	g.renewAt = r.askedAt
	if verdict == lease.Superseded {
		events.Log(g.set.config.Logger, events.LeaseSuperseded, "group", g.name, "term", g.right.Term(), "member",
			r.id, "held", r.status.PausedTerm, "newer", r.status.Term)
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
