package endpoints

import (
	"slices"
	"time"
)

const (
	// hedgeMargin is the time that a hedge needs besides processing and network.
	hedgeMargin = 10 * time.Millisecond
	// hedgeReserve is the time reserved for the processing of a hedge, in units of the
	// processing time.
	hedgeReserve = 1.5
)

// lateAfter returns when an answer is considered late. If only a server of another
// region could take over, that is between two times, depending on the retry budget left:
// with a full budget when the server seems to have stalled, and with none as late as
// leaves time for the other server.
func (d *Directory) lateAfter(endpoint *Endpoint, demand Criteria, now time.Time) time.Duration {
	late := endpoint.lateAfter(demand.Estimate, now) + d.networkTime(endpoint) + schedulingDelays*demand.SchedulingDelay
	alternativeTime := d.alternativeNetworkTime(demand, endpoint, now)
	stalled := time.Duration(stallFactor*float64(demand.Estimate.Mean())) + d.networkTime(endpoint)
	// While another attempt can still be in time, this one is waited for only up to that
	// point, but at least until it seems to have stalled.
	if needed := hedgeTime(demand.Estimate.Mean(), alternativeTime); demand.TimeLeft >= needed {
		late = min(late, max(demand.TimeLeft-needed, stalled))
	}
	if d.hasLocalAlternative(demand, endpoint, now) {
		return late
	}
	latest := max(late, demand.TimeLeft-hedgeTime(demand.Estimate.Quantile(), alternativeTime))
	earliest := min(max(late, stalled), latest)
	return latest - time.Duration(d.service(demand.Service).extra.RemainingRatio(d.budget, now)*float64(latest-earliest))
}

// hedgeTime returns the time that a hedge needs.
func hedgeTime(processing, network time.Duration) time.Duration {
	return time.Duration(hedgeReserve*float64(processing)) + network + hedgeMargin
}

// alternativeNetworkTime returns the least network time to another eligible server, but at
// least that of another region with an idle connection, which is also the result if there
// is none.
func (d *Directory) alternativeNetworkTime(demand Criteria, except *Endpoint, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, other := range d.service(demand.Service).endpoints {
		if other == except || !d.eligible(other, demand, now) {
			continue
		}
		network := d.networkTime(other)
		if network <= otherRegionRoundTrip {
			return otherRegionRoundTrip
		}
		if least == 0 || network < least {
			least = network
		}
	}
	return max(least, otherRegionRoundTrip)
}

// hasLocalAlternative reports whether there is a preferred server besides the one given and
// those tried.
func (d *Directory) hasLocalAlternative(demand Criteria, except *Endpoint, now time.Time) bool {
	return slices.ContainsFunc(d.service(demand.Service).endpoints, func(other *Endpoint) bool {
		return other != except && other.location.local && d.eligible(other, demand, now) && !other.backingOff(now) &&
			preferred(other, d.expected(other, demand, now), demand.TimeLeft, now)
	})
}

// maxLateFactor bounds how much longer an answer of a slow server is waited for.
const maxLateFactor = 2.0

func (e *Endpoint) lateAfter(estimate *Estimate, now time.Time) time.Duration {
	factor := min(max(e.currentSlowness(now), 1), maxLateFactor)
	return time.Duration(float64(estimate.Quantile()) * factor)
}
