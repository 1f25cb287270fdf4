package soak_test

import (
	"slices"
	"testing"
	"time"

	"citronusher.example/citronusher/soak"
)

const (
	ledgerGroups = 3
	fourDaemons  = 0b001111 // of six
	twoDaemons   = 0b110000
)

// split returns faults that cut daemons off from the primary of each group at once.
func split(kind soak.Kind, daemons uint, at, duration time.Duration) []soak.Fault {
	faults := make([]soak.Fault, ledgerGroups)
	for group := range faults {
		faults[group] = soak.Fault{Kind: kind, At: at, Duration: duration, Index: group, Group: group, Daemons: daemons}
	}
	return faults
}

// splits returns faults that cut four daemons off from the primaries, and then the two others.
func splits(kind soak.Kind, duration, gap time.Duration) []soak.Fault {
	return slices.Concat(split(kind, fourDaemons, 0, duration), split(kind, twoDaemons, gap, duration))
}

// TestLedger runs faults that once broke a guarantee against a deployment of six daemons and three groups.
func TestLedger(t *testing.T) {
	daemon := buildDaemon(t)
	for _, c := range []struct {
		name      string
		promotion time.Duration
		faults    []soak.Fault
	}{
		// A connection that is refused does not show that a daemon holds no lease.
		{name: "refused", promotion: 300 * time.Millisecond, faults: splits(soak.KindSplit, 5*time.Second, 8*time.Second)},
		// A daemon that does not answer is waited for. On a busy machine only the last fault is long enough for a promotion.
		{name: "silent", faults: slices.Concat(
			splits(soak.KindMute, 3*time.Second, 6*time.Second), split(soak.KindMute, fourDaemons, 12*time.Second, 6*time.Second),
		)},
		// A promotion takes effect when its claim has ended.
		{name: "late", promotion: 3500 * time.Millisecond, faults: splits(soak.KindMute, 3*time.Second, 8*time.Second)},
	} {
		t.Run(c.name, func(t *testing.T) {
			options := soak.Options{
				Daemon: daemon, Size: "ledger", Promotion: c.promotion, Callers: 150, Pace: 300 * time.Millisecond, Logs: t.TempDir(),
			}
			report, err := soak.RunFaults(options, 1, c.faults)
			if err != nil {
				t.Errorf("%v\n%s", err, report)
			}
			if report.Done == 0 || report.Reads == 0 || report.Promotions == 0 {
				t.Errorf("no write, read or promotion: %s", report)
			}
		})
	}
}
