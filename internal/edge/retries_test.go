package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/retrybudget"
)

func TestSharesOfTheSlack(t *testing.T) {
	for _, test := range []struct {
		name  string
		slack float64
		count members.Count
		want  retryShares
	}{
		{"few nodes", 58, members.Count{All: 9, Settled: true}, retryShares{own: 58.0 / 11}},
		{"a hundred", 250, members.Count{All: 95, Settled: true}, retryShares{own: 250.0 / 97}},
		{"more nodes than slack", 1040, members.Count{All: 985, Settled: true}, retryShares{pool: 1040.0 / 25, pooled: true}},
		{"not counted yet", 1040, members.Count{All: 985}, retryShares{own: 1040.0 / 987}},
		{"far more nodes than slack", 1040, members.Count{All: 3600, Settled: true}, retryShares{pool: 1040.0 / 80, pooled: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(shareRetries(test.slack, test.count, 3), test.want)
		})
	}
}

// The parts of all nodes and pools add up to the slack at most, however many there are.
func TestSharesAddUpToTheSlack(t *testing.T) {
	for nodes := 1; nodes < 5000; nodes += 7 {
		shares := shareRetries(1040, members.Count{All: nodes, Settled: true}, 3)
		pools := 3 + nodes/nodesPerPool
		if sum := float64(nodes)*shares.own + float64(pools)*shares.pool; sum > 1040 {
			t.Fatalf("%d nodes: %f", nodes, sum)
		}
	}
}

// Many nodes see a gather of 90 shards now and then, while servers refuse half of what they get.
// The slack is enough for all of them, if it is where it is needed.
func TestGathersAreServedWhileServersRefuseHalf(t *testing.T) {
	const nodes, shards, least, refused = 985, 90, 86, 0.48
	const gathersPerSecond = 48
	served := func(shares retryShares) float64 {
		random := rand.New(rand.NewPCG(1, 2))
		start := time.Unix(1000, 0)
		window := retrybudget.Limits{Capacity: shares.own}
		budgets := make([][shards]retrybudget.Budget, nodes)
		pools := make([]retrybudget.Pool, 1+nodes/nodesPerPool)
		for index := range pools {
			pools[index].SetLimits(shares.pool, 10*time.Second)
			pools[index].Grant(nil, start.Add(-time.Minute))
		}
		whole := 0
		const gathers = 10 * gathersPerSecond
		for number := range gathers {
			now := start.Add(time.Duration(number) * time.Second / gathersPerSecond)
			node := random.IntN(nodes)
			answered := 0
			for shard := range shards {
				service := string(rune('a' + shard))
				budget := &budgets[node][shard]
				success := random.Float64() >= refused
				for !success {
					if !budget.Take(window, now) {
						granted := pools[node%len(pools)].Grant(retrybudget.SendCounts{service: 1}, now)
						budget.Grant(granted[service], now)
						if !budget.Take(window, now) {
							break
						}
					}
					success = random.Float64() >= refused
				}
				if success {
					answered++
				}
			}
			if answered >= least {
				whole++
			}
		}
		return float64(whole) / gathers
	}
	is := is.New(t)
	divided, pooled := served(retryShares{own: 1040.0 / 987}), served(shareRetries(1040, members.Count{All: nodes, Settled: true}, 3))
	t.Logf("served %.3f where each node has its part, %.3f from pools", divided, pooled)
	is.True(divided < 0.05)
	is.True(pooled > 0.9)
}

// Many servers and nodes start together: a node that others will tell leaves the burst of changes
// to them until it has counted them, and no longer.
func TestBurstOfChangesAtTheStartIsLeftToReaders(t *testing.T) {
	for _, test := range []struct {
		name    string
		changes int
		age     time.Duration
		told    bool
		want    time.Duration
	}{
		{"a few changes", manyChanges - 1, time.Second, true, serversSettle},
		{"a burst", manyChanges, time.Second, true, startHold - time.Second},
		{"a burst just before the end", manyChanges, startHold - time.Millisecond, true, serversSettle},
		{"a burst later on", manyChanges, startHold, true, serversSettle},
		{"a node that the others ask", manyChanges, time.Second, false, serversSettle},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(pauseAfterChanges(test.changes, test.age, startHold, test.told), test.want)
		})
	}
}
