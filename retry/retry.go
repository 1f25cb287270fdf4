// Package retry decides whether and when a failed request is retried.
//
// It does no I/O; its user passes the time and the random source.
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

	tokensPerRequest = 0.1 // retries that each request adds to the budget
	maxTokens        = 20.0
)

// Budget limits the retries of one database to a share of its requests. It is a token bucket. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Deposit adds the share of a retry that a request earns.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+tokensPerRequest)
}

// Withdraw takes one retry from the budget. It reports false when less than one is left.
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
	// Failure is the attempt's error.
	Failure *citronusher.Failure
	// Repeat is the profile's retry policy.
	Repeat profile.RetryPolicy
	// Marked is true when the request leaves a marker in its transaction, so that a retry cannot run it twice.
	Marked bool
	// Streamed is true once rows were sent to the caller.
	Streamed bool
	// Pinned is true when the request belongs to an open transaction.
	Pinned bool
	// RetryAt is when the next attempt could start.
	RetryAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// final holds the reasons for which a retry would fail again.
var final = map[citronusher.Reason]bool{
	citronusher.ReasonAuth: true, citronusher.ReasonInput: true, citronusher.ReasonDatabase: true,
	citronusher.ReasonProfile: true, citronusher.ReasonDeadline: true, citronusher.ReasonBudget: true,
	citronusher.ReasonBehind: true, citronusher.ReasonLost: true, citronusher.ReasonCancel: true,
	citronusher.ReasonRepeat: true, citronusher.ReasonGone: true, citronusher.ReasonQueue: true,
	citronusher.ReasonFull: true,
}

// UsesBudget reports whether a retry after a failure with the reason adds load to the targets, so that it must be taken
// from the budget. Waiting for a primary, trying another daemon and retrying a refused connection do not.
func UsesBudget(reason citronusher.Reason) bool {
	switch reason {
	case citronusher.ReasonPrimary, citronusher.ReasonClosed, citronusher.ReasonLeaving, citronusher.ReasonPeer,
		citronusher.ReasonConnect, citronusher.ReasonLimit:
		return false
	default:
		return true
	}
}

// Allowed reports whether the request may be retried. A request that did not run may; one with an unknown outcome only if
// it is idempotent or marked. None may once rows were streamed, inside a transaction, after a final reason or when the
// next attempt would start at the deadline or later.
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
