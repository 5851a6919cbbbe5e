package endpoints

import (
	"time"

	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/routing"
)

// Choice is a server chosen for one request together with what is expected of it.
type Choice struct {
	Endpoint *Endpoint
	// Server is the registry entry on which the choice was based, Incarnation identifies
	// its process.
	Server      Server
	Incarnation string
	// Expected is the predicted time until the answer, round trip included.
	Expected time.Duration
	// HedgeDelay is the time after which the answer is considered late.
	HedgeDelay time.Duration
	// ConnectTime is the time that a new connection adds; zero if there is an idle one.
	ConnectTime time.Duration
	// SchedulingDelay is how long this node's own steps wait for the CPU.
	SchedulingDelay time.Duration
	// InFlight is how many requests this node already had in flight at the server.
	InFlight int
	// BudgetLeft is what is left of the service's retry budget.
	BudgetLeft float64
	// ReservedAt is the start of the reservation, to be passed to Finish.
	ReservedAt time.Time
	// Admission is the version rule under which the server was chosen, Route the name of
	// the request's route.
	Admission rollout.Admission
	Route     string
}

// Availability tells whether a server was chosen.
type Availability uint8

const (
	// Chosen means that a server has been reserved.
	Chosen Availability = iota
	// NoServer means that no other server accepts requests.
	NoServer
	// Busy means that there are servers but this node's share of their
	// connections is in use.
	Busy
	// Cold means that there are servers, but they have just started and may not get a
	// request from this node now.
	Cold
	// NoBudget means that the retry budget of the service is exhausted.
	NoBudget
)

var availabilityNames = [...]string{"chosen", "no_server", "busy", "cold", "no_budget"}

// String returns the name used in logs and metrics.
func (a Availability) String() string { return availabilityNames[a] }

// Criteria describes the server that a request needs.
type Criteria struct {
	Service string
	// Route restricts the regions whose servers may get the request; nil for all.
	Route *routing.Route
	// Tried are the servers to exclude.
	Tried []*Endpoint
	// Only are the servers to choose from; nil for all.
	Only []*Endpoint
	// Extra sends, those after the first, are charged to the retry budget.
	Extra bool
	// Estimate is the learned processing time of such requests.
	Estimate *Estimate
	// SchedulingDelay is how long this node's own steps wait for the CPU.
	SchedulingDelay time.Duration
	// TimeLeft is the time until the answer loses most of its value; it may be negative.
	TimeLeft time.Duration
}

// Choose reserves a server: the one with the least predicted time in the node's
// own region if that leaves time for another attempt, else the one with the
// least predicted time anywhere. Traffic between regions is expensive, and an answer
// within the time left is not worth more for being earlier. Servers that recently
// failed come last. The reservation ends with Finish.
func (d *Directory) Choose(criteria Criteria, now time.Time) (Choice, Availability) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	admission := d.admit(criteria, now)
	best, availability := d.best(criteria, admission, now)
	if availability != Chosen && admission.IsTrial() {
		admission = d.versions.Decline(admission)
		best, availability = d.best(criteria, admission, now)
	}
	switch {
	case availability != Chosen:
		d.versions.Refund(admission)
		return Choice{}, availability
	case criteria.Extra && !d.takeExtra(criteria.Service, now):
		d.versions.Refund(admission)
		d.requestGrant(criteria.Service, now)
		return Choice{}, NoBudget
	}
	choice := d.reserve(best, criteria, now)
	choice.Admission = admission
	if criteria.Route != nil {
		choice.Route = criteria.Route.Name
	}
	d.versions.Begin(choice.candidate(), admission)
	return choice, Chosen
}

// expected returns the predicted time until an answer, round trip included.
func (d *Directory) expected(endpoint *Endpoint, criteria Criteria, now time.Time) time.Duration {
	return endpoint.predict(criteria.Estimate.Mean(), now) + d.networkTime(endpoint)
}

// networkTime returns the round-trip time to the endpoint, plus the time of a new
// connection if there is no idle one.
func (d *Directory) networkTime(endpoint *Endpoint) time.Duration {
	return endpoint.location.roundTrip + d.connectTime(endpoint)
}

// best returns the server with the least cost, or why there is none.
func (d *Directory) best(criteria Criteria, admission rollout.Admission, now time.Time) (*Endpoint, Availability) {
	var best *Endpoint
	var bestCost time.Duration
	availability := NoServer
	for _, endpoint := range d.admitted(criteria.Service, admission) {
		// remoteCost, added for servers of other regions, exceeds the cost of any good local server.
		if best != nil && bestCost < remoteCost && !endpoint.location.local || !d.eligible(endpoint, criteria, now) {
			continue
		}
		if !d.coldStartAllows(endpoint, now) {
			if availability == NoServer {
				availability = Cold
			}
			continue
		}
		if d.atCapacity(endpoint, now) {
			availability = Busy
			continue
		}
		cost := d.cost(endpoint, criteria, now)
		if best == nil || cost < bestCost {
			best, bestCost = endpoint, cost
		}
	}
	if best != nil {
		availability = Chosen
	}
	return best, availability
}

// atCapacity reports whether the server accepts no further request from this node now.
func (d *Directory) atCapacity(endpoint *Endpoint, now time.Time) bool {
	return endpoint.atLimit(now) || endpoint.connectPaused(now) && d.connectTime(endpoint) > 0
}

