package rollout

import "time"

const (
	// The parts of an order's time after which the load stage, the shift stage and the move
	// of all traffic begin. Versions that turn bad at 8 of 12 s have to show it in the shift
	// stage (TestDrawnOrders); a move at 0.78 leaves 2.6 of 12 s for its end and for a store
	// that is away.
	loadPart  = 0.4
	shiftPart = 0.62
	wholePart = 0.78
	// shiftTime is the least time between the last two.
	shiftTime = 600 * time.Millisecond
	// loadTurns is how often the load stage turns to another server.
	loadTurns = 8
	// giveUpPart is the part of an order's time after which a version that has not been
	// found good is rolled back: the answer has to be written before the deadline.
	giveUpPart = 0.9
	// LongestDuration bounds what an order may ask for: what takes longer is not watched
	// over by the same processes.
	LongestDuration = 24 * time.Hour
	// ShortestDuration is the least time in which a version can be judged.
	ShortestDuration = 2 * time.Second
)

// Plan are the times of an order's steps, from the order on.
type Plan struct {
	// Load is when exposure gets dense, at one server at a time; Shift when all servers get
	// the rest of it; Whole when all traffic moves if the version is good.
	Load, Shift, Whole time.Duration
	// GiveUp is when a version that is not found good is rolled back.
	GiveUp time.Duration
	// Deadline is the end of the order's time.
	Deadline time.Duration
}

// NewPlan returns the plan of an order of the duration.
func NewPlan(duration time.Duration) Plan {
	part := func(share float64) time.Duration { return time.Duration(share * float64(duration)) }
	return Plan{
		Load:     part(loadPart),
		Shift:    part(shiftPart),
		Whole:    part(wholePart),
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

// Turn returns the turn of the load stage, from 0 to loadTurns-1.
func (p Plan) Turn(elapsed time.Duration) int {
	return min(int(loadTurns*progress(elapsed, p.Load, p.Shift)), loadTurns-1)
}

// progress returns which part of the time between two is over, 0 to 1.
func progress(now, begin, end time.Duration) float64 {
	return min(max(float64(now-begin)/float64(max(end-begin, 1)), 0), 1)
}
