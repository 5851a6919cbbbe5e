package rollout

import "time"

const (
	// The fractions of an order's time after which the load stage, the shift stage and the move
	// of all traffic begin. Versions that turn bad at 8 of 12 s have to show it in the shift
	// stage (TestSimulatedOrders); a move at 0.78 leaves 2.6 of 12 s for its end and for a
	// store that is unavailable.
	loadFraction  = 0.4
	shiftFraction = 0.62
	fullFraction  = 0.78
	// minShiftTime is the least time between the last two of these steps.
	minShiftTime = 600 * time.Millisecond
	// loadTurns is how often the load stage switches to another server.
	loadTurns = 8
	// giveUpFraction is the fraction of an order's time after which a version that has not been
	// found good is rolled back: the status has to be written before the deadline.
	giveUpFraction = 0.9
	// MaxDuration bounds the duration of an order: a longer one is not observed by the same
	// processes throughout.
	MaxDuration = 24 * time.Hour
	// MinDuration is the least time in which a version can be evaluated.
	MinDuration = 2 * time.Second
)

// Plan holds the times of an order's steps, counted from the order.
type Plan struct {
	// Load is when exposure concentrates on one server at a time; Shift when all servers get
	// the rest of it; Full when all traffic moves if the version is good.
	Load, Shift, Full time.Duration
	// GiveUp is when a version that is not found good is rolled back.
	GiveUp time.Duration
	// Deadline is the end of the order's time.
	Deadline time.Duration
}

// NewPlan returns the plan of an order of the duration.
func NewPlan(duration time.Duration) Plan {
	at := func(fraction float64) time.Duration { return time.Duration(fraction * float64(duration)) }
	return Plan{
		Load:     at(loadFraction),
		Shift:    at(shiftFraction),
		Full:     at(fullFraction),
		GiveUp:   at(giveUpFraction),
		Deadline: duration,
	}
}

// InvalidReason returns why an order cannot be carried out; empty if it can.
func (o Order) InvalidReason() string {
	switch {
	case o.Target == "":
		return "no version"
	case o.Duration < MinDuration:
		return "the duration is too short to judge a version"
	case o.Duration > MaxDuration:
		return "the duration is too long"
	}
	return ""
}

// Turn returns the turn of the load stage, from 0 to loadTurns-1.
func (p Plan) Turn(elapsed time.Duration) int {
	return min(int(loadTurns*progress(elapsed, p.Load, p.Shift)), loadTurns-1)
}

// progress returns which fraction of the time from begin to end has passed, 0 to 1.
func progress(now, begin, end time.Duration) float64 {
	return min(max(float64(now-begin)/float64(max(end-begin, 1)), 0), 1)
}
