package lease_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
)

func at(milliseconds int) citronusher.Instant {
	return citronusher.Instant(0).Add(time.Duration(milliseconds) * time.Millisecond)
}

var verdicts = map[lease.Verdict]string{
	lease.Renewed: "renewed", lease.Inconclusive: "inconclusive", lease.Superseded: "superseded", lease.Unproven: "unproven",
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestLease checks which replica reports renew or end a lease. A lease that is renewed by a report of another term, one
// requested before its release, one that arrives when the lease has expired, or one of a replica that may have restarted
// since the last renewal would let two primaries be used at once.
func TestLease(t *testing.T) {
	datadriven.RunTest(t, "testdata/lease.txt", func(t *testing.T, d *datadriven.TestData) string {
		var r lease.Lease
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			switch fields[0] {
			case "begin":
				r.Begin(uint64(number(t, fields[1]))) //nolint:gosec // small
			case "report": // report ROLE TERM HELD asked AT arrived AT running AT
				report := lease.Report{Status: citronusher.MemberStatus{
					Role: citronusher.Role(fields[1]), Term: uint64(number(t, fields[2])), //nolint:gosec // small
					PausedTerm: uint64(number(t, fields[3])), //nolint:gosec // small
				}, RequestedAt: at(number(t, fields[5])), RunningSince: at(number(t, fields[9]))}
				fmt.Fprintf(&out, "%s: %s\n", line, verdicts[r.ObserveReport(report, at(number(t, fields[7])))])
			case "establish": // establish AT
				fmt.Fprintf(&out, "%s: %t\n", line, r.Establish(at(number(t, fields[1]))))
			case "listed": // listed AT asked AT arrived AT
				established := r.EstablishListed(at(number(t, fields[3])), at(number(t, fields[1])), at(number(t, fields[5])))
				fmt.Fprintf(&out, "%s: %t\n", line, established)
			case "peer": // peer TERM asked AT
				verdict := r.ObservePeerRenewal(uint64(number(t, fields[1])), at(number(t, fields[3]))) //nolint:gosec // small
				fmt.Fprintf(&out, "%s: %s\n", line, verdicts[verdict])
			case "release":
				r.Release(at(number(t, fields[1])))
			case "ignore": // ignore before AT
				r.IgnoreBefore(at(number(t, fields[2])))
			case "valid":
				fmt.Fprintf(&out, "%s: %t\n", line, r.Valid(at(number(t, fields[2]))))
			}
		}
		return out.String()
	})
}

// TestHistory checks which position is returned for a time, and that samples close together are merged.
func TestHistory(t *testing.T) {
	datadriven.RunTest(t, "testdata/history.txt", func(t *testing.T, d *datadriven.TestData) string {
		var w lease.History
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			when := at(number(t, fields[len(fields)-1]))
			if fields[0] == "observe" { // observe OFFSET at AT
				w.Observe(citronusher.NewPosition(1, uint64(number(t, fields[1]))), when) //nolint:gosec // small
				continue
			}
			position, ok := w.FirstSince(when)
			fmt.Fprintf(&out, "%s: %s %t\n", line, position, ok)
		}
		return out.String()
	})
}

// TestHistoryIsNeverTooOld checks that the position for a bound includes every position that was requested up to the
// bound: a lower one would let a replica serve data that is older than allowed.
func TestHistoryIsNeverTooOld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w lease.History
		now, offset := 0, uint64(1)
		type observed struct {
			at     int
			offset uint64
		}
		var all []observed
		for range rapid.IntRange(1, 80).Draw(t, "samples") {
			now += rapid.IntRange(1, 60).Draw(t, "pause")
			offset += rapid.Uint64Range(0, 3).Draw(t, "commits")
			w.Observe(citronusher.NewPosition(1, offset), at(now))
			all = append(all, observed{now, offset})
		}
		bound := rapid.IntRange(0, now+10).Draw(t, "bound")
		position, ok := w.FirstSince(at(bound))
		for _, s := range all {
			if s.at <= bound && ok && position.Offset() < s.offset {
				t.Fatalf("since %d: position %s lacks offset %d of %d", bound, position, s.offset, s.at)
			}
		}
		if ok != (bound <= now) {
			t.Fatalf("since %d of %d: %t", bound, now, ok)
		}
	})
}
