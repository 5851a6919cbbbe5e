package endpoints

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/routing"
)

// Evacuation asks for a zone to be emptied: its servers get nothing new until it ends.
// What they work on ends as it would.
type Evacuation struct {
	Zone string
}

// takes reports whether the server may get this request.
func (d *Directory) takes(endpoint *Endpoint, demand Demand, now time.Time) bool {
	return endpoint.open() && !endpoint.missed(now) && d.allowed(endpoint, demand.Route) &&
		!slices.Contains(demand.Tried, endpoint) && (demand.Only == nil || slices.Contains(demand.Only, endpoint))
}

// allowed reports whether requests of the route may be sent to where the server
// stands, and whether there is a way. A zone whose region is not known is in none of a route's regions.
func (d *Directory) allowed(endpoint *Endpoint, route *routing.Route) bool {
	if len(d.evacuated) > 0 && d.evacuated[endpoint.Zone] || endpoint.site.way.silent() {
		return false
	}
	if route == nil || len(route.Regions) == 0 {
		return true
	}
	region, known := d.topology.Regions[endpoint.Zone]
	return known && route.Allows(region)
}

// Evacuate sends nothing more to the servers of the zone.
func (d *Directory) Evacuate(zone string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.doubtedZones, zone)
	d.evacuated[zone] = true
}

// EndEvacuation lets the servers of the zone take requests again.
func (d *Directory) EndEvacuation(zone string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.doubtedZones, zone)
	d.readmit(zone, now)
}

// readmit ends the evacuation of a zone. Its servers are taken for cold, as after a
// start, if their service names a rate for that: they have done nothing for a while,
// and may have turned cold just before.
func (d *Directory) readmit(zone string, now time.Time) {
	if !d.evacuated[zone] {
		return
	}
	delete(d.evacuated, zone)
	d.readmitted[zone] = now
	for _, endpoint := range d.byID {
		owner := d.service(endpoint.Service)
		if endpoint.Zone == zone && owner.coldRate > 0 {
			endpoint.chill(owner.coldStart, now)
		}
	}
}

// SetEvacuated makes the zones the only ones whose servers get nothing new.
func (d *Directory) SetEvacuated(zones []string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for zone := range d.evacuated {
		if !slices.Contains(zones, zone) && !d.doubtsZone(zone, false) {
			d.readmit(zone, now)
		}
	}
	for _, zone := range zones {
		if !d.doubtsZone(zone, true) {
			delete(d.doubtedZones, zone)
			d.evacuated[zone] = true
		}
	}
}

// Evacuated returns the zones whose servers get nothing new, in order.
func (d *Directory) Evacuated() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	zones := make([]string, 0, len(d.evacuated))
	for zone := range d.evacuated {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}
