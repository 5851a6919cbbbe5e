package endpoints

import "time"

const (
	// warmFor is how long after a request a service is expected to get more.
	warmFor = 10 * time.Second
	// enoughNear is the number of near servers from which a hedge needs no other region.
	enoughNear = 2
)

// Unconnected returns servers of other regions to which a connection should be
// opened before one is needed: a hedge that has to wait for a new connection over
// such a distance comes too late. There is at most one for each service that was
// asked lately and that has no second server nearby.
func (d *Directory) Unconnected(now time.Time) []Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var wanted []Server
	for _, owner := range d.services {
		if owner.maxConnections == 0 || now.Sub(owner.askedAt) > warmFor {
			continue
		}
		if server, found := d.unconnected(owner, now); found {
			wanted = append(wanted, server)
		}
	}
	return wanted
}

// unconnected returns the first far server in this node's order; false if one is
// connected already or none is needed.
func (d *Directory) unconnected(owner *service, now time.Time) (Server, bool) {
	var first *Endpoint
	near := 0
	for _, endpoint := range owner.endpoints {
		switch {
		case !endpoint.open():
		case d.topology.Near(endpoint.Zone):
			near++
		case d.connections != nil && d.connections.HasIdle(endpoint.ID):
			return Server{}, false
		case endpoint.backsOff(now):
		case first == nil || d.rank(endpoint.Server) > d.rank(first.Server):
			first = endpoint
		}
	}
	if first == nil || near >= enoughNear || d.idleLimit(first.Server) == 0 {
		return Server{}, false
	}
	return first.Server, true
}
