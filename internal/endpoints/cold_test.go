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

// coldService returns the table of a service with the given rate for cold servers.
func coldService(t testing.TB, rate float64) *routing.Table {
	t.Helper()
	table, err := routing.NewTable(1, routing.Limits{}, []routing.Service{{Name: "s", ColdRate: rate, ColdStart: 3 * time.Second}}, nil)
	is.New(t).NoErr(err)
	return table
}

// coldServer returns a server that has just started.
func coldServer(id string) Server {
	cold := server(id, "near-1")
	cold.ColdRemaining = time.Minute
	return cold
}

// newNode returns the directory of one of many nodes.
func newNode(t testing.TB, name string, count int, rate float64, servers ...Server) *Directory {
	topology := testTopology()
	topology.Node = name
	directory := New(topology, nil)
	directory.Configure(coldService(t, rate), epoch)
	directory.SetNodeLimits(retrybudget.Limits{}, false, NodeCounts{Local: count, Known: true}, epoch)
	for _, server := range servers {
		directory.Put(server, epoch)
	}
	return directory
}

// arrivals lets every node choose the server once per step and returns the times at which one
// was allowed to.
func arrivals(t testing.TB, nodes []*Directory, span, step time.Duration) []time.Duration {
	var times []time.Duration
	for at := time.Duration(0); at < span; at += step {
		for _, node := range nodes {
			choice, availability := node.Choose(newCriteria(NewEstimate(20*time.Millisecond)), epoch.Add(at))
			if availability == Chosen {
				times = append(times, at)
				node.Finish(choice, established(20*time.Millisecond), ResultAnswered, epoch.Add(at+time.Millisecond))
			}
		}
	}
	return times
}

// maxWithin returns the highest number of arrivals within any window.
func maxWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Without communication, all nodes together stay within a cold server's rate and use a good
// part of it, also if their counts of the nodes differ by a tenth.
func TestColdRateHoldsAcrossNodes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.IntRange(1, 150).Draw(r, "nodes")
		rate := rapid.Float64Range(8, 30).Draw(r, "rate")
		seed := rapid.Uint64().Draw(r, "seed")
		source := rand.New(rand.NewPCG(seed, 1))
		nodes := make([]*Directory, count)
		for index := range nodes {
			counted := max(int(float64(count)*(0.9+0.2*source.Float64())), 1)
			nodes[index] = newNode(t, fmt.Sprint(seed, "-", index), counted, rate, coldServer("cold"))
		}
		const span = 20 * time.Second
		times := arrivals(t, nodes, span, 10*time.Millisecond)
		// Servers fail well above their rate; the bound is 1.5 times the rate plus 5.
		if most, bound := maxWithin(times, time.Second), 1.5*rate+5; float64(most) > bound {
			r.Fatalf("%d nodes sent %d requests within a second to a server with a cold rate of %.0f", count, most, rate)
		}
		if mean := float64(len(times)) / span.Seconds(); mean < 0.3*rate {
			r.Fatalf("%d nodes sent %.1f requests per second to a server with a cold rate of %.0f", count, mean, rate)
		}
	})
}

func TestRequestsAvoidColdServers(t *testing.T) {
	is := is.New(t)
	warm := server("warm", "far-1")
	directory := newNode(t, "a", 60, 12, coldServer("cold"), warm)
	chosen := make(map[string]int)
	for at := time.Duration(0); at < 4*time.Second; at += 20 * time.Millisecond {
		now := epoch.Add(at)
		choice := choose(t, directory, newCriteria(NewEstimate(20*time.Millisecond)), now)
		chosen[choice.Server.ID]++
		directory.Finish(choice, established(20*time.Millisecond), ResultAnswered, now.Add(time.Millisecond))
	}
	is.True(chosen["cold"] <= 1) // one turn every ten seconds
	is.True(chosen["warm"] >= 199)
}

func TestNodeWithoutCountAvoidsColdServers(t *testing.T) {
	is := is.New(t)
	directory := newNode(t, "a", 1, 12, coldServer("cold"))
	directory.SetNodeLimits(retrybudget.Limits{}, false, NodeCounts{Local: 1}, epoch)
	_, availability := directory.Choose(newCriteria(NewEstimate(20*time.Millisecond)), epoch)
	is.Equal(availability, Cold)
}

func TestNoLimitWithoutColdRate(t *testing.T) {
	is := is.New(t)
	directory := newNode(t, "a", 60, 0, coldServer("cold"))
	is.Equal(len(arrivals(t, []*Directory{directory}, time.Second, 10*time.Millisecond)), 100)
}

// A known server may turn cold again; a repetition of the same entry changes nothing.
func TestKnownServerTurnsCold(t *testing.T) {
	is := is.New(t)
	known := server("a", "near-1")
	directory := newNode(t, "a", 60, 12, known)
	endpoint := directory.byID["a"]
	is.True(!endpoint.cold(epoch))
	known.ColdRemaining = 2 * time.Second
	directory.Put(known, epoch.Add(time.Second))
	is.True(endpoint.cold(epoch.Add(2500 * time.Millisecond)))
	directory.Put(known, epoch.Add(2*time.Second))
	is.True(!endpoint.cold(epoch.Add(3500 * time.Millisecond)))
}

// Guards against configured rates so extreme that the computation of turns fails.
func TestAnyColdRateHasTurns(t *testing.T) {
	for _, rate := range []float64{1e-300, 1e-9, 1, 1e9, 1e300} {
		directory := newNode(t, "a", 60, rate, coldServer("cold"))
		_, elapsed := directory.turn(directory.byID["cold"], rate, epoch.Add(time.Minute))
		is.New(t).True(elapsed >= 0)
	}
}
