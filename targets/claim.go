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
	era, now := g.set.config.Store.Era(), g.now()
	if claimableAt := promotion.ClaimableAt(read, era, g.set.holder, now); claimableAt > now {
		return m.deferClaim(read, era, claimableAt.Sub(now))
	}
	next := promotion.NextClaim(read, era, g.set.holder, m.term)
	if next.Term > m.term {
		m.term, m.primary = next.Term, "" // a primary that this instance does not know
	}
	if m.claim, err = g.set.config.Store.WriteClaim(ctx, g.name, read.Version, next); err != nil {
		return "the claim could not be written: " + err.Error()
	}
	m.requestDeadline, m.claimDeadline = promotion.RequestDeadline(sentAt), promotion.ClaimDeadline(sentAt)
	m.wasFree = promotion.Unclaimed(read, era, m.term)
	listedAt := g.now()
	members, err := g.set.config.Store.Members(ctx)
	if err != nil {
		return "the members could not be read: " + err.Error()
	}
	g.set.SetMembers(members, listedAt)
	return ""
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

// disclaim records in the claim that no promotion was requested under it, so that it does not keep daemons from establishing
// leases on the primary. It does nothing if a promotion may have been requested, under this claim or an earlier one.
func (m *promotionAttempt) disclaim() {
	if m.requested || !m.wasFree || m.claim.Version == 0 {
		return
	}
	g := m.group
	ctx, cancel := context.WithTimeout(g.set.ctx, disclaimTimeout)
	defer cancel()
	claim := m.claim
	claim.Phase = citronusher.ClaimFree
	if _, err := g.set.config.Store.WriteClaim(ctx, g.name, m.claim.Version, claim); err != nil {
		events.Log(g.set.config.Logger, events.PlatformUnavailable, "part", "claims", "error", err)
	}
}

// setUnconfirmed sets until when a promotion that this instance requested may take effect, and returns the earlier value.
func (g *Group) setUnconfirmed(until citronusher.Instant) citronusher.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	earlier := g.unconfirmedUntil
	g.unconfirmedUntil = until
	return earlier
}
