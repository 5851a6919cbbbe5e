package endpoints

import "time"

// Weights of one observation in the moving averages.
const (
	workWeight     = 0.05
	slownessWeight = 0.3
	// quantileStep moves the estimated quantile by this part of itself for each
	// observation, scaled by the quantile's complement.
	quantileStep = 0.15
	// hedgeQuantile is the quantile of the answer times after which a request is
	// taken for late.
	hedgeQuantile = 0.93
	// firstQuantileFactor is the quantile in units of the mean before observations.
	firstQuantileFactor = 2.0
)

// Estimate is the learned time of work of one class of requests: what a server
// of ordinary speed takes without queueing. Distances are left out.
type Estimate struct {
	mean     time.Duration
	quantile time.Duration
	// count is the number of observations, up to those after which each weighs workWeight.
	count int
	// left is how many answers of slow servers have been left out since the last one of
	// an ordinary server.
	left int
}

// NewEstimate returns an estimate that starts at the given mean.
func NewEstimate(mean time.Duration) *Estimate {
	return &Estimate{mean: mean, quantile: time.Duration(float64(mean) * firstQuantileFactor)}
}

// Mean returns the average time of work.
func (e *Estimate) Mean() time.Duration { return e.mean }

// Late returns the time of work after which a request is taken for late.
func (e *Estimate) Late() time.Duration { return e.quantile }

// longestLeft is how many answers of slow servers in a row are left out: where there are
// more, the requests take longer than they did, at all servers.
const longestLeft = 20

// observe takes one answer's time of work into account. What a slow server takes tells
// nothing of the others: where a part of the servers is slow, hedges would leave too late
// and the slow ones would look ordinary.
func (e *Estimate) observe(work time.Duration, slow bool) {
	if work <= 0 {
		return
	}
	if slow && e.left < longestLeft {
		e.left++
		return
	}
	if !slow {
		e.left = 0
	}
	// The first observations weigh more: what the estimate started from is a guess.
	e.count = min(e.count+1, int(1/workWeight))
	weight := max(workWeight, 1/float64(e.count+1))
	e.mean += time.Duration(weight * float64(work-e.mean))
	step := quantileStep * float64(e.quantile)
	if work > e.quantile {
		e.quantile += time.Duration(step * hedgeQuantile)
	} else {
		e.quantile -= time.Duration(step * (1 - hedgeQuantile))
	}
	e.quantile = max(e.quantile, e.mean)
}
