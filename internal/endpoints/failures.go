package endpoints

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one request in the moving average of failures:
	// after one failure a server counts as failing 0.3 of its requests.
	failureWeight = 0.3
	// failureHalfLife is the half-life of the failure rate without further requests: a
	// node sends one or two per second to a server, and faults last for seconds. It
	// doubles up to maxFailureHalfLife each time that the server fails again within
	// failureRepeatWindow, because each attempt to find out costs an extra send of the
	// retry budget.
	failureHalfLife     = 3 * time.Second
	maxFailureHalfLife  = 12 * time.Second
	failureRepeatWindow = 10 * time.Second
	// recentHalfLife is the half-life of the recent failure rate.
	recentHalfLife = time.Second
	// unreliableRate is the failure rate from which a local server is no longer
	// preferred. After a single failure it takes two successes or one half-life to fall
	// below it.
	unreliableRate = 0.16
	// minFailureCost is the cost of a failed attempt for a request that has no time left:
	// about the time of a second attempt in another region.
	minFailureCost = 100 * time.Millisecond
)

// failures tracks the share of requests that a reachable server fails: answers that are
// lost, reset or corrupted, refusals, and errors of its own. A request has two attempts per
// shard, and a gathered request needs nearly all shards, so where some servers fail
// 0.4 of the requests it matters to send the first attempt elsewhere. The zero value has no
// failures.
type failures struct {
	rate      float64
	updatedAt time.Time
	// halfLife is the half-life of the rate, failedAt the time of the latest failure.
	halfLife time.Duration
	failedAt time.Time
}

// record takes the end of a request into account.
func (f *failures) record(failed bool, now time.Time) {
	rate := f.current(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
		f.updateHalfLife(now)
	}
	f.rate, f.updatedAt = rate, now
}

// updateHalfLife sets the half-life at a failure.
func (f *failures) updateHalfLife(now time.Time) {
	if now.Sub(f.failedAt) > failureRepeatWindow {
		f.halfLife = failureHalfLife
	} else {
		f.halfLife = min(2*f.halfLife, maxFailureHalfLife)
	}
	f.failedAt = now
}

// current returns the share of requests that are expected to fail.
func (f *failures) current(now time.Time) float64 {
	return f.decayed(now, f.halfLife)
}

// recent returns the share of requests that failed recently.
func (f *failures) recent(now time.Time) float64 {
	return f.decayed(now, recentHalfLife)
}

// decayed returns the rate after decay with the given half-life.
func (f *failures) decayed(now time.Time, halfLife time.Duration) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.updatedAt))/float64(max(halfLife, recentHalfLife)))
}

// cost returns the expected loss by failures: the time left until the target, because the
// attempt that follows a failed one may be late.
func (f *failures) cost(left time.Duration, now time.Time) time.Duration {
	return time.Duration(f.current(now) * float64(max(left, minFailureCost)))
}
