package endpoints

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one end of a request in the moving average of those
	// that failed: after one failure a server counts as failing 0.3 of its requests.
	failureWeight = 0.3
	// failureHalfLife is the time in which half of that is forgotten without further
	// requests: a node sends one or two a second to a server, and trouble of this sort
	// lasts for seconds. It doubles up to longestFailureHalfLife each time that the server
	// fails once more within failureMemory: each look at it costs a send of the retry
	// budget.
	failureHalfLife        = 3 * time.Second
	longestFailureHalfLife = 12 * time.Second
	failureMemory          = 10 * time.Second
	// recentHalfLife is the time in which half of what failed lately is forgotten.
	recentHalfLife = time.Second
	// unreliableShare is the share of failures from which a near server is not preferred
	// any more. It takes two good answers, or a half-life, after a single failure.
	unreliableShare = 0.16
	// leastFailureCost is what a failed attempt costs a request that has no time left:
	// about what a second attempt in another region takes.
	leastFailureCost = 100 * time.Millisecond
)

// failures is the share of a server's requests that fail though it is there: answers
// that are lost, reset, spoiled, or an error of its own. A request has two attempts at
// a shard, and a gathered one needs nearly all shards: where a part of the servers
// fails 0.4 of the requests, what counts is not to ask them first. The zero value has
// failed nothing.
type failures struct {
	share float64
	at    time.Time
	// halfLife is the time in which half of the share is forgotten, failedAt when the
	// server failed last.
	halfLife time.Duration
	failedAt time.Time
}

// note takes the end of a request into account.
func (f *failures) note(failed bool, now time.Time) {
	share := f.current(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
		f.remember(now)
	}
	f.share, f.at = share, now
}

// remember sets how long a failure is remembered.
func (f *failures) remember(now time.Time) {
	if now.Sub(f.failedAt) > failureMemory {
		f.halfLife = failureHalfLife
	} else {
		f.halfLife = min(2*f.halfLife, longestFailureHalfLife)
	}
	f.failedAt = now
}

// current returns the share of requests that are expected to fail.
func (f *failures) current(now time.Time) float64 {
	return f.kept(now, f.halfLife)
}

// recent returns the share of requests that failed lately.
func (f *failures) recent(now time.Time) float64 {
	return f.kept(now, recentHalfLife)
}

// kept returns what is left of the share where half of it is forgotten in so long.
func (f *failures) kept(now time.Time, halfLife time.Duration) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.at))/float64(max(halfLife, recentHalfLife)))
}

// cost returns what is expected to be lost by failures: the time until the target, as
// the attempt that takes over may be late.
func (f *failures) cost(left time.Duration, now time.Time) time.Duration {
	return time.Duration(f.current(now) * float64(max(left, leastFailureCost)))
}
