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
	// Share of the process's own requests.
	Share float64
	// Offset, 0 to 1, rounds the share: with offsets that are spread evenly over the
	// processes the sum is not rounded.
	Offset float64
	// Slack are the times at which the requests that are allowed besides become free,
	// as parts of the exposure's time, 0 to 1.
	Slack []float64
}

const (
	// exposurePart is the part of the bounds that is used: what processes round, and
	// count otherwise than the users do, has to fit into the rest.
	exposurePart = 0.8
	// thinPart is the part of the share that the canary stage uses; the rest is kept for
	// the load stage.
	thinPart = 0.5
	// thinSlack is the part of the slack that becomes free in the canary stage.
	thinSlack = 0.6
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
		Share:  exposurePart * bounds.Share,
		Offset: (float64(position) + 0.5) / float64(sharers),
	}
	if !slack {
		return limits
	}
	total := exposurePart * bounds.Slack
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
	share, free := e.share(stage), 1.0
	switch {
	case stage < StageCanary:
		return 0
	case stage == StageCanary:
		free = thinSlack * min(float64(elapsed)/float64(max(plan.Load, 1)), 1)
	case stage == StageLoad:
		loaded := plan.loaded(elapsed)
		share *= thinPart + (1-thinPart)*loaded
		free = thinSlack + (1-thinSlack)*loaded
	}
	allowed := math.Floor(share*float64(e.requests) + e.limits.Offset)
	for _, at := range e.limits.Slack {
		if at <= free {
			allowed++
		}
	}
	return allowed
}

// share returns the part of the process's requests that the stage allows.
func (e *Exposure) share(stage Stage) float64 {
	switch stage {
	case StageWaiting:
		return 0
	case StageCanary:
		return thinPart * e.limits.Share
	case StageLoad:
		return e.limits.Share
	case StageShift:
		return shiftShare
	}
	return 1
}
