package schedule

import "time"

const (
	meanWeight      = 8 // the latest statement counts for 1/meanWeight of the mean
	deviationWeight = 4 // and for 1/deviationWeight of the mean deviation
	deviations      = 2 // mean deviations above the mean within which most statements are answered
)

// RunTime estimates how long a statement takes at the members of a group, from being sent until its answer. The zero
// RunTime has no estimate.
type RunTime struct {
	mean, deviation time.Duration
}

// Observe records how long a statement took.
func (r *RunTime) Observe(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/deviations
		return
	}
	diff := took - r.mean
	r.mean += diff / meanWeight
	r.deviation += (diff.Abs() - r.deviation) / deviationWeight
}

// Expected returns the time within which most statements are answered; 0 without an estimate.
func (r *RunTime) Expected() time.Duration { return r.mean + deviations*r.deviation }
