// Package guard keeps an unexpected error in the work of one session or one group from ending the daemon.
package guard

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"citronusher.example/citronusher/events"
)

// maxStackBytes is the maximum length of the stack trace in the log line.
const maxStackBytes = 2000

// Run runs f. A panic in f ends f and is logged; work names what f did. Run reports whether there was one.
func Run(logger *slog.Logger, work string, f func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			stack := debug.Stack()
			events.Log(logger, events.WorkPanicked, "work", work, "error", fmt.Sprint(cause),
				"stack", string(stack[:min(len(stack), maxStackBytes)]))
		}
	}()
	f()
	return false
}
