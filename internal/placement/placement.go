package placement

import "github.com/cespare/xxhash/v2"

// Node is a live member that may own servers.
type Node struct {
	// ID names the member.
	ID   string
	Zone string
}

// Server is a back-end server, which one node owns.
type Server struct {
	Service string
	Name    string
	Zone    string
}

// Rank returns the IDs of the two highest-ranked nodes for a server: the owner, and the node that
// takes over when the owner cannot be reached. Nodes in the server's zone rank above all others.
// Within a zone the rank is by rendezvous hashing (Thaler and Ravishankar, 1998), so that a join or
// leave moves only the servers of the node that joined or left. A result is empty if there are too
// few nodes. The order of nodes does not matter.
func Rank(server Server, nodes []Node) (first, second string) {
	return rank(server, withKeys(nodes))
}

// keyedNode is a node with the hash of its ID.
type keyedNode struct {
	Node
	key uint64
}

func withKeys(nodes []Node) []keyedNode {
	keyed := make([]keyedNode, 0, len(nodes))
	for _, node := range nodes {
		keyed = append(keyed, keyedNode{Node: node, key: nodeKey(node.ID)})
	}
	return keyed
}

func rank(server Server, nodes []keyedNode) (first, second string) {
	key := serverKey(server)
	var best, next candidate
	for index := range nodes {
		node := &nodes[index]
		contender := candidate{
			id:     node.ID,
			inZone: node.Zone == server.Zone,
			weight: weight(key, node.key),
		}
		switch {
		case contender.ranksAbove(best):
			best, next = contender, best
		case contender.ranksAbove(next):
			next = contender
		}
	}
	return best.id, next.id
}

// candidate is a node with its rank for one server; the zero value ranks below every node.
type candidate struct {
	id     string
	inZone bool
	weight uint64
}

func (candidate candidate) ranksAbove(other candidate) bool {
	if other.id == "" {
		return candidate.id != ""
	}
	if candidate.inZone != other.inZone {
		return candidate.inZone
	}
	if candidate.weight != other.weight {
		return candidate.weight > other.weight
	}
	return candidate.id < other.id
}

// keySeparator separates the parts of a hashed name; it cannot occur in the name of a service.
const keySeparator = "\x00"

func serverKey(server Server) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(server.Service)
	_, _ = digest.WriteString(keySeparator)
	_, _ = digest.WriteString(server.Name)
	return digest.Sum64()
}

func nodeKey(id string) uint64 {
	return xxhash.Sum64String(id)
}

// weight mixes the two hashes by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func weight(server, node uint64) uint64 {
	mixed := server ^ (node * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31)
}
