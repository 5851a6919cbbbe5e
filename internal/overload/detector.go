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
func (d *Detector) Observe(delay time.Duration, now time.Time) bool {
	if d.busy {
		d.observeBusy(delay, now)
	} else {
		d.observeCalm(delay, now)
	}
	return d.busy
}

func (d *Detector) observeBusy(delay time.Duration, now time.Time) {
	calm := d.heldFor(delay <= calmDelay, calmAfter, now)
	if expired := now.Sub(d.changedAt) >= maxBusy; calm || expired {
		*d = Detector{changedAt: now, coolingDown: !calm}
	}
}

func (d *Detector) observeCalm(delay time.Duration, now time.Time) {
	if d.coolingDown && now.Sub(d.changedAt) < cooldown {
		return
	}
	if d.heldFor(delay >= busyDelay, busyAfter, now) {
		*d = Detector{busy: true, changedAt: now}
	}
}

// heldFor reports whether a condition has held for the given duration.
func (d *Detector) heldFor(holds bool, length time.Duration, now time.Time) bool {
	switch {
	case !holds:
		d.crossedAt = time.Time{}
		return false
	case d.crossedAt.IsZero():
		d.crossedAt = now
	}
	return now.Sub(d.crossedAt) >= length
}
