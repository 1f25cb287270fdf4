// Package lease decides whether a daemon may use a group's primary, and which log positions of the primary it may rely
// on.
//
// A lease is valid for one term. A daemon that promotes another member first pauses replication at every replica, and then
// waits until the leases that were renewed earlier have expired or were released. A replica that is not paused therefore
// renews a lease, with two conditions. A pause ends when the promotion takes effect, and a replica that has not heard of the
// new term then reports the old one: its status must arrive while the lease is valid. A replica that restarts forgets a
// pause: its process must have run since the previous renewal. A status that meets neither needs more proof, see Establish.
//
// Deadlines count from when the status request was sent, on a clock that also runs while the machine is suspended. The
// package does no I/O and starts no goroutines.
//
// A daemon that has no lease, or that nobody can find, is not waited for. What was requested before it could be found, or
// before it kept a lease that it could release, begins none.
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
	// Unproven means that the status is one of the proofs that Establish requires, but does not renew the lease.
	Unproven
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

// IgnoreBefore makes statuses and renewals count only if they are requested at now or later, for this lease and later ones.
func (l *Lease) IgnoreBefore(now citronusher.Instant) { l.after = max(l.after, now-1) }

// Term returns the lease's term; 0 when there is none.
func (l *Lease) Term() uint64 { return l.term }

// Valid reports whether the primary may be used at now.
func (l *Lease) Valid(now citronusher.Instant) bool { return !l.closed && now < l.deadline }

// Closed reports whether the lease was released or superseded and cannot be renewed.
func (l *Lease) Closed() bool { return l.closed }

// Close ends the lease. Only Begin makes it renewable again.
func (l *Lease) Close() { l.closed = true }

// Report is a replica's status with the times that decide what it proves.
type Report struct {
	// Status is what the replica reported.
	Status citronusher.MemberStatus
	// RequestedAt is when the status request was sent.
	RequestedAt citronusher.Instant
	// RunningSince is the time since which the replica's process is known to run.
	RunningSince citronusher.Instant
}

// ObserveReport applies a replica's report that arrived at now.
func (l *Lease) ObserveReport(r Report, now citronusher.Instant) Verdict {
	status, requestedAt := r.Status, r.RequestedAt
	if l.closed || status.Term > l.term || status.PausedTerm > l.term {
		l.closed = true
		return Superseded
	}
	if status.Role != citronusher.RoleReplica || status.Term != l.term || l.term == 0 || requestedAt <= l.after {
		return Inconclusive
	}
	if renewedAt, ok := l.RenewalSentAt(); !ok || !l.Valid(now) || r.RunningSince >= renewedAt {
		return Unproven
	}
	l.deadline = max(l.deadline, requestedAt.Add(TTL))
	return Renewed
}

// Establish begins or renews the lease by proof that no promotion had begun when a status was requested at requestedAt: the
// replica reported the term unpaused, and nobody had claimed the promotion of a successor afterwards. It reports whether the
// lease was changed.
func (l *Lease) Establish(requestedAt citronusher.Instant) bool {
	if l.closed || l.term == 0 || requestedAt <= l.after {
		return false
	}
	l.deadline = max(l.deadline, requestedAt.Add(TTL))
	return true
}

// EstablishListed is Establish for a caller that does not know whether a successor was claimed, by reports of all replicas
// on a list of members. The list was requested from the store at listedAt, the first report at requestedAt, and the last one
// arrived until now. A member that leads a newer term would have reported it, unless it was listed later. The promotion of
// such a member has paused the others since then, and waited for TTL after that, because this daemon has released no lease
// since: the reports came before.
func (l *Lease) EstablishListed(requestedAt, listedAt, now citronusher.Instant) bool {
	if listedAt <= l.after || now >= listedAt.Add(TTL) {
		return false
	}
	return l.Establish(requestedAt)
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
