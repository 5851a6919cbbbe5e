package rollout

import (
	"math"
	"time"
)

// Exposure bounds what one process sends to the target of one order, so that all processes
// together keep to the bounds without coordination: each may send a share of its own requests,
// and its part of the slack. The zero value allows nothing. It reads no clock and is not safe
// for concurrent use.
type Exposure struct {
	limits   Limits
	requests uint32
	sent     uint32
}

// Limits are a process's part of the bounds.
type Limits struct {
	// Share is the share of the process's own requests; stages allow fractions of it.
	Share float64
	// Offset, 0 to 1, is added to the number of allowed requests before it is rounded down: with
	// offsets that are spread evenly over the processes, the sum over all of them is not rounded.
	Offset float64
	// Slack are the requests that are allowed in addition: each becomes available once the
	// given fraction, 0 to 1, of the slack of all processes may be used.
	Slack []float64
}

// Fractions of the bounds that may be used up to the end of a stage. The rest covers rounding
// by the processes, and differences between their counts and those of the clients. Processes that
// underestimate their number by a fifth use a quarter too much of the slack. Rounding needs
// slack: bounds without any may be exceeded by an attempt or two.
const (
	canaryShare = 0.4
	canarySlack = 0.48
	loadShare   = 0.8
	loadSlack   = 0.8
	shiftShare  = 0.95
	shiftSlack  = 0.8
	// evenLoad is the fraction of what the load stage adds that becomes available evenly, until
	// burstFrom, a fraction of the stage's time. The rest becomes available at once then: for a
	// while most requests go to one server, which gets more load than after the rollout. A
	// version that fails only under load fails there, where it gets some 30 requests.
	evenLoad  = 0.5
	burstFrom = 0.75
	// spareProcesses allows for processes that have just started.
	spareProcesses = 2
)

// goldenRatio spreads the times at which the requests of the slack become available: multiples
// of it, taken modulo one, never lie close together.
const goldenRatio = 0.6180339887498949

// NewLimits returns the part of the bounds of the process at a position, from 0, among all
// processes. A process that is younger than the order had no position among them then and gets
// no part of the slack: withSlack is false.
func NewLimits(bounds Bounds, position, processes int, withSlack bool) Limits {
	sharers := processes + spareProcesses
	limits := Limits{
		Share:  bounds.Share,
		Offset: (float64(position) + 0.5) / float64(sharers),
	}
	if !withSlack {
		return limits
	}
	total := bounds.Slack
	first := int(total * float64(position) / float64(sharers))
	end := int(total * float64(position+1) / float64(sharers))
	for index := first; index < end; index++ {
		_, threshold := math.Modf(goldenRatio * float64(index+1))
		limits.Slack = append(limits.Slack, threshold)
	}
	return limits
}

// Request counts a request of the service.
func (e *Exposure) Request() { e.requests++ }

// Take reports whether one more request may go to the target in the stage, and counts it if so.
func (e *Exposure) Take(stage Stage, plan Plan, elapsed time.Duration) bool {
	if float64(e.sent)+1 > e.allowed(stage, plan, elapsed) {
		return false
	}
	e.sent++
	return true
}

// Add counts an attempt in a stage without bound.
func (e *Exposure) Add() { e.sent++ }

// Refund takes back an attempt that did not reach a server.
func (e *Exposure) Refund() { e.sent-- }

// allowed returns how many attempts the stage allows in total by now.
func (e *Exposure) allowed(stage Stage, plan Plan, elapsed time.Duration) float64 {
	share, slack := usable(stage, plan, elapsed)
	if share == 0 {
		return 0
	}
	allowed := math.Floor(share*e.limits.Share*float64(e.requests) + e.limits.Offset)
	for _, threshold := range e.limits.Slack {
		if threshold < slack {
			allowed++
		}
	}
	return allowed
}

// loadAvailable returns which fraction of what the load stage adds is available at a fraction
// of its time.
func loadAvailable(fraction float64) float64 {
	if fraction >= burstFrom {
		return 1
	}
	return evenLoad * fraction / burstFrom
}

// usable returns the fractions of the share and of the slack that may be used. They grow
// linearly over the canary and the shift stage.
func usable(stage Stage, plan Plan, elapsed time.Duration) (share, slack float64) {
	interpolate := func(from, to, fraction float64) float64 { return from + (to-from)*fraction }
	switch stage {
	case StageCanary:
		return canaryShare, canarySlack * progress(elapsed, 0, plan.Load)
	case StageLoad:
		fraction := loadAvailable(progress(elapsed, plan.Load, plan.Shift))
		return interpolate(canaryShare, loadShare, fraction), interpolate(canarySlack, loadSlack, fraction)
	case StageShift:
		fraction := progress(elapsed, plan.Shift, plan.Full)
		return interpolate(loadShare, shiftShare, fraction), interpolate(loadSlack, shiftSlack, fraction)
	}
	return 0, 0
}

// share returns the share of its requests that the process may send to the target.
func (e *Exposure) share(stage Stage, plan Plan, elapsed time.Duration) float64 {
	if stage == StageFull {
		return 1
	}
	share, _ := usable(stage, plan, elapsed)
	return share * e.limits.Share
}
