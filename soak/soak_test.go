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

// regressions are the seeds that once failed, each with its cause.
var regressions = map[uint64]string{}

// TestSoak plays a short run, and the seeds that once failed.
func TestSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "citronusherd")
	build := exec.CommandContext(t.Context(), "go", "build", "-race", "-o", daemon, "../cmd/citronusherd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		options := soak.Options{
			Daemon: daemon, Span: 5 * time.Second, Daemons: 5, Connections: 4, Callers: 8, Logs: t.TempDir(),
		}
		report, err := soak.Play(options, seed)
		if err != nil {
			t.Errorf("seed %d: %v\n%s", seed, err, report)
		}
		if report.Done == 0 || report.Reads == 0 {
			t.Errorf("seed %d: nothing was served: %s", seed, report)
		}
	}
}

// TestDrawRepeats draws the same faults for the same seed.
func TestDrawRepeats(t *testing.T) {
	draw := func(seed uint64) []soak.Fault {
		return soak.Draw(rand.New(rand.NewPCG(seed, seed)), time.Minute, 5)
	}
	if !reflect.DeepEqual(draw(3), draw(3)) {
		t.Error("the same seed draws other faults")
	}
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(20) {
		for _, f := range draw(seed) {
			kinds[f.Kind] = true
		}
	}
	if len(kinds) < 16 {
		t.Errorf("only %d kinds are drawn", len(kinds))
	}
}
