// Package right decides whether a daemon may use a group's primary, and which positions of the primary it may rely on.
//
// A right is a lease of a term. It is renewed by the answer of a replica that still receives under the term: a
// daemon that promotes another member first makes every replica stop receiving, and then waits until rights that
// were renewed before have expired or were given up. Deadlines count from when a question was sent, on a clock that
// runs while a machine is suspended. The package asks nobody and starts nothing.
package right

import (
	"time"

	"citronusher.example/citronusher"
)

// Span is how long a right lasts after the question that renewed it was sent.
const Span = 1500 * time.Millisecond

// Verdict is what a member's report says about a right.
type Verdict int

const (
	// Renewed means that the right lasts until its new deadline.
	Renewed Verdict = iota
	// Silent means that the report proves nothing.
	Silent
	// Superseded means that another daemon moves the primary, or has moved it.
	Superseded
)

// Right is the lease of one term at one daemon. The zero Right is not valid.
type Right struct {
	term     uint64
	deadline citronusher.Instant
	after    citronusher.Instant // reports that were asked for until then do not count
	closed   bool
}

// Begin makes r a right of term that a report has yet to renew.
func (r *Right) Begin(term uint64) { *r = Right{term: term, after: r.after} }

// Yield gives the right up. Answers to questions that were sent until now renew no right any more.
func (r *Right) Yield(now citronusher.Instant) {
	r.closed = true
	r.after = max(r.after, now)
}

// Term returns the term that the right is for; 0 when there is none.
func (r *Right) Term() uint64 { return r.term }

// Valid reports whether the primary may be used at now.
func (r *Right) Valid(now citronusher.Instant) bool { return !r.closed && now < r.deadline }

// Closed reports whether the right can never be renewed again.
func (r *Right) Closed() bool { return r.closed }

// Close gives the right up.
func (r *Right) Close() { r.closed = true }

// Report takes a replica's report that was asked for at askedAt.
func (r *Right) Report(status citronusher.MemberStatus, askedAt citronusher.Instant) Verdict {
	if r.closed || status.Term > r.term || status.Held > r.term {
		r.closed = true
		return Superseded
	}
	if status.Role != citronusher.RoleReplica || status.Term != r.term || r.term == 0 || askedAt <= r.after {
		return Silent
	}
	r.deadline = max(r.deadline, askedAt.Add(Span))
	return Renewed
}

// Share takes a renewal that another daemon received from a replica. askedAt is on this daemon's clock, not later
// than when that replica was asked.
func (r *Right) Share(term uint64, askedAt citronusher.Instant) Verdict {
	if r.closed || term != r.term || r.term == 0 || askedAt <= r.after {
		return Silent
	}
	r.deadline = max(r.deadline, askedAt.Add(Span))
	return Renewed
}

// AskedAt returns when the question was sent that renewed the right last; false when none has.
func (r *Right) AskedAt() (citronusher.Instant, bool) {
	return r.deadline.Add(-Span), r.deadline != 0
}
