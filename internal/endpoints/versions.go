package endpoints

import (
	"time"

	"github.com/driftstage/driftstage/internal/rollout"
)

// candidate returns the server as rollouts see it.
func (e *Endpoint) candidate() rollout.Candidate {
	return rollout.Candidate{ID: rollout.ServerID(e.incarnation), Version: e.Version, Created: e.Created}
}

func (c Choice) candidate() rollout.Candidate { return c.Endpoint.candidate() }

// updateUnreachable records whether anything answers at the server's address.
func (e *Endpoint) updateUnreachable(result Result) {
	switch {
	case result == ResultUnreachable:
		e.unreachable = true
	case result.responded():
		e.unreachable = false
	}
}

// admit returns the versions to which a request may be sent.
func (d *Directory) admit(criteria Criteria, now time.Time) rollout.Admission {
	if d.versions == nil {
		return rollout.Admission{}
	}
	attempt := rollout.Attempt{Service: criteria.Service, Extra: criteria.Extra, Repeatable: criteria.Route == nil || criteria.Route.Repeatable}
	return d.versions.Admit(attempt, d.withSuspension(now))
}

// currentlyAdmitted returns the servers of a service that may get requests according to
// the rollout orders known now.
func (d *Directory) currentlyAdmitted(service string) []*Endpoint {
	if d.versions == nil {
		return d.service(service).endpoints
	}
	return d.admitted(service, d.versions.DefaultAdmission(service, time.Now()))
}

// admitted returns the servers of a service that the admission allows.
func (d *Directory) admitted(service string, admission rollout.Admission) []*Endpoint {
	all := d.service(service).endpoints
	if d.versions == nil || admission.AllowsAll(sameVersion(all)) {
		return all
	}
	allowed := d.allowedByOrders(all, admission)
	switch {
	case admission.SingleServer():
		return firstRanked(allowed, admission)
	case admission.AllowsFallback() && !anyReachable(allowed):
		return all
	}
	return allowed
}

// sameVersion returns the version of the servers, and whether all have the same one.
func sameVersion(all []*Endpoint) (rollout.Version, bool) {
	for _, endpoint := range all {
		if endpoint.Version != all[0].Version {
			return "", false
		}
	}
	if len(all) == 0 {
		return "", true
	}
	return all[0].Version, true
}

// allowedByOrders returns the servers that the admission allows and that cannot belong to
// an order that is not known yet. A version counts as in use if the orders are known at
// least up to the creation of one of its servers; if there is none, the version of the oldest
// server does.
func (d *Directory) allowedByOrders(all []*Endpoint, admission rollout.Admission) []*Endpoint {
	inUse := make(map[rollout.Version]bool)
	var oldest *Endpoint
	for _, endpoint := range all {
		if !admission.NewerThanOrders(endpoint.candidate()) {
			inUse[endpoint.Version] = true
		}
		if oldest == nil || endpoint.Created < oldest.Created {
			oldest = endpoint
		}
	}
	if len(inUse) == 0 && oldest != nil {
		inUse[oldest.Version] = true
	}
	var allowed []*Endpoint
	for _, endpoint := range all {
		candidate := endpoint.candidate()
		known := inUse[endpoint.Version] || admission.IsTarget(candidate)
		if known && admission.Allows(candidate) {
			allowed = append(allowed, endpoint)
		}
	}
	return allowed
}

// firstRanked returns the serving server with the lowest rank in the admission. The ranks of a
// turn are the same at all nodes.
func firstRanked(allowed []*Endpoint, admission rollout.Admission) []*Endpoint {
	var first []*Endpoint
	for _, endpoint := range allowed {
		if !endpoint.serving() {
			continue
		}
		if first == nil || admission.Rank(rollout.ServerID(endpoint.ID)) < admission.Rank(rollout.ServerID(first[0].ID)) {
			first = []*Endpoint{endpoint}
		}
	}
	return first
}

// anyReachable reports whether one of the servers accepts requests and answers.
func anyReachable(servers []*Endpoint) bool {
	for _, endpoint := range servers {
		if endpoint.serving() && !endpoint.unreachable {
			return true
		}
	}
	return false
}

// withSuspension adds the total time for which the machine has been suspended: permissions
// to send to new versions expire meanwhile.
func (d *Directory) withSuspension(now time.Time) time.Time {
	if d.suspended == nil {
		return now
	}
	return now.Add(d.suspended())
}

// recordSample reports the result of a request to the comparison of versions. The elapsed
// time includes what the server's reported pace explains, as the version itself may be slow.
func (d *Directory) recordSample(choice Choice, estimate *Estimate, result Result, elapsed time.Duration, now time.Time) {
	if d.versions == nil {
		return
	}
	sample := rollout.Sample{Result: outcome(result), Cold: choice.Endpoint.cold(now)}
	sample.LatencyRatio = float64(elapsed) / float64(max(estimate.Mean(), time.Millisecond))
	d.versions.End(choice.candidate(), choice.Admission, choice.Route, sample, d.withSuspension(now))
}

// outcome returns what a result means for the version of its server.
func outcome(result Result) rollout.Outcome {
	switch result {
	case ResultAnswered:
		return rollout.OutcomeAnswered
	case ResultServerError, ResultRefused, ResultFailed, ResultReset, ResultUnreachable:
		return rollout.OutcomeFailed
	case ResultAbandoned:
		return rollout.OutcomeAbandoned
	case ResultNotSent:
		return rollout.OutcomeUnsent
	}
	return rollout.OutcomeNone
}

// Fleet counts the serving servers of an order's service by version.
func (d *Directory) Fleet(order rollout.Order) rollout.Fleet {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var fleet rollout.Fleet
	svc, found := d.services[order.Service]
	if !found {
		return fleet
	}
	for _, endpoint := range svc.endpoints {
		switch {
		case !endpoint.serving():
		case endpoint.Version != order.Target:
			fleet.Others++
		case endpoint.Created > order.ServersSince() || endpoint.Created == 0:
			fleet.New++
		default:
			fleet.Earlier++
		}
	}
	return fleet
}
