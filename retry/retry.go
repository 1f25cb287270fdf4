// Package retry decides whether and when a failed request is sent again.
//
// It sends nothing; the caller passes the time and the random source.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/profile"
)

const (
	baseDelay = 5 * time.Millisecond
	maxDelay  = 500 * time.Millisecond

	earnPerRequest = 0.1 // retries earned by each request
	maxTokens      = 20.0
)

// Budget bounds the retries of one database to a share of its requests. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Deposit counts a request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+earnPerRequest)
}

// Withdraw takes one retry and reports whether the budget had it.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Delay returns a full-jitter exponential backoff before the attempt'th retry, which counts from 0.
func Delay(attempt int, random *rand.Rand) time.Duration {
	ceiling := maxDelay
	if attempt < 7 {
		ceiling = min(maxDelay, baseDelay<<attempt)
	}
	return time.Duration(random.Int64N(int64(ceiling)))
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Failure is how it ended.
	Failure *citronusher.Failure
	// Repeat is the profile's rule.
	Repeat profile.RetryPolicy
	// Marked is true when a marker makes a repeat harmless.
	Marked bool
	// Streamed is true once rows went to the caller.
	Streamed bool
	// Pinned is true when the request belongs to an open transaction.
	Pinned bool
	// RetryAt is when the next attempt could start.
	RetryAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// final holds the reasons that another attempt cannot change.
var final = map[citronusher.Reason]bool{
	citronusher.ReasonAuth: true, citronusher.ReasonInput: true, citronusher.ReasonDatabase: true,
	citronusher.ReasonProfile: true, citronusher.ReasonDeadline: true, citronusher.ReasonBudget: true,
	citronusher.ReasonBehind: true, citronusher.ReasonLost: true, citronusher.ReasonCancel: true,
	citronusher.ReasonRepeat: true, citronusher.ReasonGone: true, citronusher.ReasonQueue: true,
	citronusher.ReasonFull: true,
}

// UsesBudget reports whether a retry for the reason loads the targets, so that it must be paid from the budget. Waiting
// for a primary, asking another daemon or a connection that was refused does not.
func UsesBudget(reason citronusher.Reason) bool {
	switch reason {
	case citronusher.ReasonPrimary, citronusher.ReasonClosed, citronusher.ReasonLeaving, citronusher.ReasonPeer,
		citronusher.ReasonConnect, citronusher.ReasonLimit:
		return false
	default:
		return true
	}
}

// Allowed reports whether the request may be sent again: always when it did not run, after an unknown outcome only when
// it is idempotent or marked, and never once rows were streamed, inside a transaction, for a final reason or past the
// deadline.
func Allowed(t Attempt) bool {
	if t.Streamed || t.Pinned || final[t.Failure.Reason()] || !t.RetryAt.Before(t.Deadline) {
		return false
	}
	switch t.Failure.Outcome() {
	case citronusher.NotRun:
		return true
	case citronusher.Unknown:
		return t.Marked || t.Repeat == profile.RetryIdempotent
	default:
		return false
	}
}
