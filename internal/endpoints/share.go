package endpoints

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// busyShare is the part of a server's connections that a single node may use
	// at a time. Nodes are not equally busy, and servers queue fewer requests than
	// they accept connections; where it is too much, servers reset connections and
	// the limit of the endpoint is cut.
	busyShare = 0.4
	// nearIdleShare and farIdleShare are the parts of a server's connections that
	// nodes of its region, and all others, may keep idle.
	nearIdleShare = 0.45
	farIdleShare  = 0.5
)

// NoLimit is the idle limit of servers whose connections are not bounded.
const NoLimit = -1

// Connections tells what connections to servers this node has.
type Connections interface {
	// HasIdle reports whether a request to the server needs no new connection.
	HasIdle(incarnation string) bool
}

// connectWork is what servers take to accept a connection, besides the round trip.
const connectWork = 5 * time.Millisecond

// connecting returns what a new connection to the endpoint adds; zero if there is
// an idle one.
func (d *Directory) connecting(endpoint *Endpoint) time.Duration {
	if d.connections == nil || d.connections.HasIdle(endpoint.incarnation) {
		return 0
	}
	return endpoint.site.roundTrip + connectWork
}

// ceiling returns how many requests the node may have at a server; 0 for no bound.
func (d *Directory) ceiling(server Server, maxConnections int) float64 {
	bound := d.slotCeiling(server.Slots)
	if maxConnections == 0 {
		return bound
	}
	connections := max(busyShare*float64(maxConnections), 1)
	if bound == 0 {
		return connections
	}
	return min(bound, connections)
}

// slotFactor is how many requests for each slot of a server the nodes of its region
// may have under way together: one that is worked on and one that waits.
const slotFactor = 2.0

// slotCeiling returns how many requests the node may have at a server of so many
// slots; 0 for no bound. No node fills a server alone, unless it has hardly any
// neighbors. What is more waits at the node, where it can still go to another server:
// in the server's queue it would wait for a slow or paused server to the end, and
// beyond the queue it is refused, which costs a retry.
func (d *Directory) slotCeiling(slots int) float64 {
	if slots == 0 {
		return 0
	}
	share := math.Ceil(slotFactor * float64(slots) / float64(max(d.sharers.Near, 1)))
	return max(float64(slots-1), share)
}

// IdleLimit returns how many idle connections the node may keep to the server.
// Where the nodes of a region have less than one each, every node keeps them to a
// subset of the service's servers there.
func (d *Directory) IdleLimit(server Server) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	share := d.idleShare(server)
	switch {
	case share < 0:
		return NoLimit
	case share >= 1:
		return int(share)
	case d.inSubset(server, share):
		return 1
	default:
		return 0
	}
}

// idleShare returns the node's part of the server's idle connections, negative
// if they are not bounded.
func (d *Directory) idleShare(server Server) float64 {
	maximum := float64(d.service(server.Service).maxConnections)
	switch {
	case maximum == 0:
		return NoLimit
	case d.topology.Near(server.Zone):
		return nearIdleShare * maximum / float64(max(d.sharers.Near, 1))
	default:
		return farIdleShare * maximum / float64(max(d.sharers.Far, 1))
	}
}

// inSubset reports whether the server is among those to which this node keeps a
// connection when its share of each is below one: the first ones in the node's
// own order, as many as the shares add up to. Each node has another order, so
// servers get about equally many nodes.
func (d *Directory) inSubset(server Server, share float64) bool {
	own := d.rank(server)
	near := d.topology.Near(server.Zone)
	peers, before := 0, 0
	for _, other := range d.service(server.Service).endpoints {
		if other.site.near != near {
			continue
		}
		peers++
		if other.site.rank > own {
			before++
		}
	}
	whole, part := math.Modf(share * float64(peers))
	return before < int(whole) || before == int(whole) && fraction(own) < part
}

// rank orders servers for this node (rendezvous hashing).
func (d *Directory) rank(server Server) uint64 {
	return xxhash.Sum64String(d.topology.Node + "\x00" + server.ID)
}

// fraction maps the low bits of a rank to 0 until 1, apart from its order.
func fraction(rank uint64) float64 {
	return float64(uint32(rank)) / (1 << 32)
}
