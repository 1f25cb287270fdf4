package events_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"citronusher.example/citronusher/events"
)

// TestCatalogue guards against events that docs/EVENTS.md lacks, or lists with another text: it compares numbers, texts and
// their count.
func TestCatalogue(t *testing.T) {
	body, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := strings.Count(string(body), "\n| ") - 2 // without the two header lines
	for event, text := range events.All() {
		if !strings.Contains(string(body), fmt.Sprintf("\n| %d | ", event)) || !strings.Contains(string(body), text) {
			t.Errorf("docs/EVENTS.md lacks: | %d | %s |", event, text)
		}
	}
	if documented != len(events.All()) {
		t.Errorf("docs/EVENTS.md has %d events, the code %d", documented, len(events.All()))
	}
}
