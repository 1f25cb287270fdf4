package targets

import "testing"

// TestProbeBesideAReport guards against a data race: a probe read the report of its member while the next one was applied.
func TestProbeBesideAReport(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	m := g.members["a"]
	report := m.report
	const rounds = 1000
	g.background(func() {
		for range rounds {
			g.probe(m)
		}
	})
	for range rounds {
		g.mu.Lock()
		g.applyReport(report, f.timer.now, f.timer.now)
		g.mu.Unlock()
	}
	f.settle(t)
	if m.down || m.lastResponseAt != f.timer.now {
		t.Errorf("member a is down: %t, it answered at %d, want %d", m.down, m.lastResponseAt, f.timer.now)
	}
}
