package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestIndexMatchesRank(t *testing.T) {
	zones := rapid.SampledFrom([]string{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]Node, rapid.IntRange(0, 12).Draw(t, "nodes"))
		for number := range nodes {
			nodes[number] = Node{ID: fmt.Sprint("node-", number), Zone: zones.Draw(t, "zone")}
		}
		server := Server{Service: "s", Name: rapid.String().Draw(t, "server"), Zone: zones.Draw(t, "server zone")}
		first, second := NewIndex(nodes).Rank(server)
		wantFirst, wantSecond := Rank(server, nodes)
		if first != wantFirst || second != wantSecond {
			t.Fatalf("got %q and %q, want %q and %q", first, second, wantFirst, wantSecond)
		}
	})
}
