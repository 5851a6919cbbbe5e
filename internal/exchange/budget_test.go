package exchange

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
)

// A gathered request is started only if the retry budgets left at its shards make a success
// likely; otherwise it is refused at once, with nothing sent.
func TestGatheredRequestWithoutEnoughBudgetIsRefusedAtOnce(t *testing.T) {
	failing := func(retryBudget float64) endpoints.ServiceHealth {
		return endpoints.ServiceHealth{FailureRate: 0.6, RetryBudget: retryBudget}
	}
	reliable := endpoints.ServiceHealth{RetryBudget: 0}
	for _, test := range []struct {
		name  string
		shard endpoints.ServiceHealth
		least int
		// draw is the request's random number, 0 to 1.
		draw float64
		want bool
	}{
		{"nothing is refused", reliable, 4, 0.5, true},
		{"refusals, and budget for them", failing(5), 4, 0.5, true},
		{"refusals, and little budget", failing(0), 4, 0.5, false},
		{"refusals, and little budget, but few shards are needed", failing(0), 2, 0.5, true},
		{"refusals, and little budget, few shards needed, an unlucky draw", failing(0), 2, 0.9, false},
		{"refusals, little budget, a lucky draw", failing(0), 4, 0.02, true},
		{"refusals, and less than one send", failing(0.9), 4, 0.5, false},
		{"refusals, and more spent than allowed", failing(-3), 4, 0.5, false},
		{"low failure rate, and more spent than allowed", endpoints.ServiceHealth{FailureRate: 0.05, RetryBudget: -3}, 4, 0.5, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			services := []string{"a", "b", "c", "d"}
			servers := &fakeServers{servers: make(map[string]int), health: make(map[string]endpoints.ServiceHealth), shedding: true}
			for _, service := range services {
				servers.servers[service] = 3
				servers.health[service] = test.shard
			}
			plan := gatherPlan(services...)
			plan.LeastShards = test.least
			plan.Jitter = test.draw
			core := New(plan, servers)
			batch := core.Start(0)
			is.Equal(len(batch.Sends) == len(services), test.want)
			is.Equal(batch.Outcome == nil, test.want)
			if batch.Outcome != nil {
				is.Equal(batch.Outcome.Status, StatusRefused)
				is.Equal(batch.Outcome.Cause, CauseNoBudget)
				is.Equal(core.Sends(), 0)
			}
		})
	}
}

// Without recent refusals, requests are started whatever the recorded failure rates.
func TestRequestIsStartedOnceServersRefuseNothing(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 2}, health: map[string]endpoints.ServiceHealth{"a": {FailureRate: 1}}}
	is.Equal(len(New(gatherPlan("a"), servers).Start(0).Sends), 1)
}

// A request for one server wastes no budget of other shards: it is always sent.
func TestSingleServerRequestIsSentWhateverTheBudget(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 2}, health: map[string]endpoints.ServiceHealth{"a": {FailureRate: 1}}, shedding: true}
	is.Equal(len(New(singlePlan(false), servers).Start(0).Sends), 1)
}

func TestProbabilityAtLeast(t *testing.T) {
	for _, test := range []struct {
		probabilities []float64
		least         int
		want          float64
	}{
		{[]float64{0.5}, 1, 0.5},
		{[]float64{0.5, 0.5}, 1, 0.75},
		{[]float64{0.9, 0.5}, 2, 0.45},
		{[]float64{1, 1, 0}, 2, 1},
		{[]float64{0.2, 0.4, 0.6}, 0, 1},
	} {
		is.New(t).True(math.Abs(probabilityAtLeast(test.probabilities, test.least)-test.want) < 1e-9)
	}
}
