package home

import "testing"

// TestProbesStayWithinTheirBudget checks the daemon with the most homes that hashing gives at the target's size, 7
// first and 7 others, and that a daemon with the mean number is not slowed down.
func TestProbesStayWithinTheirBudget(t *testing.T) {
	const members = 3
	most := 7*probeRate(0, members) + 7*probeRate(1, members)
	if sent := most / slowdown(most); sent > probeBudget+0.01 {
		t.Errorf("%.1f probes a second", sent)
	}
	if worst := primaryInterval.Seconds() * slowdown(most); worst > 2 {
		t.Errorf("a primary is probed every %.1f s", worst)
	}
	mean := 1300.0 / 830 * (probeRate(0, members) + 2*probeRate(1, members))
	if slowdown(mean) > 1.1 {
		t.Errorf("the mean daemon is slowed down by %.2f", slowdown(mean))
	}
}
