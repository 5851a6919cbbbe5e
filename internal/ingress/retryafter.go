package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/driftstage/driftstage/internal/exchange"
)

const (
	// soonest and soonSpread bound the pause where another node, or this one a
	// moment later, is likely to serve the request.
	soonest    = 300 * time.Millisecond
	soonSpread = 500 * time.Millisecond
	// honoredShare is the part of its time that a caller waits at the most before it
	// comes back.
	honoredShare = 1.0 / 3
	// latestShare is the part of that from which the pauses are drawn where no node
	// may be able to serve the request for a while.
	latestShare = 0.75
	// presumedLeft is the time left to callers that do not tell it.
	presumedLeft = 3 * time.Second
)

// causeUnknown is the refusal by a node that knows no configuration yet.
const causeUnknown exchange.Cause = "no configuration is known yet"

// retryAfter returns when a refused caller may come back, by what the refusal was
// for and the time that the caller has left. The times are spread so that callers
// do not come back together. Callers ask again only once or twice: a caller that
// comes back too soon after a cause that lasts has spent its last try.
func retryAfter(cause exchange.Cause, left time.Duration) time.Duration {
	if left <= 0 {
		left = presumedLeft
	}
	longest := time.Duration(honoredShare * float64(left))
	if !lasts(cause) {
		return min(soonest+rand.N(soonSpread), longest)
	}
	earliest := time.Duration(latestShare * float64(longest))
	return earliest + rand.N(longest-earliest+1)
}

// lasts reports whether other nodes are likely to refuse for the same cause: a
// store that is away tells nobody anything, and a service without servers has none
// anywhere.
func lasts(cause exchange.Cause) bool {
	return cause == causeUnknown || cause == exchange.CauseNoServers
}
