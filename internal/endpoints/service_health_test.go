package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The expected failure rate of a service is that of its most reliable server and decays;
// extra sends reduce its retry budget.
func TestServiceHealthIsThatOfTheMostReliableServer(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	estimate := established(20 * time.Millisecond)
	is.Equal(directory.ServiceHealth("s", nil, epoch), ServiceHealth{RetryBudget: 10})
	near := choose(t, directory, newCriteria(estimate), epoch)
	directory.Finish(near, estimate, ResultRefused, epoch)
	is.Equal(directory.ServiceHealth("s", nil, epoch).FailureRate, 0.0) // the other one has refused nothing
	second := newCriteria(estimate, near.Endpoint)
	second.Extra = true
	directory.Finish(choose(t, directory, second, epoch), estimate, ResultRefused, epoch)
	is.Equal(directory.ServiceHealth("s", nil, epoch), ServiceHealth{FailureRate: failureWeight, RetryBudget: 9})
	is.True(directory.ServiceHealth("s", nil, epoch.Add(10*failureHalfLife)).FailureRate < 0.01)
}

// A service without servers is expected to fail all requests.
func TestServiceHealthWithoutServers(t *testing.T) {
	is.New(t).Equal(directoryOf().ServiceHealth("s", nil, epoch).FailureRate, 1.0)
}
