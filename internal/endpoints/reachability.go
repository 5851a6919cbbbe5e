package endpoints

import (
	"slices"
	"time"
)

const (
	// minUnresponsive is how many servers of a zone have to be unresponsive, with no
	// response from any other server there, for the zone to be unreachable. Servers pause,
	// hang or crash one by one; a node has a dozen requests in flight to a zone of its
	// region at a time.
	minUnresponsive = 3
	// unresponsiveAfter is how long a request has to be in flight to show that its server is
	// unresponsive: longer than servers pause and than this node is occasionally busy.
	// When requests that were merely late (40 to 90 ms) counted, zones were briefly left
	// out, which cost 0.006 of the value of the answers.
	unresponsiveAfter = 250 * time.Millisecond
	// probeAfter is the time since its last response after which a zone may be probed.
	probeAfter = 500 * time.Millisecond
	// isolationTime is how long all other zones have to be without a response for this
	// node to be isolated. It is several times the duration of a probe.
	isolationTime = time.Second
)

// reachability tracks whether servers of one zone respond.
type reachability struct {
	// lastResponseAt is when a server of the zone last responded in any way.
	lastResponseAt time.Time
	// unresponsive are the IDs of the servers found unresponsive since then.
	unresponsive []string
}

// unreachable reports whether the zone is unreachable.
func (r *reachability) unreachable() bool { return len(r.unresponsive) >= minUnresponsive }

// recordResponse records a response from the zone.
func (r *reachability) recordResponse(now time.Time) {
	r.lastResponseAt = now
	r.unresponsive = nil
}

// addUnresponsive records that a server is unresponsive.
func (r *reachability) addUnresponsive(id string) {
	if !r.unreachable() && !slices.Contains(r.unresponsive, id) {
		r.unresponsive = append(r.unresponsive, id)
	}
}

func (d *Directory) reachability(zone string) *reachability {
	found := d.zones[zone]
	if found == nil {
		found = &reachability{}
		d.zones[zone] = found
	}
	return found
}

// responded reports whether the result shows that the server's zone is reachable.
func (r Result) responded() bool {
	switch r {
	case ResultAnswered, ResultServerError, ResultRefused, ResultReset, ResultWrongServer:
		return true
	}
	return false
}

// MarkReachable records that the zone is reachable.
func (d *Directory) MarkReachable(zone string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reachability(zone).recordResponse(now)
}

// ZoneUnreachable reports whether the zone of a server with a request in flight is unreachable,
// so that the answer is not worth waiting for. A request that was sent before the
// zone's last response, or too recently, is no evidence of that.
func (d *Directory) ZoneUnreachable(endpoint *Endpoint, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	zone := d.reachability(endpoint.Zone)
	unresponsive := func(sent time.Time) bool {
		return sent.After(zone.lastResponseAt) && now.Sub(sent) >= unresponsiveAfter
	}
	if slices.ContainsFunc(endpoint.inFlight, unresponsive) {
		zone.addUnresponsive(endpoint.ID)
	}
	return zone.unreachable()
}

// UnreachableZones returns the unreachable zones in sorted order.
func (d *Directory) UnreachableZones() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var zones []string
	for zone, state := range d.zones {
		if state.unreachable() {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Isolated reports whether this node is isolated: no zone other than its own responds, and
// at least one is known to be unreachable.
func (d *Directory) Isolated(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	unreachable := false
	for zone, state := range d.zones {
		if zone == d.topology.Self.Zone {
			continue
		}
		if now.Sub(state.lastResponseAt) < isolationTime {
			return false
		}
		unreachable = unreachable || state.unreachable()
	}
	return unreachable
}

// ProbeTargets returns a server of each zone without recent response while any zone is
// unreachable. Probes find out whether a zone is reachable without risking a request, also
// for zones that currently get no requests.
func (d *Directory) ProbeTargets(now time.Time) []Server {
	if len(d.UnreachableZones()) == 0 {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	byZone := make(map[string]Server)
	// Map iteration order is random, so each call picks another server.
	for _, endpoint := range d.byID {
		if now.Sub(d.reachability(endpoint.Zone).lastResponseAt) >= probeAfter && endpoint.serving() {
			byZone[endpoint.Zone] = endpoint.Server
		}
	}
	probes := make([]Server, 0, len(byZone))
	for _, server := range byZone {
		probes = append(probes, server)
	}
	return probes
}
