package placement

// Index ranks a fixed set of nodes for servers. It returns the same as the function Rank, but
// considers only the nodes in the server's zone if there are enough: with 3,600 nodes in 16 zones
// that is a sixteenth of the work.
type Index struct {
	all    []keyedNode
	byZone map[string][]keyedNode
}

// rankedNodes is the number of nodes that Rank returns.
const rankedNodes = 2

// NewIndex returns the index of a set of nodes, which must not change later.
func NewIndex(nodes []Node) *Index {
	index := &Index{all: withKeys(nodes), byZone: make(map[string][]keyedNode)}
	for _, node := range index.all {
		index.byZone[node.Zone] = append(index.byZone[node.Zone], node)
	}
	return index
}

// Rank returns the owner of a server and the second-ranked node, as the function Rank does.
func (index *Index) Rank(server Server) (first, second string) {
	if inZone := index.byZone[server.Zone]; len(inZone) >= rankedNodes {
		return rank(server, inZone)
	}
	return rank(server, index.all)
}
