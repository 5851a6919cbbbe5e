package endpoints

import "time"

// Weights of one observation in the moving averages.
const (
	meanWeight     = 0.05
	slownessWeight = 0.3
	// quantileStep is the fraction of the estimated quantile by which each observation
	// moves it, times hedgeQuantile if it moves up and times 1-hedgeQuantile if down.
	quantileStep = 0.15
	// hedgeQuantile is the quantile of the processing times after which a request is
	// considered late.
	hedgeQuantile = 0.93
	// initialQuantileFactor is the ratio of the quantile to the mean before any observation.
	initialQuantileFactor = 2.0
)

// Estimate is the learned processing time of one class of requests: the time that a
// server of ordinary speed takes, without queueing and network.
type Estimate struct {
	mean     time.Duration
	quantile time.Duration
	// count is the number of observations, up to those after which each weighs meanWeight.
	count int
	// skipped is how many answers of slow servers were skipped since the last answer of
	// an ordinary server.
	skipped int
}

// NewEstimate returns an estimate that starts at the given mean.
func NewEstimate(mean time.Duration) *Estimate {
	return &Estimate{mean: mean, quantile: time.Duration(float64(mean) * initialQuantileFactor)}
}

// Mean returns the average processing time.
func (e *Estimate) Mean() time.Duration { return e.mean }

// Quantile returns the processing time after which a request is considered late.
func (e *Estimate) Quantile() time.Duration { return e.quantile }

// maxSkipped is how many answers of slow servers in a row are skipped. If there are more,
// the requests take longer than before at all servers.
const maxSkipped = 20

// observe takes the processing time of one answer into account. Answers of slow servers
// are skipped: if some servers are slow, their answers would delay hedges and make slow
// servers look ordinary.
func (e *Estimate) observe(processing time.Duration, slow bool) {
	if processing <= 0 {
		return
	}
	if slow && e.skipped < maxSkipped {
		e.skipped++
		return
	}
	if !slow {
		e.skipped = 0
	}
	// The first observations weigh more because the initial mean is a guess.
	e.count = min(e.count+1, int(1/meanWeight))
	weight := max(meanWeight, 1/float64(e.count+1))
	e.mean += time.Duration(weight * float64(processing-e.mean))
	step := quantileStep * float64(e.quantile)
	if processing > e.quantile {
		e.quantile += time.Duration(step * hedgeQuantile)
	} else {
		e.quantile -= time.Duration(step * (1 - hedgeQuantile))
	}
	e.quantile = max(e.quantile, e.mean)
}
