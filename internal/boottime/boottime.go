// Package boottime provides a monotonic clock that includes the time during which the machine
// is suspended. The monotonic clock of time.Now and of timers stops during suspension, and the
// wall clock may step.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the machine booted, including suspension. Instants of different
// machines cannot be compared.
type Instant time.Duration

// Now returns the current instant.
func Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had the clock since 2.6.39.
		panic(err)
	}
	return Instant(now.Nano())
}

// Add returns the instant that is span later.
func (i Instant) Add(span time.Duration) Instant { return i + Instant(span) }

// Sub returns the time since an earlier instant.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }
