package promotion_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/promotion"
)

// TestChooseCandidate checks which member is promoted. Each input line is a member with its term and offset. A candidate
// that is behind another member would lose acknowledged writes.
func TestChooseCandidate(t *testing.T) {
	datadriven.RunTest(t, "testdata/candidate.txt", func(t *testing.T, d *datadriven.TestData) string {
		var members []promotion.Member
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			if line == "" {
				continue
			}
			fields := strings.Fields(line)
			branches, err := citronusher.ParseTermStarts(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			members = append(members, promotion.Member{
				ID: fields[0], Position: citronusher.NewPosition(branches[0].Term(), branches[0].Offset()),
				Leaving: len(fields) > 2,
			})
		}
		candidate, ok := promotion.ChooseCandidate(members)
		if !ok {
			return "none\n"
		}
		return candidate + "\n"
	})
}

// TestOutage checks how long an outage must last before a promotion starts.
func TestOutage(t *testing.T) {
	at := func(ms int) citronusher.Instant {
		return citronusher.Instant(0).Add(time.Duration(ms) * time.Millisecond)
	}
	for _, c := range []struct {
		name   string
		outage promotion.Outage
		now    int
		due    bool
	}{
		{"no outage", promotion.Outage{PrimaryKnown: true}, 5000, false},
		{"refused, just now", promotion.Outage{DetectedAt: at(1000), Refused: true, PrimaryKnown: true}, 1010, false},
		{"refused", promotion.Outage{DetectedAt: at(1000), Refused: true, PrimaryKnown: true}, 1060, true},
		{"unresponsive", promotion.Outage{DetectedAt: at(1000), PrimaryKnown: true}, 1110, true},
		{"never known, just now", promotion.Outage{DetectedAt: at(1000)}, 1500, false},
		{"never known", promotion.Outage{DetectedAt: at(1000)}, 1800, true},
	} {
		if got := c.outage.ShouldPromote(at(c.now)); got != c.due {
			t.Errorf("%s: due %t", c.name, got)
		}
	}
}

// TestRequestWaitsForLeases guards against a promotion that takes effect at once, while a lease is valid that was renewed
// just before the last replica paused.
func TestRequestWaitsForLeases(t *testing.T) {
	const pausedAt = citronusher.Instant(time.Minute)
	var l lease.Lease
	l.Begin(1)
	l.Establish(pausedAt)
	if at := promotion.EarliestRequestAt(pausedAt, false); l.Valid(at) {
		t.Errorf("a lease is valid %s after the pause, when the promotion is requested", at.Sub(pausedAt))
	}
	if at := promotion.EarliestRequestAt(pausedAt, true); at != pausedAt {
		t.Errorf("the request waits %s although no lease is held", at.Sub(pausedAt))
	}
}
