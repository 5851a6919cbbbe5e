package rollout

import "time"

const (
	// canaryPart is the part of an order's time in which exposure is thin; what is left
	// until the shift puts load on single servers.
	canaryPart = 0.45
	// shiftReserve is the time kept for moving over, ending and a store that is away for
	// five seconds. It is bounded by earliestShift and latestShift, parts of the order's
	// time: versions may turn bad only after a while, and what a bad version gets beyond
	// its bound costs more than an order that ends late.
	shiftReserve  = 7 * time.Second
	earliestShift = 0.6
	latestShift   = 0.75
	// shiftTime is how long a part of all requests goes to the new version before all do.
	shiftTime = 600 * time.Millisecond
	// shiftShare is that part.
	shiftShare = 0.3
	// giveUpPart is the part of an order's time after which a version that has not been
	// found good is rolled back: the answer has to be written before the deadline.
	giveUpPart = 0.88
	// LongestDuration bounds what an order may ask for: what takes longer is not watched
	// over by the same processes.
	LongestDuration = 24 * time.Hour
	// ShortestDuration is the least time in which a version can be judged.
	ShortestDuration = 2 * time.Second
)

// Plan are the times of an order's steps, from the order on.
type Plan struct {
	// Load is when exposure gets dense, Shift when traffic begins to move if the
	// version is good.
	Load, Shift time.Duration
	// GiveUp is when a version that is not found good is rolled back.
	GiveUp time.Duration
	// Deadline is the end of the order's time.
	Deadline time.Duration
}

// NewPlan returns the plan of an order of the duration.
func NewPlan(duration time.Duration) Plan {
	part := func(share float64) time.Duration { return time.Duration(share * float64(duration)) }
	return Plan{
		Load:     part(canaryPart),
		Shift:    min(max(duration-shiftReserve, part(earliestShift)), part(latestShift)),
		GiveUp:   part(giveUpPart),
		Deadline: duration,
	}
}

// Invalid returns why an order can't be carried out; empty if it can.
func (o Order) Invalid() string {
	switch {
	case o.Target == "":
		return "no version"
	case o.Duration < ShortestDuration:
		return "the duration is too short to judge a version"
	case o.Duration > LongestDuration:
		return "the duration is too long"
	}
	return ""
}
