package soak_test

import (
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronusher.example/citronusher/soak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// regressions maps seeds that failed in the past to the cause of the failure.
var regressions = map[uint64]string{
	529: "a value that a promotion had rolled back counted as held, because its writer had written the next one",
}

// buildDaemon builds the daemon with the race detector and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	daemon := filepath.Join(t.TempDir(), "citronusherd")
	build := exec.CommandContext(t.Context(), "go", "build", "-race", "-o", daemon, "../cmd/citronusherd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return daemon
}

// TestSoak runs a short soak with seed 1 and with every regression seed against race-enabled daemons. It guards against
// lost, duplicated or misreported writes and stale reads under faults.
func TestSoak(t *testing.T) {
	daemon := buildDaemon(t)
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		options := soak.Options{
			Daemon: daemon, Span: 5 * time.Second, Daemons: 5, Connections: 4, Callers: 8, Logs: t.TempDir(),
		}
		report, err := soak.RunSeed(options, seed)
		if err != nil {
			t.Errorf("seed %d: %v\n%s", seed, err, report)
		}
		if report.Done == 0 || report.Reads == 0 {
			t.Errorf("seed %d: no write was acknowledged or no read was served: %s", seed, report)
		}
	}
}

// TestDrawRepeats guards against runs that a seed does not reproduce, and against kinds of faults that are never drawn.
func TestDrawRepeats(t *testing.T) {
	draw := func(seed uint64) []soak.Fault {
		return soak.DrawFaults(rand.New(rand.NewPCG(seed, seed)), time.Minute, time.Second, 5, 3, soak.Kinds())
	}
	if !reflect.DeepEqual(draw(3), draw(3)) {
		t.Error("two draws with the same seed returned different faults")
	}
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(20) {
		for _, f := range draw(seed) {
			kinds[f.Kind] = true
		}
	}
	if len(kinds) < len(soak.Kinds()) {
		t.Errorf("%d kinds of faults were drawn, want %d", len(kinds), len(soak.Kinds()))
	}
}
