package home

import "testing"

// TestProbesStayWithinTheirBudget guards against a daemon that is home of many databases and sends too many probes, and
// against slowing down the others. At the intended size, hashing makes a daemon home of at most 7 databases with rank 0
// and 7 with another rank; a daemon with the mean number must not be slowed down.
func TestProbesStayWithinTheirBudget(t *testing.T) {
	const members = 3
	most := 7*probeRate(0, members) + 7*probeRate(1, members)
	if sent := most / slowdown(most); sent > probeBudget+0.01 {
		t.Errorf("%.1f probes per second", sent)
	}
	if worst := primaryInterval.Seconds() * slowdown(most); worst > 2 {
		t.Errorf("a primary is probed every %.1f s", worst)
	}
	mean := 1300.0 / 830 * (probeRate(0, members) + 2*probeRate(1, members))
	if slowdown(mean) > 1.1 {
		t.Errorf("the mean daemon is slowed down by %.2f", slowdown(mean))
	}
}