const (
	// backoffCost ranks servers that recently failed behind all others.
	backoffCost = time.Minute
	// remoteCost ranks servers of other regions behind local ones that are fast enough.
	remoteCost = 10 * time.Second
	// localShare is the fraction of the time left within which a local server has to be
	// expected to answer to be preferred.
	localShare = 0.5
	// slowLocalShare is localShare for slow servers: the retry budget does not cover a
	// hedge for each of their requests.
	slowLocalShare = 0.25
)

func (d *Directory) cost(endpoint *Endpoint, criteria Criteria, now time.Time) time.Duration {
	expected := d.expected(endpoint, criteria, now)
	cost := expected + endpoint.failures.cost(criteria.TimeLeft, now)
	if !preferred(endpoint, expected, criteria.TimeLeft, now) {
		cost += remoteCost
	}
	if endpoint.backingOff(now) {
		cost += backoffCost + endpoint.backoffUntil.Sub(now)
	}
	return cost
}

// preferred reports whether the server is local, reliable and, by its expected time, fast
// enough to leave time for another attempt.
func preferred(endpoint *Endpoint, expected, left time.Duration, now time.Time) bool {
	if !endpoint.location.local || endpoint.failures.current(now) >= unreliableRate {
		return false
	}
	share := localShare
	if endpoint.currentSlowness(now) >= slowRatio {
		share = slowLocalShare
	}
	return expected <= time.Duration(share*float64(left))
}

func (d *Directory) reserve(endpoint *Endpoint, criteria Criteria, now time.Time) Choice {
	choice := Choice{
		Endpoint:        endpoint,
		Server:          endpoint.Server,
		Incarnation:     endpoint.incarnation,
		Expected:        d.expected(endpoint, criteria, now),
		HedgeDelay:      d.hedgeDelay(endpoint, criteria, now),
		ConnectTime:     d.connectTime(endpoint),
		SchedulingDelay: criteria.SchedulingDelay,
		InFlight:        len(endpoint.inFlight),
		BudgetLeft:      d.service(endpoint.Service).retryBudget.Remaining(d.budgetLimits, now),
		ReservedAt:      now,
	}
	endpoint.begin(now)
	d.useColdTurn(endpoint, now)
	return choice
}

// schedulingDelays is how many times an attempt waits for this node's CPU: to be
// sent and to be read.
const schedulingDelays = 2

// Serving reports whether the endpoint still accepts requests.
func (d *Directory) Serving(endpoint *Endpoint) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return endpoint.serving() && d.byID[endpoint.ID] == endpoint && !d.evacuated[endpoint.Zone] &&
		!d.versions.Halted(endpoint.Service, endpoint.candidate())
}

// Result tells how a reserved request ended.
type Result uint8

const (
	// ResultAnswered is a complete answer.
	ResultAnswered Result = iota
	// ResultServerError is a complete answer that reports an error of the server.
	ResultServerError
	// ResultRefused is a refusal by the server: the request did not run.
	ResultRefused
	// ResultFailed is a failed connection or a malformed answer.
	ResultFailed
	// ResultReset is a new connection that the server reset.
	ResultReset
	// ResultAbandoned is a request that was given up while in flight.
	ResultAbandoned
	// ResultUnreachable is an address where nothing listens or answers.
	ResultUnreachable
	// ResultWrongServer is an address that now belongs to another server: the intended
	// one has ended.
	ResultWrongServer
	// ResultNotSent is a reservation whose request was never sent.
	ResultNotSent
)

// Finish ends a reservation and learns from its result.
func (d *Directory) Finish(choice Choice, estimate *Estimate, result Result, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	endpoint := choice.Endpoint
	endpoint.end(choice.ReservedAt)
	endpoint.updateUnreachable(result)
	if result.responded() {
		d.reachability(endpoint.Zone).recordResponse(now)
	}
	elapsed := now.Sub(choice.ReservedAt) - endpoint.location.roundTrip - choice.ConnectTime - schedulingDelays*choice.SchedulingDelay
	d.recordSample(choice, estimate, result, elapsed, now)
	// The part of the time that the reported pace explains is neither processing time nor
	// learned slowness.
	elapsed = time.Duration(float64(elapsed) / endpoint.pace.current(now))
	if result == ResultAnswered && !choice.Admission.IsTrial() {
		estimate.observe(elapsed, endpoint.learnedSlowness(now) >= slowRatio)
	}
	ratio := float64(elapsed) / float64(max(estimate.Mean(), time.Millisecond))
	if result == ResultAnswered || result == ResultRefused {
		d.refusals.add(result == ResultRefused, now)
	}
	switch result {
	case ResultAnswered:
		endpoint.succeeded(now)
		endpoint.failures.record(false, now)
		endpoint.learn(ratio, choice.ReservedAt, now)
	case ResultServerError:
		// The time until an error is not a processing time.
		endpoint.succeeded(now)
		endpoint.failures.record(true, now)
	case ResultAbandoned:
		endpoint.learnAtLeast(ratio, choice.ReservedAt, now)
		if endpoint.noResponseSince(choice.ReservedAt) {
			endpoint.failed(now)
		}
	case ResultRefused:
		endpoint.refused(now)
		endpoint.failures.record(true, now)
	case ResultReset:
		endpoint.connectionReset(now)
		endpoint.failures.record(true, now)
	case ResultFailed:
		endpoint.failed(now)
		endpoint.failures.record(true, now)
	case ResultUnreachable:
		endpoint.failed(now)
		endpoint.backoffUntil = now.Add(maxBackoff)
	case ResultWrongServer:
		endpoint.addressTaken = true
	case ResultNotSent:
	}
}
