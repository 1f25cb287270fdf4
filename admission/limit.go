package admission

import (
	"math"
	"time"
)

// Limiter determines how many statements may run at once on one target.
type Limiter interface {
	// Limit returns the current limit, 1 or more.
	Limit() int
	// Observe records the latency of a finished statement and the number that ran when it started, itself included.
	Observe(latency time.Duration, running int)
}

// Fixed is a limit that never changes.
type Fixed int

// Limit returns the fixed limit.
func (f Fixed) Limit() int { return max(1, int(f)) }

// Observe does nothing.
func (f Fixed) Observe(time.Duration, int) {}

const (
	aimdFactor     = 0.9   // multiplicative decrease
	tolerance      = 1.5   // ratio of mean latency to baseline above which the target counts as congested
	baselineGrowth = 1.002 // per window, so that the baseline adapts to a target that has become slower
	minWindow      = 16    // observations
	smoothing      = 0.2   // weight of a new gradient
	gradientFloor  = 0.5
)

// window averages latencies, because single latencies vary more than those that congestion causes. Its baseline is the
// lowest average, raised by baselineGrowth per window.
type window struct {
	sum      float64 // seconds
	count    int
	busy     bool // the limit was reached within the window
	baseline float64
}

// add records an observation. complete is true when the window is full; mean is then its average, in seconds.
func (w *window) add(latency time.Duration, running, limit int) (mean float64, busy, complete bool) {
	w.sum += latency.Seconds()
	w.count++
	w.busy = w.busy || running >= limit
	if w.count < max(minWindow, 2*limit) {
		return 0, false, false
	}
	mean, busy = w.sum/float64(w.count), w.busy
	w.sum, w.count, w.busy = 0, 0, false
	w.baseline *= baselineGrowth
	if w.baseline == 0 || mean < w.baseline {
		w.baseline = mean
	}
	return mean, busy, true
}

// AIMD raises the limit by one after each window that reached it, and multiplies it by aimdFactor when the mean latency
// exceeds the tolerated multiple of the baseline.
type AIMD struct {
	window window
	limit  float64
	low    float64
	high   float64
}

// NewAIMD returns a limiter that starts at start and stays between low and high.
func NewAIMD(start, low, high int) *AIMD {
	return &AIMD{limit: float64(start), low: float64(max(1, low)), high: float64(high)}
}

// Limit returns the current limit.
func (a *AIMD) Limit() int { return int(a.limit) }

// Observe adjusts the limit.
func (a *AIMD) Observe(latency time.Duration, running int) {
	mean, busy, complete := a.window.add(latency, running, int(a.limit))
	switch {
	case !complete:
	case mean > tolerance*a.window.baseline:
		a.limit = max(a.low, a.limit*aimdFactor)
	case busy:
		a.limit = min(a.high, a.limit+1)
	}
}

// Gradient moves the limit by the ratio of the baseline to the mean latency, plus an allowance for a short queue.
type Gradient struct {
	window window
	limit  float64
	low    float64
	high   float64
}

// NewGradient returns a limiter that starts at start and stays between low and high.
func NewGradient(start, low, high int) *Gradient {
	return &Gradient{limit: float64(start), low: float64(max(1, low)), high: float64(high)}
}

// Limit returns the current limit.
func (g *Gradient) Limit() int { return int(g.limit) }

// Observe adjusts the limit.
func (g *Gradient) Observe(latency time.Duration, running int) {
	mean, busy, complete := g.window.add(latency, running, int(g.limit))
	if !complete || !busy {
		return
	}
	gradient := max(gradientFloor, min(1, tolerance*g.window.baseline/mean))
	target := g.limit*gradient + math.Sqrt(g.limit)
	g.limit = max(g.low, min(g.high, g.limit+smoothing*(target-g.limit)))
}
