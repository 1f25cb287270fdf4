package lease

import (
	"time"

	"citronusher.example/citronusher"
)

const (
	windowSpan = 12 * time.Second      // the oldest position that is kept
	windowStep = 25 * time.Millisecond // positions closer together than this are not kept apart
)

// sighting is a position of the primary that was asked for at a time under a valid right.
type sighting struct {
	askedAt  citronusher.Instant
	position citronusher.Position
}

// History holds the positions that a primary had lately. Everything that was acknowledged before a sighting was asked
// for is part of the log at its position.
type History struct {
	sightings []sighting
}

// Reset forgets every position.
func (w *History) Reset() { w.sightings = w.sightings[:0] }

// Observe records a position that was asked for at askedAt.
func (w *History) Observe(position citronusher.Position, askedAt citronusher.Instant) {
	if position.IsZero() {
		return
	}
	n := len(w.sightings)
	if n > 0 && (position.Less(w.sightings[n-1].position) || askedAt <= w.sightings[n-1].askedAt) {
		return
	}
	if n > 1 && askedAt.Sub(w.sightings[n-2].askedAt) < windowStep {
		w.sightings[n-1] = sighting{askedAt: askedAt, position: position}
		return
	}
	w.sightings = append(w.sightings, sighting{askedAt: askedAt, position: position})
	w.forget(askedAt.Add(-windowSpan))
}

// forget drops the sightings that were asked for before oldest.
func (w *History) forget(oldest citronusher.Instant) {
	drop := 0
	for drop < len(w.sightings)-1 && w.sightings[drop].askedAt < oldest {
		drop++
	}
	w.sightings = append(w.sightings[:0], w.sightings[drop:]...)
}

// FirstSince returns the earliest position that was asked for at since or later; false when there is none.
func (w *History) FirstSince(since citronusher.Instant) (citronusher.Position, bool) {
	for _, s := range w.sightings {
		if s.askedAt >= since {
			return s.position, true
		}
	}
	return citronusher.Position{}, false
}
