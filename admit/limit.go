package admit

import (
	"math"
	"time"
)

// Limiter finds how many statements may run at once on one target.
type Limiter interface {
	// Limit returns the current limit, 1 or more.
	Limit() int
	// Observe takes the latency of a finished statement and how many ran when it started.
	Observe(latency time.Duration, running int)
}

// Fixed is a limit that never changes.
type Fixed int

// Limit returns the fixed limit.
func (f Fixed) Limit() int { return max(1, int(f)) }

// Observe does nothing.
func (f Fixed) Observe(time.Duration, int) {}

const (
	aimdFactor    = 0.9  // multiplicative decrease
	aimdTolerance = 2.0  // latency over the baseline that counts as congestion
	baselineDecay = 1.02 // growth of the baseline per congested observation, so that it forgets old minima
	smoothing     = 0.1  // weight of a new observation in the gradient's average
	gradientFloor = 0.5
)

// AIMD raises the limit by one per limit's worth of good statements and cuts it when latency exceeds the baseline.
type AIMD struct {
	limit    float64
	low      float64
	high     float64
	baseline float64
}

// NewAIMD returns a limiter that starts at start and stays between low and high.
func NewAIMD(start, low, high int) *AIMD {
	return &AIMD{limit: float64(start), low: float64(max(1, low)), high: float64(high)}
}

// Limit returns the current limit.
func (a *AIMD) Limit() int { return int(a.limit) }

// Observe adjusts the limit.
func (a *AIMD) Observe(latency time.Duration, running int) {
	seconds := latency.Seconds()
	if a.baseline == 0 || seconds < a.baseline {
		a.baseline = seconds
	}
	switch {
	case seconds > aimdTolerance*a.baseline:
		a.limit = max(a.low, a.limit*aimdFactor)
		a.baseline *= baselineDecay
	case running >= int(a.limit):
		a.limit = min(a.high, a.limit+1/a.limit)
	}
}

// Gradient moves the limit by the ratio of the lowest latency to the current one, plus room for a short queue.
type Gradient struct {
	limit    float64
	low      float64
	high     float64
	baseline float64
	average  float64
}

// NewGradient returns a limiter that starts at start and stays between low and high.
func NewGradient(start, low, high int) *Gradient {
	return &Gradient{limit: float64(start), low: float64(max(1, low)), high: float64(high)}
}

// Limit returns the current limit.
func (g *Gradient) Limit() int { return int(g.limit) }

// Observe adjusts the limit.
func (g *Gradient) Observe(latency time.Duration, running int) {
	seconds := latency.Seconds()
	if g.average == 0 {
		g.average, g.baseline = seconds, seconds
	}
	g.average += smoothing * (seconds - g.average)
	if seconds < g.baseline {
		g.baseline = seconds
	} else {
		g.baseline += smoothing * smoothing * (seconds - g.baseline)
	}
	if running < int(g.limit)/2 {
		return
	}
	gradient := max(gradientFloor, min(1, aimdTolerance*g.baseline/g.average))
	target := g.limit*gradient + math.Sqrt(g.limit)
	g.limit = max(g.low, min(g.high, g.limit+smoothing*(target-g.limit)))
}
