// Package promotion decides how a group's primary is replaced: which daemon may do it, when, and which member is promoted.
//
// One daemon at a time holds the claim on a group, a row in the platform's store that is written conditionally. The
// claim's token increases with each write. When the store has returned from an older copy, claims may be lost; daemons
// then wait until every lost claim has ended. The holder pauses replication at every replica, so that no lease on the
// old primary is renewed any more, asks every daemon to release its lease, and waits until the leases of the daemons
// that did not respond have expired. It shows in the claim which member's promotion it requests before it does: the
// promotion may take effect at any later time, so that later holders request that of the same member. The package does
// no I/O and starts no goroutines.
package promotion

import (
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
)

const (
	// refusedDelay is how long an outage must last when the primary's machine refuses connections.
	refusedDelay = 50 * time.Millisecond
	// unresponsiveDelay is how long an outage must last, after the first failed probe, when the primary does not respond.
	unresponsiveDelay = 100 * time.Millisecond
	// discoveryTimeout is how long a primary is searched for when none was known.
	discoveryTimeout = 700 * time.Millisecond
)

// Outage describes a group whose primary the daemon cannot use or does not know.
type Outage struct {
	// DetectedAt is when the outage was first detected; 0 when there is none.
	DetectedAt citronusher.Instant
	// Refused is set when the primary's machine refuses connections.
	Refused bool
	// PrimaryKnown is set when a primary was known before the outage.
	PrimaryKnown bool
}

// ShouldPromote reports whether the outage has lasted long enough for a promotion.
func (o Outage) ShouldPromote(now citronusher.Instant) bool {
	delay := unresponsiveDelay
	switch {
	case o.DetectedAt == 0:
		return false
	case !o.PrimaryKnown:
		delay = discoveryTimeout
	case o.Refused:
		delay = refusedDelay
	}
	return now >= o.DetectedAt.Add(delay)
}

// EarliestRequestAt returns the earliest time at which a promotion may be requested when the last replica paused
// replication at pausedAt: at once when every daemon has released its lease, and otherwise when every lease that was
// renewed before has expired. The promotion may take effect as soon as it is requested.
func EarliestRequestAt(pausedAt citronusher.Instant, released bool) citronusher.Instant {
	if released {
		return pausedAt
	}
	return pausedAt.Add(lease.TTL)
}

// Member is a member whose replication is paused.
type Member struct {
	// ID names the member.
	ID string
	// Position is the end of its log.
	Position citronusher.Position
	// Leaving is set for a member that accepts no new work.
	Leaving bool
}

// ChooseCandidate returns the ID of the member to promote: the one with the latest position, ties broken by the lower ID.
// Leaving members are considered only when all members are leaving. It returns false when members is empty.
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
