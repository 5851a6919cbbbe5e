package overload

import "time"

const (
	// toleratedDelay is the delay up to which no request is refused: requests are late
	// by then, but the node keeps up.
	toleratedDelay = 400 * time.Millisecond
	// maxRefusalDelay is the delay from which nearly all requests are refused: beyond it,
	// the node would soon fall behind with changes of the configuration as well.
	maxRefusalDelay = 1600 * time.Millisecond
	// maxRefusalRatio is the largest share of requests that is refused: the admitted ones
	// show when the node has recovered.
	maxRefusalRatio = 0.95
	// clientRetryFactor reduces the share for requests that were refused before.
	clientRetryFactor = 0.5
)

// RefusalRatio returns the share of requests to refuse, 0 to 1, at a scheduling delay of
// the node: none up to the tolerated delay, and then growing with the delay. Requests
// that have been refused before are refused less often.
func RefusalRatio(delay time.Duration, clientRetry bool) float64 {
	share := float64(delay-toleratedDelay) / float64(maxRefusalDelay-toleratedDelay)
	share = min(max(share, 0), maxRefusalRatio)
	if clientRetry {
		share *= clientRetryFactor
	}
	return share
}
