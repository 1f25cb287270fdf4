package events_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"citronusher.example/citronusher/events"
)

// stalled is an output whose reader has stopped reading: writes block until release is closed.
type stalled struct{ release chan struct{} }

func (s stalled) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// TestStalledReaderBlocksNothing guards against a stalled log reader that blocks the daemon: with the output blocked, it
// logs more lines than the buffer holds. Logging must return, and lines must be dropped.
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

// TestDroppedLinesAreReported guards against lines that are lost without a trace: a line must report the dropped ones, and
// Close must write the buffered lines.
func TestDroppedLinesAreReported(t *testing.T) {
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

// gate blocks writes until release is closed and then passes them to out.
type gate struct {
	release chan struct{}
	out     io.Writer
}

func (g gate) Write(line []byte) (int, error) {
	<-g.release
	return g.out.Write(line)
}

// BenchmarkLog measures the cost of logging one event.
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
