package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/exchange"
)

// Callers honor a third of the time that they have left; more would be cut, so that
// all came back at the same moment.
func TestRetryAfterByCauseAndTimeLeft(t *testing.T) {
	const left = 3 * time.Second
	for _, test := range []struct {
		cause            exchange.Cause
		left             time.Duration
		earliest, latest time.Duration
	}{
		{causeUnknown, left, 750 * time.Millisecond, time.Second},
		{exchange.CauseNoServers, left, 750 * time.Millisecond, time.Second},
		{exchange.CauseNoBudget, left, 300 * time.Millisecond, 800 * time.Millisecond},
		{exchange.CauseNodeOverloaded, left, 300 * time.Millisecond, 800 * time.Millisecond},
		{exchange.CauseNoBudget, 600 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond},
		{causeUnknown, 0, 750 * time.Millisecond, time.Second},
	} {
		is := is.New(t)
		seen := make(map[time.Duration]bool)
		for range 200 {
			after := retryAfter(test.cause, test.left)
			is.True(after >= test.earliest && after <= test.latest)
			seen[after] = true
		}
		is.True(test.earliest == test.latest || len(seen) > 50) // spread
	}
}
