package placement

// Index ranks servers over one fixed set of nodes. It gives what Rank gives, but
// looks only at the nodes of the server's zone where these fill both ranks: at
// 3,600 nodes in 16 zones that is a sixteenth of the work.
type Index struct {
	all    []keyedNode
	byZone map[string][]keyedNode
}

// rankedNodes is how many ranks a zone's nodes must fill.
const rankedNodes = 2

// NewIndex returns the index of a set of nodes, which must not change later.
func NewIndex(nodes []Node) *Index {
	index := &Index{all: withKeys(nodes), byZone: make(map[string][]keyedNode)}
	for _, node := range index.all {
		index.byZone[node.Zone] = append(index.byZone[node.Zone], node)
	}
	return index
}

// Rank returns the owner of a server and the second-ranked node, as Rank does.
func (index *Index) Rank(server Server) (first, second string) {
	if near := index.byZone[server.Zone]; len(near) >= rankedNodes {
		return rank(server, near)
	}
	return rank(server, index.all)
}
