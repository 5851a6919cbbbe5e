package endpoints

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/routing"
)

// coldService is a service whose cold servers bear so many requests a second.
func coldService(t testing.TB, rate float64) *routing.Table {
	t.Helper()
	table, err := routing.NewTable(1, routing.Limits{}, []routing.Service{{Name: "s", ColdRate: rate, ColdStart: 3 * time.Second}}, nil)
	is.New(t).NoErr(err)
	return table
}

// coldServer is a server that has just started.
func coldServer(id string) Server {
	cold := server(id, "near-1")
	cold.ColdRemaining = time.Minute
	return cold
}

// nodeAmong is the directory of one of many nodes.
func nodeAmong(t testing.TB, name string, count int, rate float64, servers ...Server) *Directory {
	topology := testTopology()
	topology.Node = name
	directory := New(topology, nil)
	directory.Configure(coldService(t, rate), epoch)
	directory.Share(retrybudget.Limits{}, false, Sharers{Near: count, Settled: true}, epoch)
	for _, server := range servers {
		directory.Put(server, epoch)
	}
	return directory
}

// arrivals lets every node ask for the server each few milliseconds and returns when
// one was allowed.
func arrivals(t testing.TB, nodes []*Directory, span, step time.Duration) []time.Duration {
	var times []time.Duration
	for at := time.Duration(0); at < span; at += step {
		for _, node := range nodes {
			choice, found := node.Choose(demand(NewEstimate(20*time.Millisecond)), epoch.Add(at))
			if found == Chosen {
				times = append(times, at)
				node.Finish(choice, established(20*time.Millisecond), ResultAnswered, epoch.Add(at+time.Millisecond))
			}
		}
	}
	return times
}

// busiest returns the most arrivals within any window.
func busiest(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Nodes that say nothing to each other stay within a cold server's rate together, also
// where they disagree by a tenth on how many they are, and use a good part of it.
func TestColdServerGetsItsRateFromAllNodesTogether(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.IntRange(1, 150).Draw(r, "nodes")
		rate := rapid.Float64Range(8, 30).Draw(r, "rate")
		seed := rapid.Uint64().Draw(r, "seed")
		source := rand.New(rand.NewPCG(seed, 1))
		nodes := make([]*Directory, count)
		for index := range nodes {
			counted := max(int(float64(count)*(0.9+0.2*source.Float64())), 1)
			nodes[index] = nodeAmong(t, fmt.Sprint(seed, "-", index), counted, rate, coldServer("cold"))
		}
		const span = 20 * time.Second
		times := arrivals(t, nodes, span, 10*time.Millisecond)
		// Servers fail well above their rate: the users bound it at 1.5 times and 5 more.
		if most, bound := busiest(times, time.Second), 1.5*rate+5; float64(most) > bound {
			r.Fatalf("%d nodes sent %d requests within a second to a server that bears %.0f", count, most, rate)
		}
		if mean := float64(len(times)) / span.Seconds(); mean < 0.3*rate {
			r.Fatalf("%d nodes sent %.1f requests a second to a server that bears %.0f", count, mean, rate)
		}
	})
}

func TestRequestsGoPastColdServers(t *testing.T) {
	is := is.New(t)
	warm := server("warm", "far-1")
	directory := nodeAmong(t, "a", 60, 12, coldServer("cold"), warm)
	chosen := make(map[string]int)
	for at := time.Duration(0); at < 4*time.Second; at += 20 * time.Millisecond {
		now := epoch.Add(at)
		choice := choose(t, directory, demand(NewEstimate(20*time.Millisecond)), now)
		chosen[choice.Server.ID]++
		directory.Finish(choice, established(20*time.Millisecond), ResultAnswered, now.Add(time.Millisecond))
	}
	is.True(chosen["cold"] <= 1) // a turn each ten seconds
	is.True(chosen["warm"] >= 199)
}

func TestNodeThatHasNotCountedTheOthersSparesColdServers(t *testing.T) {
	is := is.New(t)
	directory := nodeAmong(t, "a", 1, 12, coldServer("cold"))
	directory.Share(retrybudget.Limits{}, false, Sharers{Near: 1}, epoch)
	_, found := directory.Choose(demand(NewEstimate(20*time.Millisecond)), epoch)
	is.Equal(found, Cold)
}

func TestServiceWithoutAColdRateIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	directory := nodeAmong(t, "a", 60, 0, coldServer("cold"))
	is.Equal(len(arrivals(t, []*Directory{directory}, time.Second, 10*time.Millisecond)), 100)
}

// A server that is known may turn cold again; the same entry told once more says nothing new.
func TestKnownServerTurnsCold(t *testing.T) {
	is := is.New(t)
	known := server("a", "near-1")
	directory := nodeAmong(t, "a", 60, 12, known)
	endpoint := directory.byID["a"]
	is.True(!endpoint.cold(epoch))
	known.ColdRemaining = 2 * time.Second
	directory.Put(known, epoch.Add(time.Second))
	is.True(endpoint.cold(epoch.Add(2500 * time.Millisecond)))
	directory.Put(known, epoch.Add(2*time.Second))
	is.True(!endpoint.cold(epoch.Add(3500 * time.Millisecond)))
}

// No rate that an operator may write stops the node.
func TestAnyColdRateHasTurns(t *testing.T) {
	for _, rate := range []float64{1e-300, 1e-9, 1, 1e9, 1e300} {
		directory := nodeAmong(t, "a", 60, rate, coldServer("cold"))
		_, elapsed := directory.turn(directory.byID["cold"], rate, epoch.Add(time.Minute))
		is.New(t).True(elapsed >= 0)
	}
}
