package endpoints

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/routing"
)

// takes reports whether the server may get this request.
func (d *Directory) takes(endpoint *Endpoint, demand Demand, now time.Time) bool {
	return endpoint.open() && !endpoint.missed(now) && d.allowed(endpoint, demand.Route) &&
		!slices.Contains(demand.Tried, endpoint)
}

// allowed reports whether requests of the route may be sent to where the server
// stands. A zone whose region is not known is in none of a route's regions.
func (d *Directory) allowed(endpoint *Endpoint, route *routing.Route) bool {
	if route == nil || len(route.Regions) == 0 {
		return true
	}
	region, known := d.topology.Regions[endpoint.Zone]
	return known && route.Allows(region)
}
