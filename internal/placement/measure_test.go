package placement_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/driftstage/driftstage/internal/placement"
)

// scenario is a deployment size at which placement is measured.
type scenario struct {
	name    string
	nodes   int
	zones   int
	servers []placement.Server
	// shards is the number of shards of the service that is queried.
	shards int
	// Upper bounds of the results of Rank.
	largestOverMean, movesOverMinimum float64
}

// services returns count services of the given number of servers each, spread over zones. The
// servers of one replica column are adjacent and in one zone: each replica of a shard is in another
// column.
func services(prefix string, count, servers, zones int) []placement.Server {
	var all []placement.Server
	columns := min(zones, replicas)
	for service := range count {
		for index := range servers {
			column := index * columns / servers
			all = append(all, placement.Server{
				Service: fmt.Sprintf("%s-%d", prefix, service),
				Name:    fmt.Sprintf("server-%04d", index),
				Zone:    fmt.Sprintf("zone-%d", (column*(zones/columns)+service)%zones),
			})
		}
	}
	return all
}

const replicas = 3

func scenarios() []scenario {
	gzebi := slices.Concat(services("app", 4, 4, 3), services("portal", 6, 4, 3), services("desk", 1, 25, 3), services("dues", 1, 15, 3))
	konferencelinjen := slices.Concat(services("search", 4, 4, 3), services("archive", 6, 4, 3), services("billing", 1, 20, 3), services("usage", 1, 10, 3))
	return []scenario{
		{name: "Gzebi today", nodes: 15, zones: 3, servers: gzebi, shards: 8, largestOverMean: 2.6, movesOverMinimum: 1.3},
		{name: "Konferencelinjen today", nodes: 15, zones: 3, servers: konferencelinjen, shards: 6, largestOverMean: 2.6, movesOverMinimum: 1.3},
		{name: "target", nodes: 3600, zones: 16, servers: services("index", 10, 1400, 16), shards: 466, largestOverMean: 4.5, movesOverMinimum: 1.3},
	}
}

// strategy returns the owner of each server, in the order of the servers.
type strategy struct {
	name   string
	assign func(servers []placement.Server, nodes []placement.Node) []string
}

// strategies are the strategy in use and the alternatives considered: groups of four adjacent
// servers with one owner, and rendezvous hashing with bounded loads (after Mirrokni, Thorup and
// Zadimoghaddam, 2018), where a server goes to the highest-ranked node whose load is less than a
// quarter above the mean of its zone.
func strategies() []strategy {
	return []strategy{
		{"rendezvous (in use)", func(servers []placement.Server, nodes []placement.Node) []string {
			return rendezvous(servers, nodes, 1)
		}},
		{"groups of 4", func(servers []placement.Server, nodes []placement.Node) []string {
			return rendezvous(servers, nodes, groupSize)
		}},
		{"bounded loads", func(servers []placement.Server, nodes []placement.Node) []string {
			return bounded(servers, nodes, 1)
		}},
		{"bounded, groups of 4", func(servers []placement.Server, nodes []placement.Node) []string {
			return bounded(servers, nodes, groupSize)
		}},
	}
}

const groupSize = 4

// group returns the server that represents a group of adjacent servers in one zone.
func group(servers []placement.Server, index, size int) placement.Server {
	first := index - index%size
	for servers[first].Service != servers[index].Service || servers[first].Zone != servers[index].Zone {
		first++
	}
	return servers[first]
}

func rendezvous(servers []placement.Server, nodes []placement.Node, size int) []string {
	index := placement.NewIndex(nodes)
	owners := make([]string, len(servers))
	for number := range servers {
		owners[number], _ = index.Rank(group(servers, number, size))
	}
	return owners
}

func bounded(servers []placement.Server, nodes []placement.Node, size int) []string {
	const allowance = 1.25
	byZone := make(map[string][]placement.Node)
	for _, node := range nodes {
		byZone[node.Zone] = append(byZone[node.Zone], node)
	}
	groups := make(map[string][]placement.Server)
	seen := make(map[placement.Server]bool)
	for number := range servers {
		representative := group(servers, number, size)
		if !seen[representative] {
			seen[representative] = true
			groups[representative.Zone] = append(groups[representative.Zone], representative)
		}
	}
	chosen := make(map[placement.Server]string)
	for zone, members := range groups {
		slices.SortFunc(members, func(a, b placement.Server) int { return strings.Compare(hashKey(a), hashKey(b)) })
		limit := int(math.Ceil(allowance * float64(len(members)) / float64(len(byZone[zone]))))
		load := make(map[string]int)
		for _, server := range members {
			available := slices.DeleteFunc(slices.Clone(byZone[zone]), func(node placement.Node) bool { return load[node.ID] >= limit })
			owner, _ := placement.Rank(server, available)
			chosen[server] = owner
			load[owner]++
		}
	}
	owners := make([]string, len(servers))
	for number := range servers {
		owners[number] = chosen[group(servers, number, size)]
	}
	return owners
}

