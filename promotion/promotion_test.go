package promotion_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/promotion"
)

// TestWinner plays the choice of the member that follows: each line is a member with its term and offset.
func TestWinner(t *testing.T) {
	datadriven.RunTest(t, "testdata/winner.txt", func(t *testing.T, d *datadriven.TestData) string {
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
		winner, ok := promotion.ChooseCandidate(members)
		if !ok {
			return "nobody\n"
		}
		return winner + "\n"
	})
}

// TestClaimsExclude checks that a claim can be taken over only after its end, and that its holder orders early enough.
func TestClaimsExclude(t *testing.T) {
	held := promotion.NextClaim(citronusher.Claim{StoreMillis: 1000}, "d1")
	held.StoreMillis = 1000
	if promotion.Claimable(held, "d2") {
		t.Error("d2 may replace a claim that d1 just made")
	}
	if !promotion.Claimable(held, "d1") {
		t.Error("d1 may not renew its own claim")
	}
	held.StoreMillis = 1000 + promotion.ClaimTTL.Milliseconds()
	if !promotion.Claimable(held, "d2") {
		t.Error("nobody may replace a claim that has ended")
	}
	const slowestEffect = 1700 * time.Millisecond
	held500 := citronusher.Instant(0).Add(500 * time.Millisecond)
	if promotion.EarliestRequestAt(held500, false) > promotion.RequestDeadline(0) {
		t.Error("the rights of daemons that do not answer expire too late for the order")
	}
	if last := promotion.RequestDeadline(0); last.Add(slowestEffect) > citronusher.Instant(promotion.ClaimTTL) {
		t.Errorf("an order at %v may take effect after the claim's end", last)
	}
}

// TestLoss checks when a lost primary is replaced.
func TestLoss(t *testing.T) {
	at := func(ms int) citronusher.Instant {
		return citronusher.Instant(0).Add(time.Duration(ms) * time.Millisecond)
	}
	for _, c := range []struct {
		name string
		loss promotion.Outage
		now  int
		due  bool
	}{
		{"not lost", promotion.Outage{PrimaryKnown: true}, 5000, false},
		{"refused, just now", promotion.Outage{DetectedAt: at(1000), Refused: true, PrimaryKnown: true}, 1010, false},
		{"refused", promotion.Outage{DetectedAt: at(1000), Refused: true, PrimaryKnown: true}, 1060, true},
		{"silent", promotion.Outage{DetectedAt: at(1000), PrimaryKnown: true}, 1110, true},
		{"never known, just now", promotion.Outage{DetectedAt: at(1000)}, 1500, false},
		{"never known", promotion.Outage{DetectedAt: at(1000)}, 1800, true},
	} {
		if got := c.loss.ShouldPromote(at(c.now)); got != c.due {
			t.Errorf("%s: due %t", c.name, got)
		}
	}
}
