// Package retrybudget bounds the requests that are sent beyond the first one
// (hedges and retries) of each service.
//
// A bucket gains a fixed ratio of a token with each request and loses a whole
// token with each extra send. Its capacity bounds the extra sends of any window
// to capacity + ratio x requests of the window, whatever the window's length.
// With a capacity of slack / nodes, that holds for all nodes together too. A
// bucket starts empty, so that a restarted node does not spend a second time; it
// is filled once the process is older than the window in which sends are counted.
package retrybudget

import "time"

// Limits are the figures of all buckets of a node.
type Limits struct {
	// Ratio is the number of extra sends allowed for each request.
	Ratio float64
	// Capacity is the most tokens that a bucket saves up.
	Capacity float64
	// FillAt is when buckets that started empty are filled.
	FillAt time.Time
}

// Bucket counts the allowance of one service. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	filled bool
}

// Earn adds the allowance of one request.
func (b *Bucket) Earn(limits Limits, now time.Time) {
	if !b.filled && !now.Before(limits.FillAt) {
		b.filled = true
		b.tokens = limits.Capacity
	}
	b.tokens = min(b.tokens+limits.Ratio, limits.Capacity)
}

// Take spends one token and reports whether there was one.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund gives a token back that was spent on a send that came to nothing.
func (b *Bucket) Refund(limits Limits) {
	b.tokens = min(b.tokens+1, limits.Capacity)
}

// Fullness returns how full the bucket is, 0 to 1.
func (b *Bucket) Fullness(limits Limits) float64 {
	if limits.Capacity <= 0 {
		return 0
	}
	return min(b.tokens/limits.Capacity, 1)
}

// Tokens returns the allowance that is left.
func (b *Bucket) Tokens() float64 {
	return b.tokens
}
