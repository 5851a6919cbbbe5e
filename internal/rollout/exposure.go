package rollout

import (
	"math"
	"time"
)

// Exposure bounds what one process sends to the target of one order, so that all
// processes together keep to the bounds without a word between them: each may send a
// share of its own requests, and its part of the slack. The zero value allows nothing.
// It reads no clock and is not safe for concurrent use.
type Exposure struct {
	limits   Limits
	requests uint32
	sent     uint32
}

// Limits are a process's part of what all may send.
type Limits struct {
	// Share of the process's own requests; stages allow parts of it.
	Share float64
	// Offset, 0 to 1, rounds the share: with offsets that are spread evenly over the
	// processes the sum is not rounded.
	Offset float64
	// Slack are the requests that are allowed besides: each becomes free when such a part
	// of the slack of all processes, 0 to 1, may be used.
	Slack []float64
}

// Parts of the bounds that may be used up to the end of a stage. What processes round,
// and count otherwise than the users do, has to fit into the rest; of the slack, processes
// that believe in a fifth too few of them use a quarter too much. Rounding needs slack:
// bounds without any may be exceeded by a send or two.
const (
	canaryShare = 0.4
	canarySlack = 0.48
	loadShare   = 0.8
	loadSlack   = 0.8
	shiftShare  = 0.95
	shiftSlack  = 0.8
	// evenLoad is the part of what the load stage adds that becomes free evenly, until
	// burstFrom, a part of the stage's time. The rest is free at once then: for a while
	// most requests go to one server, which works harder than it will have to. A version
	// that fails only under load shows it there, where it gets some 30 requests.
	evenLoad  = 0.5
	burstFrom = 0.75
	// spareSharers allows for processes that have just started.
	spareSharers = 2
)

// golden spreads the times at which parts of the slack become free: multiples of it,
// taken modulo one, never lie close together.
const golden = 0.6180339887498949

// NewLimits returns the part of the bounds of the process at a position, from 0, among
// so many. Without a position among them (a process younger than the order) it has no
// part of the slack.
func NewLimits(bounds Bounds, position, processes int, slack bool) Limits {
	sharers := processes + spareSharers
	limits := Limits{
		Share:  bounds.Share,
		Offset: (float64(position) + 0.5) / float64(sharers),
	}
	if !slack {
		return limits
	}
	total := bounds.Slack
	first := int(total * float64(position) / float64(sharers))
	end := int(total * float64(position+1) / float64(sharers))
	for index := first; index < end; index++ {
		_, part := math.Modf(golden * float64(index+1))
		limits.Slack = append(limits.Slack, part)
	}
	return limits
}

// Request counts a request of the service.
func (e *Exposure) Request() { e.requests++ }

// Take reports whether one more request may go to the target in the stage, and counts it.
func (e *Exposure) Take(stage Stage, plan Plan, elapsed time.Duration) bool {
	if float64(e.sent)+1 > e.allowed(stage, plan, elapsed) {
		return false
	}
	e.sent++
	return true
}

// Add counts a send that the stage allows whatever was sent before.
func (e *Exposure) Add() { e.sent++ }

// Refund takes a send back that has not reached a server.
func (e *Exposure) Refund() { e.sent-- }

// allowed returns how many sends the stage allows in all.
func (e *Exposure) allowed(stage Stage, plan Plan, elapsed time.Duration) float64 {
	share, slack := usable(stage, plan, elapsed)
	if share == 0 {
		return 0
	}
	allowed := math.Floor(share*e.limits.Share*float64(e.requests) + e.limits.Offset)
	for _, at := range e.limits.Slack {
		if at < slack {
			allowed++
		}
	}
	return allowed
}

// loaded returns which part of what the load stage adds is free at a part of its time.
func loaded(over float64) float64 {
	if over >= burstFrom {
		return 1
	}
	return evenLoad * over / burstFrom
}

// usable returns the parts of the share and of the slack that may be used. They grow
// evenly over the canary and the shift stage.
func usable(stage Stage, plan Plan, elapsed time.Duration) (share, slack float64) {
	between := func(from, to, over float64) float64 { return from + (to-from)*over }
	switch stage {
	case StageCanary:
		return canaryShare, canarySlack * progress(elapsed, 0, plan.Load)
	case StageLoad:
		over := loaded(progress(elapsed, plan.Load, plan.Shift))
		return between(canaryShare, loadShare, over), between(canarySlack, loadSlack, over)
	case StageShift:
		over := progress(elapsed, plan.Shift, plan.Whole)
		return between(loadShare, shiftShare, over), between(loadSlack, shiftSlack, over)
	}
	return 0, 0
}

// share returns the part of its requests that the process may send to the target.
func (e *Exposure) share(stage Stage, plan Plan, elapsed time.Duration) float64 {
	if stage == StageWhole {
		return 1
	}
	share, _ := usable(stage, plan, elapsed)
	return share * e.limits.Share
}
