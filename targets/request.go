package targets

import (
	"context"
	"errors"
	"slices"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/promotion"
)

// requestPromotion promotes a member and waits until it is the primary. If not every instance released its lease, it
// first waits until the leases have expired. It reads the members after replication was paused: one that is not listed then
// can renew only leases that a paused replica would have to renew first.
func (m *promotionAttempt) requestPromotion(ctx context.Context) string {
	g := m.group
	pausedAt := g.now()
	if reason := m.listMembers(ctx); reason != "" {
		m.resumeReplication()
		return reason
	}
	m.released = m.releaseLeases(ctx)
	if wait := promotion.EarliestRequestAt(pausedAt, m.released).Sub(g.now()); wait > 0 {
		time.Sleep(wait)
	}
	if reason := m.checkUnchanged(); reason != "" {
		m.resumeReplication()
		return reason
	}
	for {
		candidate, ok := m.chooseCandidate()
		if !ok {
			return "no member can be promoted"
		}
		if reason := m.markRequest(ctx, candidate); reason != "" {
			m.resumeReplication()
			return reason
		}
		if reason := m.checkUnchanged(); reason != "" {
			return reason // an earlier request took effect before the mark kept daemons from using its member
		}
		err := m.sendRequest(ctx, candidate.ID)
		if err == nil {
			return m.awaitPrimary(ctx, candidate.ID)
		}
		if m.unrequested || !errors.Is(err, citronusher.ErrConflict) {
			return "the promotion of " + candidate.ID + " was not confirmed: " + err.Error()
		}
		m.refused = append(m.refused, candidate.ID)
	}
}

// chooseCandidate returns the paused member to promote: the one whose promotion may take effect already, so that an
// earlier request changes nothing when it is performed late, and otherwise the one with the longest log. A member that has
// less of its log than when its promotion was requested has started again without it.
func (m *promotionAttempt) chooseCandidate() (citronusher.Candidate, bool) {
	list := make([]promotion.Member, 0, len(m.paused))
	requested := m.claim.Candidate
	for _, r := range m.paused {
		if slices.Contains(m.refused, r.id) {
			continue
		}
		if r.id == requested.ID && !r.status.Position.Less(requested.Position) {
			return requested, true
		}
		list = append(list, promotion.Member{ID: r.id, Position: r.status.Position, Leaving: r.leaving})
	}
	id, ok := promotion.ChooseCandidate(list)
	i := slices.IndexFunc(list, func(member promotion.Member) bool { return member.ID == id })
	if !ok {
		return citronusher.Candidate{}, false
	}
	return citronusher.Candidate{ID: id, Position: list[i].Position}, true
}

// sendRequest requests the candidate's promotion. Its errors are those of Promote.
func (m *promotionAttempt) sendRequest(ctx context.Context, candidate string) error {
	g := m.group
	m.requested, m.requestedAt = true, g.now()
	events.Log(g.set.config.Logger, events.PromotionRequested, "group", g.name, "member", candidate, "term", m.term,
		"token", m.claim.Token, "again", m.found.Phase == citronusher.ClaimRequested)
	err := g.set.config.Promoter.Promote(ctx, m.requestDeadline, g.name, candidate, m.claim)
	m.requested = !errors.Is(err, citronusher.ErrNotRun)
	if err != nil {
		events.Log(g.set.config.Logger, events.PromotionUnconfirmed, "group", g.name, "member", candidate, "token", m.claim.Token,
			"age", m.requestAge(), "run", m.requested, "error", err)
		if m.requested {
			m.nextDelay = unconfirmedDelay
		}
		return err
	}
	g.set.config.Meter.Promotions().Inc(1)
	events.Log(g.set.config.Logger, events.PromotionAccepted, "group", g.name, "member", candidate, "token", m.claim.Token,
		"age", m.requestAge())
	return nil
}

// requestAge returns the time since the promotion was requested, in milliseconds.
func (m *promotionAttempt) requestAge() int64 { return m.group.now().Sub(m.requestedAt).Milliseconds() }

// adoptPromoted adopts the promoted member. While the claim lasts, nobody else can replace it. Another member that leads a
// later term follows from an earlier request, so that the one for the promoted member may still take effect.
func (m *promotionAttempt) adoptPromoted() {
	g := m.group
	replies := g.queryUp(requestStatus)
	found := reportedPrimary(replies)
	if found != nil && found.id == m.claim.Candidate.ID && g.now() < m.claimDeadline {
		g.adoptWith(replies, evidence{claim: claimFree})
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

// awaitLease adopts the promoted member again until a replica has reported its term, which begins a lease. After the
// claim that would need the reports of all replicas, and one of them may be down.
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
