// Package promotion decides how a group's primary is replaced: who may do it, when, and which member follows.
//
// One daemon at a time holds the claim on a group, a row that the platform's store changes only under a condition.
// The claim's token rises with each claim. The holder stops every replica from receiving, so that no right to use
// the old primary is renewed any more, asks every daemon to give its right up, waits until the rights of those that
// did not answer have expired, and orders the promotion in the first part of its claim, so that the order has taken
// effect before anyone else can claim. The package asks nobody and starts nothing.
package promotion

import (
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
)

const (
	// ClaimTTL is how long a claim keeps other daemons from claiming.
	ClaimTTL = 4 * time.Second
	// orderSpan is how long after the claim's request was sent the promotion may be ordered.
	orderSpan = 2200 * time.Millisecond
	// effectLeast is how long the platform takes at least from an order to its effect.
	effectLeast = 300 * time.Millisecond
	// refusedPatience is how long a primary whose machine refuses connections is waited for.
	refusedPatience = 50 * time.Millisecond
	// silentPatience is how long a primary that does not answer is waited for, after its probe failed.
	silentPatience = 100 * time.Millisecond
	// unknownPatience is how long a primary is looked for when none is known.
	unknownPatience = 700 * time.Millisecond
)

// Outage is what a daemon knows of a primary that it cannot use.
type Outage struct {
	// DetectedAt is when it was first found lost; 0 when it is not.
	DetectedAt citronusher.Instant
	// Refused is set when its machine refuses connections.
	Refused bool
	// PrimaryKnown is set when a primary was known before.
	PrimaryKnown bool
}

// ShouldPromote reports whether the loss has lasted long enough to replace the primary.
func (l Outage) ShouldPromote(now citronusher.Instant) bool {
	patience := silentPatience
	switch {
	case l.DetectedAt == 0:
		return false
	case !l.PrimaryKnown:
		patience = unknownPatience
	case l.Refused:
		patience = refusedPatience
	}
	return now >= l.DetectedAt.Add(patience)
}

// Claimable reports whether self may replace a claim.
func Claimable(claim citronusher.Claim, self string) bool {
	return claim.Holder == self || claim.EndMillis <= claim.StoreMillis
}

// NextClaim returns the claim of self that may follow one that was read.
func NextClaim(read citronusher.Claim, self string) citronusher.Claim {
	return citronusher.Claim{Holder: self, EndMillis: read.StoreMillis + ClaimTTL.Milliseconds()}
}

// RequestDeadline returns until when the holder of a claim whose reading was asked for at askedAt may order a promotion.
func RequestDeadline(askedAt citronusher.Instant) citronusher.Instant { return askedAt.Add(orderSpan) }

// EarliestRequestAt returns from when a promotion may be ordered after the last replica stopped receiving at heldAt: at once
// when every daemon has given its right up, and otherwise so late that at its effect every right that was renewed
// before has expired.
func EarliestRequestAt(heldAt citronusher.Instant, yielded bool) citronusher.Instant {
	if yielded {
		return heldAt
	}
	return heldAt.Add(lease.TTL - effectLeast)
}

// Member is a member that stopped receiving.
type Member struct {
	// ID names the member.
	ID string
	// Position is the end of the log that it received.
	Position citronusher.Position
	// Leaving is set for a member that takes no new work.
	Leaving bool
}

// ChooseCandidate returns the member that follows: the one that received most, of those that stay unless all leave.
func ChooseCandidate(members []Member) (string, bool) {
	var best *Member
	for i := range members {
		m := &members[i]
		switch {
		case best == nil, best.Leaving && !m.Leaving:
			best = m
		case m.Leaving && !best.Leaving:
		case best.Position.Less(m.Position), m.Position == best.Position && m.ID < best.ID:
			best = m
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}
