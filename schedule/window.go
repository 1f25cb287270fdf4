package schedule

import (
	"time"

	"citronusher.example/citronusher"
)

const (
	decreaseFactor = 0.5                   // of the window after a member reported busy
	minWindow      = 1.0                   // statements
	inFlight       = 2                     // statements beyond a member's slots, being sent or answered
	busyBackoff    = 25 * time.Millisecond // before a busy member receives another statement
)

// Window limits the concurrent statements of a home at one member. Several homes share the member's slots. Statements wait
// in the homes' queues, which are ordered by priority and deadline, and not in the member's queue.
//
// When a member rejects a statement as busy, it receives none during a backoff, and the window is halved. Each
// statement that the member runs increases the window again. The zero Window has its maximum size.
type Window struct {
	reduction     float64 // statements by which the window is below its maximum
	pauseDeadline citronusher.Instant
}

// maxWindow returns the maximum size of the window of a member with slots.
func maxWindow(slots int) float64 { return float64(slots + inFlight) }

// Size returns the maximum number of concurrent statements at a member with slots.
func (w *Window) Size(slots int) int { return int(max(minWindow, maxWindow(slots)-w.reduction)) }

// Paused reports whether no statement may be sent to the member at now.
func (w *Window) Paused(now citronusher.Instant) bool { return now < w.pauseDeadline }

// ObserveBusy records that the member rejected a statement as busy.
func (w *Window) ObserveBusy(slots int, now citronusher.Instant) {
	if w.Paused(now) {
		return // rejected together with the previous one
	}
	size := max(minWindow, (maxWindow(slots)-w.reduction)*decreaseFactor)
	w.reduction = maxWindow(slots) - size
	w.pauseDeadline = now.Add(busyBackoff)
}

// ObserveSuccess records that the member ran a statement.
func (w *Window) ObserveSuccess(slots int) {
	w.reduction = max(0, w.reduction-1/max(minWindow, maxWindow(slots)-w.reduction))
}
