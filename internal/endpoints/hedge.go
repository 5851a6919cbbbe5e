package endpoints

import (
	"slices"
	"time"
)

const (
	// hedgeMargin is what a hedge needs besides the times of work and travel.
	hedgeMargin = 10 * time.Millisecond
	// hedgeReserve is the time that is kept for a hedge's work, in units of that work.
	hedgeReserve = 1.5
)

// lateAfter returns when an answer is taken for late. Where only a server of
// another region could take over, that is when the server seems to have stalled as
// long as there is plenty of retry budget, and as late as leaves time for the other
// one when there is none.
func (d *Directory) lateAfter(endpoint *Endpoint, demand Demand, now time.Time) time.Duration {
	late := endpoint.lateAfter(demand.Work, now) + d.travel(endpoint) + waitingSteps*demand.Delay
	farTravel := d.farTravel(demand, endpoint, now)
	stalled := time.Duration(stallFactor*float64(demand.Work.Mean())) + d.travel(endpoint)
	// While another attempt can be in time, this one is not waited for beyond that, but
	// until it seems to have stalled.
	if needed := hedgeTime(demand.Work.Mean(), farTravel); demand.Left >= needed {
		late = min(late, max(demand.Left-needed, stalled))
	}
	if d.hasNear(demand, endpoint, now) {
		return late
	}
	latest := max(late, demand.Left-hedgeTime(demand.Work.Late(), farTravel))
	earliest := min(max(late, stalled), latest)
	return latest - time.Duration(d.service(demand.Service).extra.Fullness(d.budget, now)*float64(latest-earliest))
}

// hedgeTime returns what a hedge needs.
func hedgeTime(work, travel time.Duration) time.Duration {
	return time.Duration(hedgeReserve*float64(work)) + travel + hedgeMargin
}

// farTravel returns the least travel to a server besides the one given and those
// tried, that of another region with an idle connection if there is no other.
func (d *Directory) farTravel(demand Demand, except *Endpoint, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, other := range d.service(demand.Service).endpoints {
		if other == except || !d.takes(other, demand, now) {
			continue
		}
		travel := d.travel(other)
		if travel <= otherRegionRoundTrip {
			return otherRegionRoundTrip
		}
		if least == 0 || travel < least {
			least = travel
		}
	}
	return max(least, otherRegionRoundTrip)
}

// hasNear reports whether a preferred server is there besides the one given and
// those tried.
func (d *Directory) hasNear(demand Demand, except *Endpoint, now time.Time) bool {
	return slices.ContainsFunc(d.service(demand.Service).endpoints, func(other *Endpoint) bool {
		return other != except && other.site.near && d.takes(other, demand, now) && !other.backsOff(now) &&
			preferred(other, d.expected(other, demand, now), demand.Left, now)
	})
}

// maximumLateFactor bounds how much longer a slow server is waited for.
const maximumLateFactor = 2.0

func (e *Endpoint) lateAfter(estimate *Estimate, now time.Time) time.Duration {
	factor := min(max(e.currentSlowness(now), 1), maximumLateFactor)
	return time.Duration(float64(estimate.Late()) * factor)
}
