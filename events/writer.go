package events

import (
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	bufferLines = 2048 // lines that wait to be written
	lineRate    = 400  // lines a second, beyond which lines are dropped
)

// Writer passes log lines on without ever blocking: they wait in a bounded buffer for one goroutine that writes
// them. Lines beyond the buffer or beyond the rate are dropped, counted, and told of by a line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	tasks   errgroup.Group
	dropped atomic.Int64
	total   atomic.Int64

	mu     sync.Mutex
	closed bool
	second int64
	count  int
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferLines)}
	w.tasks.Go(w.run)
	return w
}

// Write takes one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.allow(time.Now().Unix()) {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte{}, line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// allow counts a line of a second against the rate. The caller holds mu.
func (w *Writer) allow(second int64) bool {
	if second != w.second {
		w.second, w.count = second, 0
	}
	w.count++
	return w.count <= lineRate
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

func (w *Writer) run() error {
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			line = append(droppedLine(dropped), line...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.drop() // the reader of the log has gone; the count tells of it
		}
	}
	return nil
}

// droppedLine is the line that tells of dropped ones.
func droppedLine(count int64) []byte {
	e := catalogue[LogLinesDropped]
	line, err := json.Marshal(map[string]any{
		"time": time.Now(), "level": e.level.String(), "msg": e.text, "event": int(LogLinesDropped), "lines": count,
	})
	if err != nil {
		return nil
	}
	return append(line, '\n')
}

// Close writes what waits and stops.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	return w.tasks.Wait()
}

// NewLogger returns a logger of JSON lines from the given level on.
func NewLogger(out io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}))
}
