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
	maxBufferedLines  = 2048 // lines buffered for writing
	maxLinesPerSecond = 400  // lines beyond this rate are dropped
)

// Writer writes log lines without ever blocking its callers: a bounded buffer holds them for one writing goroutine.
// Lines beyond the buffer or the rate are dropped and counted, and a LogLinesDropped line reports their number.
type Writer struct {
	out             io.Writer
	lines           chan []byte
	tasks           errgroup.Group
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64

	mu     sync.Mutex
	closed bool
	second int64
	count  int
}

// NewWriter starts a writer to out. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxBufferedLines)}
	w.tasks.Go(w.run)
	return w
}

// Write buffers one line, or drops it. It never fails and never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.withinRate(time.Now().Unix()) {
		w.countDropped()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte{}, line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

// withinRate counts a line of the given Unix second and reports whether it is within maxLinesPerSecond. The caller holds mu.
func (w *Writer) withinRate(second int64) bool {
	if second != w.second {
		w.second, w.count = second, 0
	}
	w.count++
	return w.count <= maxLinesPerSecond
}

func (w *Writer) countDropped() {
	w.unreportedDrops.Add(1)
	w.totalDrops.Add(1)
}

// Dropped returns the number of lines dropped since NewWriter.
func (w *Writer) Dropped() int64 { return w.totalDrops.Load() }

func (w *Writer) run() error {
	for line := range w.lines {
		if dropped := w.unreportedDrops.Swap(0); dropped > 0 {
			line = append(droppedLine(dropped), line...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.countDropped() // the log's reader has gone; Dropped includes the line
		}
	}
	return nil
}

// droppedLine returns the LogLinesDropped line for count lines, newline included; nil when it cannot be encoded.
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

// Close writes the buffered lines and stops the writer. Lines written afterwards are dropped.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	return w.tasks.Wait()
}

// NewLogger returns a logger that writes JSON lines of the given level and above to out.
func NewLogger(out io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}))
}
