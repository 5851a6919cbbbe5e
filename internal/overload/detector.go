package overload

import "time"

const (
	// A delay of at least busyDelay for busyAfter means that the node is overloaded.
	busyDelay = 150 * time.Millisecond
	busyAfter = 500 * time.Millisecond
	// A delay of at most calmDelay for calmAfter means that it has recovered.
	calmDelay = 40 * time.Millisecond
	calmAfter = 3 * time.Second
	// maxBusy ends the overloaded state even without a recovery: if other nodes
	// could take over load, they would have done so by then. The state does not begin
	// again within cooldown.
	maxBusy  = 6 * time.Second
	cooldown = 12 * time.Second
)

// Detector distinguishes lasting overload from the short delays of a busy node. The
// zero value is not overloaded. It reads no clock and is not safe for concurrent use.
type Detector struct {
	busy bool
	// changedAt is when the current state began. crossedAt is when the delay crossed the
	// bound that ends it; zero while the delay has not crossed it.
	changedAt, crossedAt time.Time
	// coolingDown is set after a state of overload that ended without a recovery.
	coolingDown bool
}

// Observe processes a delay and reports whether the node is overloaded.
func (s *Detector) Observe(delay time.Duration, now time.Time) bool {
	if s.busy {
		s.observeBusy(delay, now)
	} else {
		s.observeCalm(delay, now)
	}
	return s.busy
}

func (s *Detector) observeBusy(delay time.Duration, now time.Time) {
	calm := s.heldFor(delay <= calmDelay, calmAfter, now)
	if expired := now.Sub(s.changedAt) >= maxBusy; calm || expired {
		*s = Detector{changedAt: now, coolingDown: !calm}
	}
}

func (s *Detector) observeCalm(delay time.Duration, now time.Time) {
	if s.coolingDown && now.Sub(s.changedAt) < cooldown {
		return
	}
	if s.heldFor(delay >= busyDelay, busyAfter, now) {
		*s = Detector{busy: true, changedAt: now}
	}
}

// heldFor reports whether a condition has held for the given duration.
func (s *Detector) heldFor(holds bool, length time.Duration, now time.Time) bool {
	switch {
	case !holds:
		s.crossedAt = time.Time{}
		return false
	case s.crossedAt.IsZero():
		s.crossedAt = now
	}
	return now.Sub(s.crossedAt) >= length
}
