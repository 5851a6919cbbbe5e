package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/driftstage/driftstage/internal/placement"
)

func drawNodes(t *rapid.T) []placement.Node {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 999), 0, 20, rapid.ID[int]).Draw(t, "ids")
	var nodes []placement.Node
	for _, id := range ids {
		zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
		nodes = append(nodes, placement.Node{ID: fmt.Sprintf("node-%d", id), Zone: zone})
	}
	return nodes
}

func zoneOf(nodes []placement.Node, id string) string {
	index := slices.IndexFunc(nodes, func(node placement.Node) bool { return node.ID == id })
	return nodes[index].Zone
}

// Rank does not depend on the order of nodes and prefers the zone. A leave moves only the servers
// that the node owned, to their second-ranked node.
func TestRankProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		server := placement.Server{Service: "s", Name: rapid.String().Draw(t, "name"), Zone: "a"}
		first, second := placement.Rank(server, nodes)

		shuffled := rapid.Permutation(nodes).Draw(t, "shuffled")
		if again, next := placement.Rank(server, shuffled); again != first || next != second {
			t.Fatalf("order matters: %q %q, then %q %q", first, second, again, next)
		}
		if (first == "") != (len(nodes) == 0) || (second == "") != (len(nodes) < 2) {
			t.Fatalf("%d nodes rank %q %q", len(nodes), first, second)
		}
		if len(nodes) < 2 {
			return
		}
		inZone := func(node placement.Node) bool { return node.Zone == server.Zone }
		if slices.ContainsFunc(nodes, inZone) && zoneOf(nodes, first) != server.Zone {
			t.Fatalf("owner %q is outside of zone %q", first, server.Zone)
		}

		leaver := rapid.SampledFrom(nodes).Draw(t, "leaver")
		rest := slices.DeleteFunc(slices.Clone(nodes), func(node placement.Node) bool { return node.ID == leaver.ID })
		after, _ := placement.Rank(server, rest)
		want := first
		if leaver.ID == first {
			want = second
		}
		if after != want {
			t.Fatalf("after %q left: owner %q, want %q", leaver.ID, after, want)
		}
	})
}

func TestRankWithoutNodes(t *testing.T) {
	is := is.New(t)
	first, second := placement.Rank(placement.Server{Name: "server"}, nil)
	is.Equal(first, "")
	is.Equal(second, "")
}
