package citronusher

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time in nanoseconds since the machine's start. Its clock never jumps and also runs while the machine is
// suspended. Lease deadlines are compared on it.
type Instant int64

// Never is later than every deadline.
const Never = Instant(1<<63 - 1)

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// MonotonicClock returns the current Instant.
type MonotonicClock interface {
	Instant() Instant
}

// Instant returns the time since the machine's start, suspended time included.
func (SystemClock) Instant() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock is part of every supported kernel
	}
	return Instant(t.Nano())
}
