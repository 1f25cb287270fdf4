package targets

import (
	"cmp"
	"context"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/promotion"
)

const (
	promotionTimeout        = 4 * time.Second         // timeout of a whole promotion
	catchUpTimeout          = 400 * time.Millisecond  // timeout for a replica to receive the whole log of a demoted primary
	catchUpInterval         = 15 * time.Millisecond   // between two checks whether a replica has caught up
	promotedCheckInterval   = 40 * time.Millisecond   // between two checks whether the promoted member is the primary
	promotionDelay          = 300 * time.Millisecond  // delay of the next promotion after one ended
	claimedDelay            = 1 * time.Second         // the same, if another instance holds the claim
	unconfirmedDelay        = 1 * time.Second         // the same, if a request was not answered: it may still take effect
	expectedOutage          = 1800 * time.Millisecond // time in which an unavailable primary is usually replaced
	replicationCheckWindow  = 150 * time.Millisecond  // in which advancing replicas prove that the primary is running
	replicationCheckTimeout = 1500 * time.Millisecond // outage after which the replicas' progress is not checked
	// nonHomeDelay is how long an instance that is not a home leaves promotions to the homes.
	nonHomeDelay = 2500 * time.Millisecond
)

// promotionAttempt is one attempt to promote a member. It is planned if the primary is leaving, and otherwise follows
// an outage of the primary.
type promotionAttempt struct {
	group           *Group
	planned         bool
	primary         string // member that is replaced; empty if no primary is known
	term            uint64 // highest term reported by any member when the attempt began
	claim           citronusher.Claim
	members         memberList          // the members, read after the claim was written
	found           citronusher.Claim   // the claim before this attempt marked a request in it
	claimReadAt     citronusher.Instant // when the request was sent from which the claim's end counts
	claimDeadline   citronusher.Instant // until when nobody else can claim the group
	unrequested     bool                // no promotion may take effect that was requested before this attempt
	requested       bool                // a promotion that this attempt requested may take effect
	requestDeadline citronusher.Instant // until when the promotion may be requested
	requestedAt     citronusher.Instant // when the promotion was requested last
	replies         []memberReply       // the members' replies at the beginning
	paused          []memberReply       // replies of the replicas whose replication is paused
	refused         []string            // members that the platform refused to promote
	released        bool                // every instance has released its lease
	nextDelay       time.Duration       // delay before this instance begins another attempt
	plannedWait     time.Duration       // delay before this instance begins another planned attempt
	claimWait       time.Duration       // until a claim that the store may have lost has ended
	claimedByOther  bool                // another instance holds the claim, or has held one that the store may have lost
}

// promoteIfNeeded begins a promotion if the primary is leaving or has been unavailable for long enough. The caller
// holds mu.
func (g *Group) promoteIfNeeded(now citronusher.Instant) {
	if g.promoting || now < g.earliestPromotionAt || len(g.members) < 2 { //nolint:mnd // a primary and a replica
		return
	}
	if !g.set.registered.Load() {
		return // it could not use the new primary, and its own view shows no outage
	}
	primary := g.members[g.primary]
	outage := promotion.Outage{
		DetectedAt: g.unavailableSince, Refused: g.connectionRefused, PrimaryKnown: primary != nil && !g.lease.Closed(),
	}
	if !g.home && now < outage.DetectedAt.Add(nonHomeDelay) {
		return
	}
	planned := primary != nil && primary.report.Leaving && !g.lease.Closed() && g.lease.Valid(now) && now >= g.earliestPlannedAt
	if !planned && !outage.ShouldPromote(now) {
		return
	}
	g.promoting = true
	g.background(g.newAttempt(planned).run)
}

// newAttempt returns an attempt to replace the primary of the highest term that any member has reported. The primary of an
// earlier term is a replica, whose replication has to be paused. The caller holds mu.
func (g *Group) newAttempt(planned bool) *promotionAttempt {
	m := &promotionAttempt{
		group: g, planned: planned, term: max(g.lease.Term(), g.highestTerm), nextDelay: promotionDelay,
	}
	if g.lease.Term() == m.term {
		m.primary = g.primary
	}
	return m
}

// run carries out the promotion, at most for promotionTimeout, and logs the reason if it is abandoned.
func (m *promotionAttempt) run() {
	g := m.group
	ctx, cancel := context.WithTimeout(g.set.ctx, promotionTimeout)
	defer cancel()
	reason := m.try(ctx)
	m.disclaim()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoting = false
	g.earliestPromotionAt = g.now().Add(m.nextDelay)
	g.earliestPlannedAt = g.now().Add(m.plannedWait)
	if !m.claimedByOther {
		g.expectedBackAt = g.now().Add(m.claimWait + expectedOutage)
	}
	g.discoveredAt = 0
	if reason != "" {
		events.Log(g.set.config.Logger, events.PromotionAbandoned, "group", g.name, "primary", m.primary, "term", m.term,
			"planned", m.planned, "reason", reason)
	}
	g.set.config.RefreshMembers()
	g.wakeLoop()
}