func hashKey(server placement.Server) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(server.Service+"/"+server.Name))
}

func makeNodes(count, zones int) []placement.Node {
	var nodes []placement.Node
	for index := range count {
		nodes = append(nodes, placement.Node{ID: fmt.Sprintf("node-%04d", index), Zone: fmt.Sprintf("zone-%d", index%zones)})
	}
	return nodes
}

func largestOverMean(owners []string, nodes int) float64 {
	counts := make(map[string]int)
	largest := 0
	for _, owner := range owners {
		counts[owner]++
		largest = max(largest, counts[owner])
	}
	return float64(largest) * float64(nodes) / float64(len(owners))
}

func moved(before, after []string) int {
	count := 0
	for index := range before {
		if before[index] != after[index] {
			count++
		}
	}
	return count
}

// trials is the number of joins and leaves; the default is small to keep the test short.
var trials = flag.Int("trials", 3, "joins and leaves that are measured")

// movesOverMinimum returns the number of servers that change their owner, divided by the minimum: on
// a leave the servers of the node that leaves, on a join the mean number per node. Both are summed
// over the trials.
func movesOverMinimum(scenario scenario, assign func([]placement.Server, []placement.Node) []string, nodes []placement.Node, owners []string) (leave, join float64) {
	var leaveMoves, leaveMinimum, joinMoves, joinMinimum float64
	for trial := range *trials {
		leaver := nodes[trial*7919%len(nodes)]
		rest := slices.DeleteFunc(slices.Clone(nodes), func(node placement.Node) bool { return node == leaver })
		leaveMoves += float64(moved(owners, assign(scenario.servers, rest)))
		for _, owner := range owners {
			if owner == leaver.ID {
				leaveMinimum++
			}
		}
		joiner := placement.Node{ID: fmt.Sprintf("joiner-%d", trial), Zone: fmt.Sprintf("zone-%d", trial%scenario.zones)}
		joinMoves += float64(moved(owners, assign(scenario.servers, append(slices.Clone(nodes), joiner))))
		joinMinimum += float64(len(scenario.servers)) / float64(len(nodes)+1)
	}
	return leaveMoves / leaveMinimum, joinMoves / joinMinimum
}

// queries is the number of queries for which owners are counted.
const queries = 20

// ownersPerQuery returns the mean number of owners that a query to the last service reaches: with
// one replica of each shard drawn at random, and with all from one column.
func ownersPerQuery(scenario scenario, owners []string) (random, column float64) {
	last := scenario.servers[len(scenario.servers)-1].Service
	first := slices.IndexFunc(scenario.servers, func(server placement.Server) bool { return server.Service == last })
	count := len(scenario.servers) - first
	perColumn := count / replicas
	source := rand.New(rand.NewPCG(1, 2))
	for trial := range queries {
		randomOwners, columnOwners := make(map[string]bool), make(map[string]bool)
		for shard := range scenario.shards {
			position := shard % perColumn
			randomOwners[owners[first+source.IntN(replicas)*perColumn+position]] = true
			columnOwners[owners[first+trial%replicas*perColumn+position]] = true
		}
		random += float64(len(randomOwners)) / queries
		column += float64(len(columnOwners)) / queries
	}
	return random, column
}

// Balance, moves and owners per query at the present sizes and at the target size; the bounds apply
// to the strategy in use. `go test -v -run PlacementMeasured -trials 20` prints the table of the
// documentation.
func TestPlacementMeasured(t *testing.T) {
	for _, scenario := range scenarios() {
		nodes := makeNodes(scenario.nodes, scenario.zones)
		t.Logf("%s: %d servers, %d nodes, %d zones", scenario.name, len(scenario.servers), scenario.nodes, scenario.zones)
		for number, strategy := range strategies() {
			owners := strategy.assign(scenario.servers, nodes)
			balance := largestOverMean(owners, len(nodes))
			leave, join := movesOverMinimum(scenario, strategy.assign, nodes, owners)
			random, column := ownersPerQuery(scenario, owners)
			t.Logf("%-22s largest/mean %.2f, moves/minimum: leave %.2f, join %.2f, owners per query of %d shards: any replica %.1f, one column %.1f",
				strategy.name, balance, leave, join, scenario.shards, random, column)
			if number > 0 {
				continue
			}
			if balance > scenario.largestOverMean || leave > 1 || join > scenario.movesOverMinimum {
				t.Errorf("%s: largest/mean %.2f, moves over minimum %.2f and %.2f", scenario.name, balance, leave, join)
			}
		}
	}
}

// BenchmarkIndex ranks all servers of the target size again, as after a change of members.
func BenchmarkIndex(b *testing.B) {
	target := scenarios()[2]
	nodes := makeNodes(target.nodes, target.zones)
	for b.Loop() {
		rendezvous(target.servers, nodes, 1)
	}
}
