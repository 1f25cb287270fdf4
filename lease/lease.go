// Package lease decides whether a daemon may use a group's primary, and which log positions of the primary it may rely
// on.
//
// A lease is valid for one term. It is renewed by the status of a replica that still replicates under that term. A daemon
// that promotes another member first pauses replication at every replica, and then waits until the leases that were
// renewed earlier have expired or were released. Deadlines count from when the status request was sent, on a clock that
// also runs while the machine is suspended. The package does no I/O and starts no goroutines.
package lease

import (
	"time"

	"citronusher.example/citronusher"
)

// TTL is how long a lease is valid after the request that renewed it was sent.
const TTL = 1500 * time.Millisecond

// Verdict is the effect of a member's status on a lease.
type Verdict int

const (
	// Renewed means that the lease is valid until its new deadline.
	Renewed Verdict = iota
	// Inconclusive means that the status neither renews nor ends the lease.
	Inconclusive
	// Superseded means that another daemon promotes a member, or has promoted one.
	Superseded
)

// Lease is one daemon's permission to use the primary of one term until a deadline. The zero Lease is not valid.
type Lease struct {
	term     uint64
	deadline citronusher.Instant
	after    citronusher.Instant // statuses requested until then do not renew the lease
	closed   bool
}

// Begin resets l to a lease of term that is not valid until a status renews it.
func (l *Lease) Begin(term uint64) { *l = Lease{term: term, after: l.after} }

// Release ends the lease. Statuses requested until now no longer renew this lease or a later one.
func (l *Lease) Release(now citronusher.Instant) {
	l.closed = true
	l.after = max(l.after, now)
}

// Term returns the lease's term; 0 when there is none.
func (l *Lease) Term() uint64 { return l.term }

// Valid reports whether the primary may be used at now.
func (l *Lease) Valid(now citronusher.Instant) bool { return !l.closed && now < l.deadline }

// Closed reports whether the lease was released or superseded and cannot be renewed.
func (l *Lease) Closed() bool { return l.closed }

// Close ends the lease. Only Begin makes it renewable again.
func (l *Lease) Close() { l.closed = true }

// ObserveStatus applies a replica's status that was requested at requestedAt.
func (l *Lease) ObserveStatus(status citronusher.MemberStatus, requestedAt citronusher.Instant) Verdict {
	if l.closed || status.Term > l.term || status.PausedTerm > l.term {
		l.closed = true
		return Superseded
	}
	if status.Role != citronusher.RoleReplica || status.Term != l.term || l.term == 0 || requestedAt <= l.after {
		return Inconclusive
	}
	l.deadline = max(l.deadline, requestedAt.Add(TTL))
	return Renewed
}

// ObservePeerRenewal applies a renewal that another daemon received from a replica. requestedAt is on this
// daemon's clock and not later than that daemon's request to the replica.
func (l *Lease) ObservePeerRenewal(term uint64, requestedAt citronusher.Instant) Verdict {
	if l.closed || term != l.term || l.term == 0 || requestedAt <= l.after {
		return Inconclusive
	}
	l.deadline = max(l.deadline, requestedAt.Add(TTL))
	return Renewed
}

// RenewalSentAt returns when the request that last renewed the lease was sent; false when it was never renewed.
func (l *Lease) RenewalSentAt() (citronusher.Instant, bool) {
	return l.deadline.Add(-TTL), l.deadline != 0
}
