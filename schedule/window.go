package schedule

import (
	"time"

	"citronusher.example/citronusher"
)

const (
	windowCut   = 0.5                   // what is left of a window after a refusal
	windowLeast = 1.0                   // statements
	windowSpare = 2                     // statements beyond a member's slots, on their way there or back
	busyPause   = 25 * time.Millisecond // before a member that was too busy gets another statement
)

// Window bounds how many statements a home has at one member. Several homes share the member's slots; what waits, waits
// in their queues, where priority and deadline order it, and not in the member's.
//
// A member that refuses a statement as busy gets none for a moment and then fewer at a time; each statement that it
// runs opens the window again. The zero Window is fully open.
type Window struct {
	closed  float64 // statements that are missing from the whole window
	pauseAt citronusher.Instant
}

// most returns the size of a window that is fully open before a member with slots.
func most(slots int) float64 { return float64(slots + windowSpare) }

// Size returns how many statements the home may have at a member with slots.
func (w *Window) Size(slots int) int { return int(max(windowLeast, most(slots)-w.closed)) }

// Paused reports whether the member gets no statement at now.
func (w *Window) Paused(now citronusher.Instant) bool { return now < w.pauseAt }

// ObserveBusy records that the member refused a statement as busy.
func (w *Window) ObserveBusy(slots int, now citronusher.Instant) {
	if w.Paused(now) {
		return // refused together with the one before
	}
	size := max(windowLeast, (most(slots)-w.closed)*windowCut)
	w.closed = most(slots) - size
	w.pauseAt = now.Add(busyPause)
}

// ObserveSuccess records that the member ran a statement.
func (w *Window) ObserveSuccess(slots int) {
	w.closed = max(0, w.closed-1/max(windowLeast, most(slots)-w.closed))
}
