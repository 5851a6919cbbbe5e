package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/routing"
)

// idle is the set of servers to which there are idle connections.
type idle map[string]bool

func (i idle) HasIdle(incarnation string) bool { return i[incarnation] }

// sharedDirectory returns the directory of one of many nodes, with servers that
// accept the given number of connections.
func sharedDirectory(t *testing.T, node string, connections int, nodes NodeCounts, servers []Server) *Directory {
	t.Helper()
	topology := testTopology()
	topology.Node = node
	directory := New(topology, nil)
	table, err := routing.NewTable(1, routing.Limits{}, []routing.Service{{Name: "s", MaximumConnections: connections}}, nil)
	is.New(t).NoErr(err)
	directory.Configure(table, epoch)
	directory.SetNodeLimits(retrybudget.Limits{}, false, nodes, epoch)
	for _, server := range servers {
		directory.Put(server, epoch)
	}
	return directory
}

func TestRemoteConnectionsUseSubsets(t *testing.T) {
	is := is.New(t)
	const nodes, connections = 46, 67 // 0.73 per node and remote server
	remote := []Server{server("f1", "far-1"), server("f2", "far-1")}
	kept := make(map[string]int)
	for number := range nodes {
		directory := sharedDirectory(t, fmt.Sprint("node-", number), connections, NodeCounts{Local: 24, Remote: nodes}, remote)
		own := 0
		for _, server := range remote {
			limit := directory.IdleLimit(server)
			own += limit
			kept[server.ID] += limit
		}
		is.True(own >= 1) // each node has one to some server
	}
	for _, server := range remote {
		is.True(kept[server.ID] >= 27)
		is.True(kept[server.ID] <= 40) // 33.5 expected, besides 30 of the local nodes
	}
}

func TestLocalConnectionsOfVeryManyNodes(t *testing.T) {
	is := is.New(t)
	const nodes, connections = 300, 40
	local := []Server{server("n1", "near-1")}
	kept := 0
	for number := range nodes {
		kept += sharedDirectory(t, fmt.Sprint("node-", number), connections, NodeCounts{Local: nodes, Remote: 1}, local).IdleLimit(local[0])
	}
	is.True(kept >= 8)
	is.True(kept <= 30) // 18 expected
}

func TestServersWithAnIdleConnectionComeFirst(t *testing.T) {
	is := is.New(t)
	directory := New(testTopology(), idle{"b": true})
	directory.SetNodeLimits(retrybudget.Limits{Ratio: 1, Capacity: 10}, false, NodeCounts{Local: 1, Remote: 1}, epoch)
	for _, id := range []string{"a", "b", "c"} {
		directory.Put(server(id, "far-1"), epoch)
	}
	estimate := NewEstimate(20 * time.Millisecond)
	first := choose(t, directory, newCriteria(estimate), epoch)
	is.Equal(first.Server.ID, "b")
	is.Equal(first.ConnectTime, time.Duration(0))
	second := choose(t, directory, newCriteria(estimate, first.Endpoint), epoch)
	is.Equal(second.ConnectTime, otherRegionRoundTrip+acceptTime)
	is.Equal(second.Expected, first.Expected+second.ConnectTime)
}

// The time to establish a connection is not attributed to the server.
func TestNewConnectionsAreNoSlowness(t *testing.T) {
	is := is.New(t)
	directory := New(testTopology(), idle{})
	directory.Put(server("a", "far-1"), epoch)
	estimate := NewEstimate(20 * time.Millisecond)
	choice := choose(t, directory, newCriteria(estimate), epoch)
	now := epoch.Add(20*time.Millisecond + 2*otherRegionRoundTrip + acceptTime)
	directory.Finish(choice, estimate, ResultAnswered, now)
	is.Equal(choice.Endpoint.currentSlowness(now), 1.0)
	is.Equal(estimate.Mean(), 20*time.Millisecond)
}

func TestHedgeLeavesTimeForANewConnection(t *testing.T) {
	is := is.New(t)
	estimate := NewEstimate(20 * time.Millisecond)
	servers := []Server{server("near", "near-1"), server("far", "far-1")}
	late := func(connections ConnectionPool) time.Duration {
		directory := New(testTopology(), connections)
		for _, server := range servers {
			directory.Put(server, epoch)
		}
		return choose(t, directory, newCriteria(estimate), epoch).HedgeDelay
	}
	is.Equal(late(idle{"near": true, "far": true})-late(idle{"near": true}), otherRegionRoundTrip+acceptTime)
}

func TestServingUntilTheServerLeaves(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("a", "near-1"), server("b", "near-1"))
	first := choose(t, directory, newCriteria(NewEstimate(20*time.Millisecond)), epoch)
	is.True(directory.Serving(first.Endpoint))
	draining := first.Server
	draining.Draining = true
	directory.Put(draining, epoch)
	is.True(!directory.Serving(first.Endpoint))
	second := directory.byID["b"]
	is.True(directory.Serving(second))
	directory.Remove("b")
	is.True(!directory.Serving(second))
}
