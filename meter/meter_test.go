package meter_test

import (
	"os"
	"strings"
	"testing"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// TestMetricsAreDocumented guards against metrics that docs/METRICS.md lacks.
func TestMetricsAreDocumented(t *testing.T) {
	body, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range meter.New().Names() {
		if !strings.Contains(string(body), "| `"+name+"` |") {
			t.Errorf("docs/METRICS.md lacks %s", name)
		}
	}
}

// TestEveryReasonHasACounter guards against failures that no metric counts, because their reason was added without counters.
func TestEveryReasonHasACounter(t *testing.T) {
	m := meter.New()
	names := strings.Join(m.Names(), " ")
	for _, reason := range citronusher.Reasons() {
		for _, prefix := range []string{"refused.", "retried.", "unknown."} {
			if !strings.Contains(names, prefix+string(reason)) {
				t.Errorf("no counter %s%s", prefix, reason)
			}
		}
	}
}
