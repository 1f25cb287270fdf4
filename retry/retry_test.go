package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/retry"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAllowed checks which failures may be retried. A retry after an unknown outcome could run a write twice.
func TestAllowed(t *testing.T) {
	notRun := citronusher.NewNotRun(citronusher.ReasonConnect, "x")
	unknown := citronusher.NewUnknown(citronusher.ReasonBroken, "x")
	for name, c := range map[string]struct {
		try  retry.Attempt
		want bool
	}{
		"not run":                         {retry.Attempt{Failure: notRun, Repeat: profile.RetryNever}, true},
		"not run, but rows were streamed": {retry.Attempt{Failure: notRun, Streamed: true}, false},
		"not run inside a transaction":    {retry.Attempt{Failure: notRun, Pinned: true}, false},
		"not run for a final reason": {
			retry.Attempt{Failure: citronusher.NewNotRun(citronusher.ReasonLost, "x"), Repeat: profile.RetryIdempotent}, false,
		},
		"unknown":            {retry.Attempt{Failure: unknown, Repeat: profile.RetryNotRun}, false},
		"unknown idempotent": {retry.Attempt{Failure: unknown, Repeat: profile.RetryIdempotent}, true},
		"unknown never":      {retry.Attempt{Failure: unknown, Repeat: profile.RetryNever}, false},
		"unknown marked":     {retry.Attempt{Failure: unknown, Repeat: profile.RetryNever, Marked: true}, true},
	} {
		c.try.RetryAt, c.try.Deadline = now, now.Add(time.Second)
		if got := retry.Allowed(c.try); got != c.want {
			t.Errorf("%s: allowed %t", name, got)
		}
		c.try.RetryAt = c.try.Deadline
		if retry.Allowed(c.try) {
			t.Errorf("%s: allowed past the deadline", name)
		}
	}
}

// TestBudgetBoundsRetries checks that retries stay near a tenth of the requests, so that they cannot multiply the load of
// an outage.
func TestBudgetBoundsRetries(t *testing.T) {
	b := retry.NewBudget()
	retries := 0
	for range 1000 {
		b.Deposit()
		for b.Withdraw() {
			retries++
		}
	}
	if retries < 100 || retries > 120 {
		t.Errorf("%d retries for 1000 requests", retries)
	}
}

// TestDelayStaysBounded checks that the backoff neither overflows nor exceeds its maximum.
func TestDelayStaysBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for attempt := range 50 {
		if d := retry.Delay(attempt, random); d < 0 || d > 500*time.Millisecond {
			t.Errorf("attempt %d: %s", attempt, d)
		}
	}
}
