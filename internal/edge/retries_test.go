package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/retrybudget"
)

func TestDivideSlack(t *testing.T) {
	for _, test := range []struct {
		name  string
		slack float64
		count members.Count
		want  retryShares
	}{
		{"few nodes", 58, members.Count{All: 9, Settled: true}, retryShares{perNode: 58.0 / 11}},
		{"95 nodes", 250, members.Count{All: 95, Settled: true}, retryShares{perNode: 250.0 / 97}},
		{"more nodes than slack", 1040, members.Count{All: 985, Settled: true}, retryShares{perPool: 1040.0 / 25, pooled: true}},
		{"count not settled", 1040, members.Count{All: 985}, retryShares{perNode: 1040.0 / 987}},
		{"far more nodes than slack", 1040, members.Count{All: 3600, Settled: true}, retryShares{perPool: 1040.0 / 80, pooled: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(divideSlack(test.slack, test.count, 3), test.want)
		})
	}
}

// The shares of all nodes and pools add up to at most the slack, for any number of nodes.
func TestSharesDoNotExceedSlack(t *testing.T) {
	for nodes := 1; nodes < 5000; nodes += 7 {
		shares := divideSlack(1040, members.Count{All: nodes, Settled: true}, 3)
		pools := 3 + nodes/nodesPerPool
		if sum := float64(nodes)*shares.perNode + float64(pools)*shares.perPool; sum > 1040 {
			t.Fatalf("%d nodes: %f", nodes, sum)
		}
	}
}

// With 985 nodes, each node rarely gets a gather of 90 shards while servers refuse half of their
// requests. The slack is enough for all gathers only if it is available where it is needed.
func TestPooledSlackServesGathersAtHighRefusalRate(t *testing.T) {
	const nodes, shards, minAnswered, refusalRate = 985, 90, 86, 0.48
	const gathersPerSecond = 48
	served := func(shares retryShares) float64 {
		random := rand.New(rand.NewPCG(1, 2))
		start := time.Unix(1000, 0)
		limits := retrybudget.Limits{Capacity: shares.perNode}
		budgets := make([][shards]retrybudget.Budget, nodes)
		pools := make([]retrybudget.Pool, 1+nodes/nodesPerPool)
		for index := range pools {
			pools[index].SetLimits(shares.perPool, 10*time.Second)
			pools[index].Grant(nil, start.Add(-time.Minute))
		}
		complete := 0
		const gathers = 10 * gathersPerSecond
		for number := range gathers {
			now := start.Add(time.Duration(number) * time.Second / gathersPerSecond)
			node := random.IntN(nodes)
			answered := 0
			for shard := range shards {
				service := string(rune('a' + shard))
				budget := &budgets[node][shard]
				success := random.Float64() >= refusalRate
				for !success {
					if !budget.Take(limits, now) {
						granted := pools[node%len(pools)].Grant(retrybudget.SendCounts{service: 1}, now)
						budget.Grant(granted[service], now)
						if !budget.Take(limits, now) {
							break
						}
					}
					success = random.Float64() >= refusalRate
				}
				if success {
					answered++
				}
			}
			if answered >= minAnswered {
				complete++
			}
		}
		return float64(complete) / gathers
	}
	is := is.New(t)
	divided, pooled := served(retryShares{perNode: 1040.0 / 987}), served(divideSlack(1040, members.Count{All: nodes, Settled: true}, 3))
	t.Logf("served %.3f with the slack divided among nodes, %.3f from pools", divided, pooled)
	is.True(divided < 0.05)
	is.True(pooled > 0.9)
}

// When many servers and nodes start together, a node that can bootstrap from others leaves the burst
// of changes to the readers for its startup hold, and no longer.
func TestStartupBurstIsBatched(t *testing.T) {
	for _, test := range []struct {
		name      string
		changes   int
		age       time.Duration
		bootstrap bool
		want      time.Duration
	}{
		{"a few changes", burstSize - 1, time.Second, true, serversBatchDelay},
		{"a burst", burstSize, time.Second, true, minStartupHold - time.Second},
		{"a burst just before the end of the hold", burstSize, minStartupHold - time.Millisecond, true, serversBatchDelay},
		{"a burst after the hold", burstSize, minStartupHold, true, serversBatchDelay},
		{"a burst on a seed node", burstSize, time.Second, false, serversBatchDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(batchDelayAt(test.changes, test.age, minStartupHold, test.bootstrap), test.want)
		})
	}
}
