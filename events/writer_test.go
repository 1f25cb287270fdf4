package events_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"citronusher.example/citronusher/events"
)

// stalled is a reader of the log that has stopped reading.
type stalled struct{ release chan struct{} }

func (s stalled) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// TestStalledReaderBlocksNothing writes more lines than are buffered while nobody reads them.
func TestStalledReaderBlocksNothing(t *testing.T) {
	s := stalled{release: make(chan struct{})}
	w := events.NewWriter(s)
	logger := events.NewLogger(w, slog.LevelInfo)
	for range 10_000 {
		events.Log(logger, events.Ready)
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	close(s.release)
	if err := w.Close(); err != nil {
		t.Error(err)
	}
}

// TestDroppedLinesAreTold checks that a line tells how many were dropped before it, and that Close writes what waits.
func TestDroppedLinesAreTold(t *testing.T) {
	var out bytes.Buffer
	release := make(chan struct{})
	w := events.NewWriter(gate{release: release, out: &out})
	logger := events.NewLogger(w, slog.LevelInfo)
	for range 5_000 {
		events.Log(logger, events.Ready)
	}
	close(release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "log lines were dropped") || !strings.Contains(out.String(), "daemon is ready") {
		t.Errorf("%.300s", out.String())
	}
}

// gate holds the first write back until release is closed.
type gate struct {
	release chan struct{}
	out     io.Writer
}

func (g gate) Write(line []byte) (int, error) {
	<-g.release
	return g.out.Write(line)
}

// BenchmarkLog measures what a logged decision costs.
func BenchmarkLog(b *testing.B) {
	w := events.NewWriter(io.Discard)
	logger := events.NewLogger(w, slog.LevelInfo)
	b.ReportAllocs()
	for b.Loop() {
		events.Log(logger, events.RequestFailed, "id", "5c0e7a21d94b36f8", "database", "guide", "reason", "queue")
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
}
