package endpoints

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/routing"
)

// Evacuation drains a zone: its servers get no new requests until the evacuation ends.
// Requests in flight are completed.
type Evacuation struct {
	Zone string
}

// eligible reports whether the server may get this request.
func (d *Directory) eligible(endpoint *Endpoint, criteria Criteria, now time.Time) bool {
	return endpoint.serving() && !endpoint.expired(now) && d.allowed(endpoint, criteria.Route) &&
		!slices.Contains(criteria.Tried, endpoint) && (criteria.Only == nil || slices.Contains(criteria.Only, endpoint))
}

// allowed reports whether requests of the route may be sent to the server's zone, and whether
// the zone is reachable. A zone whose region is unknown is in none of a route's regions.
func (d *Directory) allowed(endpoint *Endpoint, route *routing.Route) bool {
	if len(d.evacuated) > 0 && d.evacuated[endpoint.Zone] || endpoint.location.reachability.unreachable() {
		return false
	}
	if route == nil || len(route.Regions) == 0 {
		return true
	}
	region, known := d.topology.Regions[endpoint.Zone]
	return known && route.AllowsRegion(region)
}

// Evacuate stops new requests to the servers of the zone.
func (d *Directory) Evacuate(zone string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.unconfirmedZones, zone)
	d.evacuated[zone] = true
}

// EndEvacuation allows requests to the servers of the zone again.
func (d *Directory) EndEvacuation(zone string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.unconfirmedZones, zone)
	d.readmit(zone, now)
}

// readmit ends the evacuation of a zone. Its servers are considered cold, as after a
// start, if their service has a rate for cold servers: they have been idle for a while and
// may have turned cold.
func (d *Directory) readmit(zone string, now time.Time) {
	if !d.evacuated[zone] {
		return
	}
	delete(d.evacuated, zone)
	d.readmitted[zone] = now
	for _, endpoint := range d.byID {
		svc := d.service(endpoint.Service)
		if endpoint.Zone == zone && svc.coldRate > 0 {
			endpoint.markCold(svc.coldStart, now)
		}
	}
}

// SetEvacuated replaces the set of evacuated zones.
func (d *Directory) SetEvacuated(zones []string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for zone := range d.evacuated {
		if !slices.Contains(zones, zone) && !d.isUnconfirmedZone(zone, false) {
			d.readmit(zone, now)
		}
	}
	for _, zone := range zones {
		if !d.isUnconfirmedZone(zone, true) {
			delete(d.unconfirmedZones, zone)
			d.evacuated[zone] = true
		}
	}
}

// Evacuated returns the evacuated zones in sorted order.
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
