package overload

import "time"

const (
	// busyDelay is the delay from which the node has more work than it can do, if
	// that lasts for busyAfter.
	busyDelay = 150 * time.Millisecond
	busyAfter = 500 * time.Millisecond
	// calmDelay is the delay below which it has caught up, if that lasts for calmAfter.
	calmDelay = 40 * time.Millisecond
	calmAfter = 3 * time.Second
	// longestBusy ends the state all the same: if other nodes had been able to help,
	// they would have. It does not begin again within restAfter.
	longestBusy = 6 * time.Second
	restAfter   = 12 * time.Second
)

// Switch tells lasting overload from the short waits of a busy node. The zero
// value is calm. It reads no clock and is not safe for concurrent use.
type Switch struct {
	busy bool
	// turned is when the state began, and since when the delay went beyond the
	// bound that ends it; zero while it is within.
	turned, since time.Time
	// resting is set while the state may not begin again.
	resting bool
}

// Observe takes a delay into account and reports whether the node is overloaded.
func (s *Switch) Observe(delay time.Duration, now time.Time) bool {
	if s.busy {
		s.observeBusy(delay, now)
	} else {
		s.observeCalm(delay, now)
	}
	return s.busy
}

func (s *Switch) observeBusy(delay time.Duration, now time.Time) {
	calm := s.lasts(delay <= calmDelay, calmAfter, now)
	if expired := now.Sub(s.turned) >= longestBusy; calm || expired {
		*s = Switch{turned: now, resting: !calm}
	}
}

func (s *Switch) observeCalm(delay time.Duration, now time.Time) {
	if s.resting && now.Sub(s.turned) < restAfter {
		return
	}
	if s.lasts(delay >= busyDelay, busyAfter, now) {
		*s = Switch{busy: true, turned: now}
	}
}

// lasts reports whether a condition has held for a time.
func (s *Switch) lasts(holds bool, length time.Duration, now time.Time) bool {
	switch {
	case !holds:
		s.since = time.Time{}
		return false
	case s.since.IsZero():
		s.since = now
	}
	return now.Sub(s.since) >= length
}
