package targets

import (
	"context"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/promotion"
)

// disclaimTimeout is the timeout of freeing a claim. It does not depend on how much of the attempt's time is left.
const disclaimTimeout = 1 * time.Second

// claimGroup writes this instance's claim on the group to the store, which excludes promotions by others, and reads the
// members.
func (m *promotionAttempt) claimGroup(ctx context.Context) string {
	g := m.group
	sentAt := g.now()
	read, err := g.set.config.Store.ReadClaim(ctx, g.name)
	if err != nil {
		return "the claim could not be read: " + err.Error()
	}
	replaced := promotion.Primary{Term: m.term, ID: m.primary}
	if wait := promotion.PlannedWait(read, replaced); m.planned && wait > 0 {
		return m.deferPlanned(wait)
	}
	era, now := g.set.config.Store.Era(), g.now()
	if claimableAt := promotion.ClaimableAt(read, era, g.set.holder, now); claimableAt > now {
		return m.deferClaim(read, era, claimableAt.Sub(now))
	}
	next := promotion.NextClaim(read, era, g.set.holder, replaced)
	m.identifyPrimary(read, next.Term)
	if m.claim, err = g.set.config.Store.WriteClaim(ctx, g.name, read.Version, next); err != nil {
		return "the claim could not be written: " + err.Error()
	}
	m.found = m.claim
	m.claimReadAt = sentAt
	m.requestDeadline, m.claimDeadline = promotion.RequestDeadline(sentAt), promotion.ClaimDeadline(sentAt)
	m.unrequested = promotion.Unrequested(read, era, replaced)
	return m.listMembers(ctx)
}

// listMembers reads the members from the store and applies them.
func (m *promotionAttempt) listMembers(ctx context.Context) string {
	var err error
	if m.members, err = m.group.readMembers(ctx); err != nil {
		return "the members could not be read: " + err.Error()
	}
	return ""
}

// identifyPrimary sets the term that is replaced and, as far as this instance or the claim that was read knows it, the
// primary of that term.
func (m *promotionAttempt) identifyPrimary(read citronusher.Claim, term uint64) {
	m.term = term
	m.group.mu.Lock()
	adopted := m.group.lease.Term()
	m.group.mu.Unlock()
	switch {
	case adopted == term:
	case read.Phase == citronusher.ClaimRequested && read.Term+1 == term:
		m.primary = read.Candidate.ID
	default:
		m.primary = ""
	}
}

// deferClaim sets when the group's claim is tried again, as it cannot be replaced within wait, and returns the reason.
func (m *promotionAttempt) deferClaim(read citronusher.Claim, era citronusher.StoreEra, wait time.Duration) string {
	if read.Era == era.Number {
		m.nextDelay, m.claimedByOther = claimedDelay, true
		return "another instance holds the claim: " + read.Holder
	}
	m.group.mu.Lock()
	m.claimedByOther = m.group.lease.Closed() // the lease was released or superseded: a promotion has begun
	m.group.mu.Unlock()
	m.claimWait, m.nextDelay = wait, wait
	return "a claim that the store may have lost is valid for up to " + wait.Round(time.Millisecond).String()
}

// deferPlanned sets when the planned promotion is tried again, and returns the reason. One that follows an outage does not
// wait.
func (m *promotionAttempt) deferPlanned(wait time.Duration) string {
	m.nextDelay, m.plannedWait = 0, wait
	return "an earlier request may promote the leaving primary again for up to " + wait.Round(time.Millisecond).String()
}

// markRequest shows in the claim that the candidate's promotion may have been requested, before it is. Without an
// answer nothing is requested: the mark may come too late, when another instance has replaced the claim.
func (m *promotionAttempt) markRequest(ctx context.Context, candidate citronusher.Candidate) string {
	sentAt := m.group.now()
	if sentAt > m.requestDeadline {
		return "the claim is too old to request a promotion"
	}
	next := promotion.RequestedClaim(m.claim, candidate, sentAt.Sub(m.claimReadAt))
	marked, err := m.group.set.config.Store.WriteClaim(ctx, m.group.name, m.claim.Version, next)
	if err != nil {
		return "the request could not be shown in the claim: " + err.Error()
	}
	m.claim, m.claimReadAt, m.claimDeadline = marked, sentAt, promotion.ClaimDeadline(sentAt)
	return ""
}

// disclaim removes from the claim what this attempt has not done: it is free again if no promotion may take effect that
// was requested under it or before, so that it does not keep daemons from establishing leases on the primary. It does
// nothing if this attempt may have requested a promotion.
func (m *promotionAttempt) disclaim() {
	left := promotion.FreedClaim(m.claim)
	if !m.unrequested {
		left.Phase, left.Candidate = m.found.Phase, m.found.Candidate
	}
	left.Repeated = m.found.Repeated
	if m.requested || left == m.claim {
		return
	}
	g := m.group
	ctx, cancel := context.WithTimeout(g.set.ctx, disclaimTimeout)
	defer cancel()
	if _, err := g.set.config.Store.WriteClaim(ctx, g.name, m.claim.Version, left); err != nil {
		events.Log(g.set.config.Logger, events.PlatformUnavailable, "part", "claims", "error", err)
	}
}
