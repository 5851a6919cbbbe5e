package exchange

import (
	"math"

	"github.com/driftstage/driftstage/internal/endpoints"
)

// leastChance is the chance of a success from which a gathered request is always started.
// With a lower one it is drawn which are, in proportion: those that are started find out
// when servers refuse less. With 12 of 36 shards whose servers refuse 0.7 of all, 0.4 of the
// requests that failed are refused at once for it, and as much is served as without.
const leastChance = 0.7

// affordable reports whether a gathered request has a chance to become a success with what
// is left of the retry budgets of its shards, by what their servers have refused lately. A
// request that lacks budget at some shards spends in vain that of others, and its caller
// waits for nothing.
func (c *Core) affordable() bool {
	if !c.servers.Pressed() {
		return true
	}
	chances := make([]float64, len(c.plan.Services))
	for index, service := range c.plan.Services {
		chances[index] = answerChance(c.servers.Prospect(service))
	}
	return atLeast(chances, c.plan.LeastShards) > leastChance*c.plan.Spread
}

// answerChance returns the chance that a shard answers one of the sends that it has budget
// for.
func answerChance(prospect endpoints.Prospect) float64 {
	extra := min(max(math.Floor(prospect.Extra), 0), maximumRefused)
	return 1 - math.Pow(prospect.Failing, 1+extra)
}

// atLeast returns the chance that of independent events with the given chances at least
// so many come about.
func atLeast(chances []float64, least int) float64 {
	// exactly holds the chance of each number of events.
	exactly := make([]float64, len(chances)+1)
	exactly[0] = 1
	for index, chance := range chances {
		for count := index + 1; count > 0; count-- {
			exactly[count] = exactly[count]*(1-chance) + exactly[count-1]*chance
		}
		exactly[0] *= 1 - chance
	}
	sum := 0.0
	for _, chance := range exactly[least:] {
		sum += chance
	}
	return sum
}
