package endpoints

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// inFlightShare is the fraction of a server's connections that a single node may use
	// at a time. Nodes are not equally busy, and servers queue fewer requests than
	// they accept connections; if it is too much, servers reset connections and
	// the limit of the endpoint is decreased.
	inFlightShare = 0.4
	// localIdleShare and remoteIdleShare are the fractions of a server's connections that
	// the nodes of its region, and all others, may keep idle.
	localIdleShare  = 0.45
	remoteIdleShare = 0.5
)

// NoLimit is the idle limit of servers whose connections are unlimited.
const NoLimit = -1

// ConnectionPool is the pool of this node's connections to servers.
type ConnectionPool interface {
	// HasIdle reports whether a request to the server needs no new connection.
	HasIdle(incarnation string) bool
}

// acceptTime is how long servers take to accept a connection, besides the round trip.
const acceptTime = 5 * time.Millisecond

// connectTime returns the time that a new connection to the endpoint adds; zero if there
// is an idle one.
func (d *Directory) connectTime(endpoint *Endpoint) time.Duration {
	if d.connections == nil || d.connections.HasIdle(endpoint.incarnation) {
		return 0
	}
	return endpoint.location.roundTrip + acceptTime
}

// inFlightLimit returns how many requests the node may have in flight at a server; 0 for no
// limit.
func (d *Directory) inFlightLimit(server Server, maxConnections int) float64 {
	limit := d.slotLimit(server.Slots)
	if maxConnections == 0 {
		return limit
	}
	connections := max(inFlightShare*float64(maxConnections), 1)
	if limit == 0 {
		return connections
	}
	return min(limit, connections)
}

// slotFactor is how many requests per slot of a server the nodes of its region
// may have in flight together: one that is processed and one that waits.
const slotFactor = 2.0

// slotLimit returns how many requests the node may have in flight at a server with the
// given slots; 0 for no limit. No node fills a server alone unless there are very few nodes in
// the region. Requests over the limit wait at the node, where they can still go to another
// server: in the queue of a slow or paused server they would wait to the end, and
// beyond the queue they are refused, which costs a retry.
func (d *Directory) slotLimit(slots int) float64 {
	if slots == 0 {
		return 0
	}
	share := math.Ceil(slotFactor * float64(slots) / float64(max(d.nodes.Local, 1)))
	return max(float64(slots-1), share)
}

// IdleLimit returns how many idle connections the node may keep to the server.
// If the nodes of a region are allowed less than one each, every node keeps connections to a
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

// idleShare returns the node's share of the server's idle connections, negative
// if they are unlimited.
func (d *Directory) idleShare(server Server) float64 {
	maximum := float64(d.service(server.Service).maxConnections)
	switch {
	case maximum == 0:
		return NoLimit
	case d.topology.SameRegion(server.Zone):
		return localIdleShare * maximum / float64(max(d.nodes.Local, 1))
	default:
		return remoteIdleShare * maximum / float64(max(d.nodes.Remote, 1))
	}
}

// inSubset reports whether the server is among those to which this node keeps a
// connection when its share of each is below one: the first ones in the node's
// own order, as many as the shares add up to. Each node has a different order, so
// each server gets connections from about equally many nodes.
func (d *Directory) inSubset(server Server, share float64) bool {
	own := d.rank(server)
	local := d.topology.SameRegion(server.Zone)
	peers, before := 0, 0
	for _, other := range d.service(server.Service).endpoints {
		if other.location.local != local {
			continue
		}
		peers++
		if other.location.rank > own {
			before++
		}
	}
	whole, part := math.Modf(share * float64(peers))
	return before < int(whole) || before == int(whole) && fraction(own) < part
}

// rank returns the server's rank in this node's own order (rendezvous hashing).
func (d *Directory) rank(server Server) uint64 {
	return xxhash.Sum64String(d.topology.Node + "\x00" + server.ID)
}

// fraction maps the low bits of a rank to [0, 1), independently of the order by rank.
func fraction(rank uint64) float64 {
	return float64(uint32(rank)) / (1 << 32)
}
