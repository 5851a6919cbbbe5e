package overload

import "time"

const (
	// A delay of at least overloadDelay for overloadAfter means that the node is overloaded.
	overloadDelay = 150 * time.Millisecond
	overloadAfter = 500 * time.Millisecond
	// A delay of at most recoveryDelay for recoveryTime means that it has recovered.
	recoveryDelay = 40 * time.Millisecond
	recoveryTime  = 3 * time.Second
	// maxOverload ends the overloaded state even without a recovery: if other nodes
	// could take over load, they would have done so by then. The state does not begin
	// again within cooldown.
	maxOverload = 6 * time.Second
	cooldown    = 12 * time.Second
)

// Detector distinguishes lasting overload from the short delays of a busy node. The
// zero value is not overloaded. It reads no clock and is not safe for concurrent use.
type Detector struct {
	overloaded bool
	// changedAt is when the current state began. crossedAt is when the delay reached the
	// bound that ends the state; zero while the delay is on the other side of the bound.
	changedAt, crossedAt time.Time
	// coolingDown is set after a state of overload that ended without a recovery.
	coolingDown bool
}

// Observe processes a delay and reports whether the node is overloaded.
func (d *Detector) Observe(delay time.Duration, now time.Time) bool {
	if d.overloaded {
		d.observeOverloaded(delay, now)
	} else {
		d.observeNormal(delay, now)
	}
	return d.overloaded
}

func (d *Detector) observeOverloaded(delay time.Duration, now time.Time) {
	recovered := d.heldFor(delay <= recoveryDelay, recoveryTime, now)
	if expired := now.Sub(d.changedAt) >= maxOverload; recovered || expired {
		*d = Detector{changedAt: now, coolingDown: !recovered}
	}
}

func (d *Detector) observeNormal(delay time.Duration, now time.Time) {
	if d.coolingDown && now.Sub(d.changedAt) < cooldown {
		return
	}
	if d.heldFor(delay >= overloadDelay, overloadAfter, now) {
		*d = Detector{overloaded: true, changedAt: now}
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
