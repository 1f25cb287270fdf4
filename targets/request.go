package targets

import (
	"context"
	"errors"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/promotion"
)

// requestPromotion promotes the member with the longest log and waits until it is the primary. If not every instance
// released its lease, it first waits until the leases have expired.
func (m *promotionAttempt) requestPromotion(ctx context.Context) string {
	g := m.group
	list := make([]promotion.Member, 0, len(m.paused))
	for _, r := range m.paused {
		list = append(list, promotion.Member{ID: r.id, Position: r.status.Position, Leaving: r.leaving})
	}
	candidate, ok := promotion.ChooseCandidate(list)
	if !ok {
		return "no member can be promoted"
	}
	pausedAt := g.now()
	m.released = m.releaseLeases(ctx)
	if wait := promotion.EarliestRequestAt(pausedAt, m.released).Sub(g.now()); wait > 0 {
		time.Sleep(wait)
	}
	if reason := m.checkStillPaused(); reason != "" {
		m.resumeReplication()
		return reason
	}
	if g.now() > m.requestDeadline {
		m.resumeReplication()
		return "the claim is too old to request a promotion"
	}
	return m.promote(ctx, candidate)
}

// promote sends the request for the candidate's promotion and waits until the candidate is the primary.
func (m *promotionAttempt) promote(ctx context.Context, candidate string) string {
	g := m.group
	m.requested = true
	earlier := g.setUnconfirmed(m.claimDeadline)
	m.requestedAt = g.now()
	events.Log(g.set.config.Logger, events.PromotionRequested, "group", g.name, "member", candidate, "term", m.term,
		"token", m.claim.Token)
	err := g.set.config.Promoter.Promote(ctx, m.requestDeadline, g.name, candidate, m.claim)
	notRun := errors.Is(err, citronusher.ErrNotRun)
	if err != nil {
		events.Log(g.set.config.Logger, events.PromotionUnconfirmed, "group", g.name, "member", candidate, "token", m.claim.Token,
			"age", m.requestAge(), "run", !notRun, "error", err)
	}
	if notRun {
		m.requested = false
		g.setUnconfirmed(earlier)
	}
	if err != nil {
		return "the promotion of " + candidate + " was not confirmed: " + err.Error()
	}
	g.set.config.Meter.Promotions().Inc(1)
	events.Log(g.set.config.Logger, events.PromotionAccepted, "group", g.name, "member", candidate, "token", m.claim.Token,
		"age", m.requestAge())
	return m.awaitPrimary(ctx, candidate)
}

// requestAge returns the time since the promotion was requested, in milliseconds.
func (m *promotionAttempt) requestAge() int64 { return m.group.now().Sub(m.requestedAt).Milliseconds() }

// adoptPromoted adopts the promoted member. While the claim lasts, nobody else can replace it.
func (m *promotionAttempt) adoptPromoted() {
	g := m.group
	replies := g.queryUp(requestStatus)
	if g.now() < m.claimDeadline {
		g.adoptWith(replies, claimFree)
		return
	}
	g.adopt(replies)
}

// awaitPrimary waits until the promoted member is the primary and adopts it.
func (m *promotionAttempt) awaitPrimary(ctx context.Context, candidate string) string {
	g := m.group
	g.mu.Lock()
	g.lease.Close()
	next := g.members[candidate]
	g.mu.Unlock()
	for next != nil && ctx.Err() == nil {
		time.Sleep(promotedCheckInterval)
		r := g.query(next, memberTimeout, requestStatus)
		if r.err == nil && r.status.Role == citronusher.RolePrimary {
			g.setUnconfirmed(0)
			events.Log(g.set.config.Logger, events.Promoted, "group", g.name, "member", candidate, "term", r.status.Term,
				"token", m.claim.Token, "age", m.requestAge())
			m.adoptPromoted()
			m.demoteOld(r.status.Term)
			m.awaitLease(ctx)
			return ""
		}
	}
	return "member " + candidate + " has not become the primary yet"
}

// awaitLease adopts the promoted member again until a replica has reported its term, which begins a lease. After the claim
// that would need the reports of all replicas, and one of them may be down.
func (m *promotionAttempt) awaitLease(ctx context.Context) {
	g := m.group
	for !g.Ready() && g.now() < m.claimDeadline && ctx.Err() == nil {
		time.Sleep(promotedCheckInterval)
		m.adoptPromoted()
	}
}

// demoteOld demotes the old primary, if it is reachable, so that it follows the new one at once.
func (m *promotionAttempt) demoteOld(term uint64) {
	g := m.group
	g.mu.Lock()
	old := g.members[m.primary]
	reachable := old != nil && m.primary != g.primary && g.now() >= old.downUntil
	g.mu.Unlock()
	if reachable {
		g.query(old, memberTimeout, func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
			return c.link.Demote(deadline, term)
		})
	}
}
