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

// hedgeDelay returns when an answer is considered late. If only a server of another
// region could take over, the time depends on the retry budget left: with a full budget, it
// is when the server seems to have stalled; with none, it is the latest time that leaves
// enough for the other server; with a partial budget, it is between the two.
func (d *Directory) hedgeDelay(endpoint *Endpoint, criteria Criteria, now time.Time) time.Duration {
	late := endpoint.lateAfter(criteria.Estimate, now) + d.networkTime(endpoint) + schedulingDelays*criteria.SchedulingDelay
	alternativeTime := d.alternativeNetworkTime(criteria, endpoint, now)
	stalled := time.Duration(stallFactor*float64(criteria.Estimate.Mean())) + d.networkTime(endpoint)
	// While another attempt can still be in time, this one is waited for only up to that
	// point, but at least until it seems to have stalled.
	if needed := hedgeTime(criteria.Estimate.Mean(), alternativeTime); criteria.TimeLeft >= needed {
		late = min(late, max(criteria.TimeLeft-needed, stalled))
	}
	if d.hasLocalAlternative(criteria, endpoint, now) {
		return late
	}
	latest := max(late, criteria.TimeLeft-hedgeTime(criteria.Estimate.Quantile(), alternativeTime))
	earliest := min(max(late, stalled), latest)
	return latest - time.Duration(d.service(criteria.Service).retryBudget.RemainingRatio(d.budgetLimits, now)*float64(latest-earliest))
}

// hedgeTime returns the time that a hedge needs.
func hedgeTime(processing, network time.Duration) time.Duration {
	return time.Duration(hedgeReserve*float64(processing)) + network + hedgeMargin
}

// alternativeNetworkTime returns the least network time to another eligible server, but at
// least that of another region with an idle connection, which is also the result if there
// is none.
func (d *Directory) alternativeNetworkTime(criteria Criteria, except *Endpoint, now time.Time) time.Duration {
	least := time.Duration(0)
	for _, other := range d.service(criteria.Service).endpoints {
		if other == except || !d.eligible(other, criteria, now) {
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

// hasLocalAlternative reports whether there is a preferred server other than the given one and
// those tried.
func (d *Directory) hasLocalAlternative(criteria Criteria, except *Endpoint, now time.Time) bool {
	return slices.ContainsFunc(d.service(criteria.Service).endpoints, func(other *Endpoint) bool {
		return other != except && other.location.local && d.eligible(other, criteria, now) && !other.backingOff(now) &&
			preferred(other, d.expected(other, criteria, now), criteria.TimeLeft, now)
	})
}

// maxLateFactor bounds how much longer an answer of a slow server is waited for.
const maxLateFactor = 2.0

// lateAfter returns the processing time after which an answer of the server is late.
func (e *Endpoint) lateAfter(estimate *Estimate, now time.Time) time.Duration {
	factor := min(max(e.currentSlowness(now), 1), maxLateFactor)
	return time.Duration(float64(estimate.Quantile()) * factor)
}
