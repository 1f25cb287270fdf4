package lease

import (
	"time"

	"citronusher.example/citronusher"
)

const (
	historyWindow  = 12 * time.Second      // maximum age of a sample
	sampleInterval = 25 * time.Millisecond // of samples closer together than this only the latest is kept
)

// sample is a position of the primary that was requested under a valid lease.
type sample struct {
	requestedAt citronusher.Instant
	position    citronusher.Position
}

// History holds the recent positions of a primary. The log up to a sample's position contains every write that was
// acknowledged before the sample was requested.
type History struct {
	samples []sample
}

// Reset removes all samples.
func (w *History) Reset() { w.samples = w.samples[:0] }

// Observe records a position that was requested at requestedAt. Positions that are zero, lower than the last one, or not
// requested later than it are ignored.
func (w *History) Observe(position citronusher.Position, requestedAt citronusher.Instant) {
	if position.IsZero() {
		return
	}
	n := len(w.samples)
	if n > 0 && (position.Less(w.samples[n-1].position) || requestedAt <= w.samples[n-1].requestedAt) {
		return
	}
	if n > 1 && requestedAt.Sub(w.samples[n-2].requestedAt) < sampleInterval {
		w.samples[n-1] = sample{requestedAt: requestedAt, position: position}
		return
	}
	w.samples = append(w.samples, sample{requestedAt: requestedAt, position: position})
	w.trim(requestedAt.Add(-historyWindow))
}

// trim removes the samples that were requested before oldest, but never the last one.
func (w *History) trim(oldest citronusher.Instant) {
	removed := 0
	for removed < len(w.samples)-1 && w.samples[removed].requestedAt < oldest {
		removed++
	}
	w.samples = append(w.samples[:0], w.samples[removed:]...)
}

// FirstSince returns the earliest position that was requested at since or later; false when there is none.
func (w *History) FirstSince(since citronusher.Instant) (citronusher.Position, bool) {
	for _, s := range w.samples {
		if s.requestedAt >= since {
			return s.position, true
		}
	}
	return citronusher.Position{}, false
}
