package endpoints

import (
	"slices"
	"time"
)

const (
	// silentServers is how many servers of a zone have to be silent with no sign of life
	// from any other there for the zone to be out of reach. Servers pause, hang or crash
	// one by one; a node asks a dozen of a near zone at a time.
	silentServers = 3
	// silenceTime is how long a request has to be under way to show that its server is
	// silent: longer than servers pause and than this node is busy now and then. Where a
	// request that was late already (after 40 to 90 ms) passed for silence, zones were
	// left out for moments, which cost 0.006 of what answers are worth.
	silenceTime = 250 * time.Millisecond
	// heardTime is for how long a sign of life shows that there is a way to a zone.
	heardTime = 500 * time.Millisecond
	// cutOffTime is how long nothing has to be heard of any other zone for this node to
	// be cut off. It is several times what a probe takes.
	cutOffTime = time.Second
)

// reach is what is known of the way to one zone.
type reach struct {
	// heardAt is when a server of the zone last gave a sign of life.
	heardAt time.Time
	// mute are the servers that have been silent since then.
	mute []string
}

// silent reports whether the zone is out of reach.
func (r *reach) silent() bool { return len(r.mute) >= silentServers }

// hear notes a sign of life.
func (r *reach) hear(now time.Time) {
	r.heardAt = now
	r.mute = nil
}

// noteMute notes that a server is silent.
func (r *reach) noteMute(id string) {
	if !r.silent() && !slices.Contains(r.mute, id) {
		r.mute = append(r.mute, id)
	}
}

func (d *Directory) reach(zone string) *reach {
	found := d.reaches[zone]
	if found == nil {
		found = &reach{}
		d.reaches[zone] = found
	}
	return found
}

// heard reports whether the result shows that there is a way to the server.
func (r Result) heard() bool {
	switch r {
	case ResultAnswered, ResultErred, ResultRefused, ResultReset, ResultForeign:
		return true
	}
	return false
}

// NoteHeard notes that there is a way to the zone.
func (d *Directory) NoteHeard(zone string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reach(zone).hear(now)
}

// OutOfReach reports whether there is no way to the zone of a server that a request
// waits for: its answer is not worth waiting for. A request that was sent before the
// zone's last sign of life, or only just, says nothing of that.
func (d *Directory) OutOfReach(endpoint *Endpoint, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	way := d.reach(endpoint.Zone)
	silent := func(sent time.Time) bool {
		return sent.After(way.heardAt) && now.Sub(sent) >= silenceTime
	}
	if slices.ContainsFunc(endpoint.underWay, silent) {
		way.noteMute(endpoint.ID)
	}
	return way.silent()
}

// SilentZones returns the zones that are out of reach, in order.
func (d *Directory) SilentZones() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var zones []string
	for zone, way := range d.reaches {
		if way.silent() {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// CutOff reports whether nothing is heard of any other zone than the node's own, as
// far as one is known to be out of reach.
func (d *Directory) CutOff(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	silent := false
	for zone, way := range d.reaches {
		if zone == d.topology.Own.Zone {
			continue
		}
		if now.Sub(way.heardAt) < cutOffTime {
			return false
		}
		silent = silent || way.silent()
	}
	return silent
}

// Probes returns a server of each zone of which nothing was heard lately, as long as one
// zone is out of reach: whether there is a way must be known without a request at stake,
// also to zones that no request happens to go to.
func (d *Directory) Probes(now time.Time) []Server {
	if len(d.SilentZones()) == 0 {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	byZone := make(map[string]Server)
	// The order of a map's keys is random: each time another server is asked.
	for _, endpoint := range d.byID {
		if now.Sub(d.reach(endpoint.Zone).heardAt) >= heardTime && endpoint.open() {
			byZone[endpoint.Zone] = endpoint.Server
		}
	}
	probes := make([]Server, 0, len(byZone))
	for _, server := range byZone {
		probes = append(probes, server)
	}
	return probes
}
