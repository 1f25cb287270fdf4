// Package lease decides whether a daemon may use a group's primary, and which positions of the primary it may rely on.
//
// A right is a lease of a term. It is renewed by the answer of a replica that still receives under the term: a
// daemon that promotes another member first makes every replica stop receiving, and then waits until rights that
// were renewed before have expired or were given up. Deadlines count from when a question was sent, on a clock that
// runs while a machine is suspended. The package asks nobody and starts nothing.
package lease

import (
	"time"

	"citronusher.example/citronusher"
)

// TTL is how long a right lasts after the question that renewed it was sent.
const TTL = 1500 * time.Millisecond

// Verdict is what a member's report says about a right.
type Verdict int

const (
	// Renewed means that the right lasts until its new deadline.
	Renewed Verdict = iota
	// Inconclusive means that the report proves nothing.
	Inconclusive
	// Superseded means that another daemon moves the primary, or has moved it.
	Superseded
)

// Lease is the lease of one term at one daemon. The zero Lease is not valid.
type Lease struct {
	term     uint64
	deadline citronusher.Instant
	after    citronusher.Instant // reports that were asked for until then do not count
	closed   bool
}

// Begin makes r a right of term that a report has yet to renew.
func (r *Lease) Begin(term uint64) { *r = Lease{term: term, after: r.after} }

// Release gives the right up. Answers to questions that were sent until now renew no right any more.
func (r *Lease) Release(now citronusher.Instant) {
	r.closed = true
	r.after = max(r.after, now)
}

// Term returns the term that the right is for; 0 when there is none.
func (r *Lease) Term() uint64 { return r.term }

// Valid reports whether the primary may be used at now.
func (r *Lease) Valid(now citronusher.Instant) bool { return !r.closed && now < r.deadline }

// Closed reports whether the right can never be renewed again.
func (r *Lease) Closed() bool { return r.closed }

// Close gives the right up.
func (r *Lease) Close() { r.closed = true }

// ObserveStatus takes a replica's report that was asked for at askedAt.
func (r *Lease) ObserveStatus(status citronusher.MemberStatus, askedAt citronusher.Instant) Verdict {
	if r.closed || status.Term > r.term || status.PausedTerm > r.term {
		r.closed = true
		return Superseded
	}
	if status.Role != citronusher.RoleReplica || status.Term != r.term || r.term == 0 || askedAt <= r.after {
		return Inconclusive
	}
	r.deadline = max(r.deadline, askedAt.Add(TTL))
	return Renewed
}

// ObservePeerRenewal takes a renewal that another daemon received from a replica. askedAt is on this daemon's clock, not later
// than when that replica was asked.
func (r *Lease) ObservePeerRenewal(term uint64, askedAt citronusher.Instant) Verdict {
	if r.closed || term != r.term || r.term == 0 || askedAt <= r.after {
		return Inconclusive
	}
	r.deadline = max(r.deadline, askedAt.Add(TTL))
	return Renewed
}

// RenewalSentAt returns when the question was sent that renewed the right last; false when none has.
func (r *Lease) RenewalSentAt() (citronusher.Instant, bool) {
	return r.deadline.Add(-TTL), r.deadline != 0
}