// try performs the steps of the promotion. It returns the reason for abandoning it, or "" when it succeeded. So do the
// methods for the steps.
func (m *promotionAttempt) try(ctx context.Context) string {
	if reason := m.claimGroup(ctx); reason != "" {
		return reason
	}
	if reason := m.verifyOutage(); reason != "" {
		return reason
	}
	events.Log(m.group.set.config.Logger, events.Promoting, "group", m.group.name, "primary", m.primary, "term", m.term,
		"planned", m.planned, "token", m.claim.Token, "era", m.group.set.config.Store.Era().Number)
	switch {
	case m.claim.Phase == citronusher.ClaimRequested:
		m.demotePrimary() // it may have the longest log of those that can be promoted
	case m.planned:
		m.stepDown()
	}
	m.demoteSuperseded()
	if reason := m.pauseReplication(); reason != "" {
		m.resumeReplication()
		return reason
	}
	return m.requestPromotion(ctx)
}

// verifyOutage verifies that no newer term exists and, unless the promotion is planned, that the primary is really down
// rather than unreachable from this instance only.
func (m *promotionAttempt) verifyOutage() string {
	g := m.group
	replies := g.queryAll(requestStatus)
	m.replies = replies
	newest, isPrimary := m.newestTerm(replies)
	if newest > m.term {
		g.adopt(replies)
		return "a member reports a newer term"
	}
	if m.claim.Phase == citronusher.ClaimRequested {
		m.primary = cmp.Or(m.primary, primaryOf(replies, m.term))
		return "" // the primary may be replaced at any time, although it answers
	}
	if m.planned {
		return ""
	}
	if isPrimary {
		m.resumeUnfinished(replies)
		return "the primary answers"
	}
	if m.primary == "" && anyBusy(replies) {
		return "a member that was too busy to answer may be the primary"
	}
	g.mu.Lock()
	skipCheck := g.connectionRefused || g.now() > g.unavailableSince.Add(replicationCheckTimeout)
	g.mu.Unlock()
	if skipCheck {
		return ""
	}
	before := latestReplicaPosition(replies)
	time.Sleep(replicationCheckWindow)
	if before.Less(latestReplicaPosition(g.queryAll(requestStatus))) {
		return "the replicas' log advances: the primary is running but not reachable from this instance"
	}
	return ""
}

// resumeUnfinished resumes replication at members that an unfinished earlier promotion paused, and adopts the primary,
// which has kept its role. Only the holder of the claim may do so, because no request of another instance is in progress
// then.
func (m *promotionAttempt) resumeUnfinished(replies []memberReply) {
	if !m.mayResume() {
		return
	}
	for _, r := range replies {
		if r.err == nil && r.status.PausedTerm > m.term {
			m.paused = append(m.paused, r)
		}
	}
	if len(m.paused) > 0 {
		m.resumeReplication()
		replies = m.group.queryAll(requestStatus)
	}
	if m.group.now() >= m.claimDeadline {
		m.group.adopt(replies) // another holder may have replaced the primary
		return
	}
	found := evidence{claim: claimUnknown, members: m.members} // the store may have lost a claim
	if m.unrequested {
		found.claim = claimFree
	}
	if m.group.adoptWith(replies, found) {
		m.unrequested = m.unrequested || m.group.Ready()
	}
}

// newestTerm returns the highest term in replies and whether a member reports to be the primary of m.term or a later
// term, and has its log.
func (m *promotionAttempt) newestTerm(replies []memberReply) (term uint64, isPrimary bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for _, r := range replies {
		if r.err != nil {
			continue
		}
		term = max(term, r.status.Term)
		if r.status.Role == citronusher.RolePrimary && r.status.Term >= m.term && !m.group.lacksLog(r) {
			isPrimary = true
		}
	}
	return term, isPrimary
}

// primaryOf returns the member that reports to be the primary of the term; "" without one.
func primaryOf(replies []memberReply, term uint64) string {
	for _, r := range replies {
		if r.err == nil && r.status.Role == citronusher.RolePrimary && r.status.Term == term {
			return r.id
		}
	}
	return ""
}

func latestReplicaPosition(replies []memberReply) citronusher.Position {
	var position citronusher.Position
	for _, r := range replies {
		if r.err == nil && r.status.Role == citronusher.RoleReplica {
			position = position.Max(r.status.Position)
		}
	}
	return position
}

// demotePrimary demotes the primary to a replica and returns its reply; the zero reply if the primary is no member.
func (m *promotionAttempt) demotePrimary() memberReply {
	g := m.group
	g.mu.Lock()
	primary := g.members[m.primary]
	g.mu.Unlock()
	if primary == nil {
		return memberReply{}
	}
	return g.query(primary, memberTimeout, func(
		c *pooledConn, deadline citronusher.Instant,
	) (citronusher.MemberStatus, error) {
		return c.link.Demote(deadline, m.term+1)
	})
}

// stepDown demotes a leaving primary to a replica and waits up to catchUpTimeout until a member that stays has received
// all of its log. If the demotion fails, the promotion continues as for a primary that is down.
func (m *promotionAttempt) stepDown() {
	g := m.group
	demoted := m.demotePrimary()
	if demoted.member == nil || demoted.err != nil {
		return
	}
	catchUpDeadline := g.now().Add(catchUpTimeout)
	for g.now() < catchUpDeadline {
		for _, r := range g.queryAll(requestStatus) {
			if r.err == nil && r.member != demoted.member && !r.leaving && !r.status.Position.Less(demoted.status.Position) {
				return
			}
		}
		time.Sleep(catchUpInterval)
	}
}
