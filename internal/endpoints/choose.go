package endpoints

import (
	"slices"
	"time"
)

// Choice is a server for one request together with what is expected of it.
type Choice struct {
	Endpoint *Endpoint
	// Server is the registry entry by which the choice was made.
	Server Server
	// Expected is the predicted time until the answer, round trip included.
	Expected time.Duration
	// LateAfter is the time after which the answer is taken for late.
	LateAfter time.Duration
	// Connecting is what a new connection adds, as long as there is no idle one.
	Connecting time.Duration
	// Delay is how long this node's own steps waited for the processor.
	Delay time.Duration
	// UnderWay is how many requests this node had at the server before.
	UnderWay int
	// BudgetLeft is what is left of the service's retry budget.
	BudgetLeft float64
	// Reserved is the start of the reservation, to be handed to Finish.
	Reserved time.Time
}

// Availability tells whether a server was chosen.
type Availability uint8

const (
	// Chosen is a server that has been reserved.
	Chosen Availability = iota
	// NoServer means that no other server takes requests.
	NoServer
	// Busy means that there are servers but this node's share of their
	// connections is in use.
	Busy
	// NoBudget means that the retry budget of the service is spent.
	NoBudget
)

var availabilityNames = [...]string{"chosen", "no_server", "busy", "no_budget"}

// String returns the name used in logs and metrics.
func (availability Availability) String() string { return availabilityNames[availability] }

// Demand is what a request asks of a server.
type Demand struct {
	Service string
	// Tried are the servers that are left out.
	Tried []*Endpoint
	// Extra sends, those beyond the first, are taken off the retry budget.
	Extra bool
	// Work is the learned time of work of such requests.
	Work *Estimate
	// Delay is how long this node's own steps wait for the processor.
	Delay time.Duration
	// Left is the time until the answer loses most of its value; it may be negative.
	Left time.Duration
}

// Choose reserves a server: the one with the least predicted time in the node's
// own region if that leaves time for another attempt, else the one with the
// least predicted time anywhere. Bytes between regions are dear, and an answer
// within the time left is not worth more for being earlier. Servers that lately
// failed come last. The reservation ends with Finish.
func (directory *Directory) Choose(demand Demand, now time.Time) (Choice, Availability) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	best, availability := directory.best(demand, now)
	switch {
	case availability != Chosen:
		return Choice{}, availability
	case demand.Extra && !directory.service(demand.Service).bucket.Take():
		return Choice{}, NoBudget
	}
	return directory.reserve(best, demand, now), Chosen
}

// Feasible reports whether some server is expected to answer in the time left. Where
// not even an idle server would, waiting for a better moment is of no use, and
// the answer is true.
func (directory *Directory) Feasible(demand Demand, now time.Time) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if demand.Work.Mean()+sameZoneRoundTrip > demand.Left {
		return true
	}
	return slices.ContainsFunc(directory.service(demand.Service).endpoints, func(endpoint *Endpoint) bool {
		return endpoint.open() && !endpoint.full(now) && !endpoint.backsOff(now) &&
			directory.expected(endpoint, demand, now) <= demand.Left
	})
}

// expected returns the predicted time until an answer, round trip included.
func (directory *Directory) expected(endpoint *Endpoint, demand Demand, now time.Time) time.Duration {
	return endpoint.predict(demand.Work.Mean(), now) + directory.travel(endpoint)
}

// travel returns the time of the round trip to the endpoint, a new connection
// included where there is no idle one.
func (directory *Directory) travel(endpoint *Endpoint) time.Duration {
	return directory.topology.RoundTrip(endpoint.Zone) + directory.connecting(endpoint)
}

// best returns the server with the least cost, or why there is none.
func (directory *Directory) best(demand Demand, now time.Time) (*Endpoint, Availability) {
	var best *Endpoint
	var bestCost time.Duration
	availability := NoServer
	for _, endpoint := range directory.service(demand.Service).endpoints {
		if !endpoint.open() || slices.Contains(demand.Tried, endpoint) {
			continue
		}
		if endpoint.full(now) {
			availability = Busy
			continue
		}
		cost := directory.cost(endpoint, demand, now)
		if best == nil || cost < bestCost {
			best, bestCost = endpoint, cost
		}
	}
	if best != nil {
		availability = Chosen
	}
	return best, availability
}

const (
	// backoffCost ranks servers that lately failed behind all others.
	backoffCost = time.Minute
	// farCost ranks servers of other regions behind near ones that are fast enough.
	farCost = 10 * time.Second
	// nearShare is the part of the time left within which a near server has to be
	// expected to answer to be preferred.
	nearShare = 0.5
	// slowNearShare is nearShare for slow servers: the budget does not last for a
	// hedge to each of their requests.
	slowNearShare = 0.25
)

func (directory *Directory) cost(endpoint *Endpoint, demand Demand, now time.Time) time.Duration {
	cost := directory.expected(endpoint, demand, now)
	if !directory.preferred(endpoint, demand, now) {
		cost += farCost
	}
	if endpoint.backsOff(now) {
		cost += backoffCost + endpoint.backoffUntil.Sub(now)
	}
	return cost
}

// preferred reports whether the server is near and fast enough to leave time for
// another attempt.
func (directory *Directory) preferred(endpoint *Endpoint, demand Demand, now time.Time) bool {
	share := nearShare
	if endpoint.currentSlowness(now) >= slowRatio {
		share = slowNearShare
	}
	return directory.topology.Near(endpoint.Zone) &&
		directory.expected(endpoint, demand, now) <= time.Duration(share*float64(demand.Left))
}

func (directory *Directory) reserve(endpoint *Endpoint, demand Demand, now time.Time) Choice {
	choice := Choice{
		Endpoint:   endpoint,
		Server:     endpoint.Server,
		Expected:   directory.expected(endpoint, demand, now),
		LateAfter:  directory.lateAfter(endpoint, demand, now),
		Connecting: directory.connecting(endpoint),
		Delay:      demand.Delay,
		UnderWay:   len(endpoint.underWay),
		BudgetLeft: directory.service(endpoint.Service).bucket.Tokens(),
		Reserved:   now,
	}
	endpoint.begin(now)
	return choice
}

// waitingSteps is how many times an attempt waits for this node's processor: to be
// sent and to be read.
const waitingSteps = 2

const (
	// hedgeMargin is what a hedge needs besides the times of work and travel.
	hedgeMargin = 10 * time.Millisecond
	// hedgeReserve is the part of the late time that is kept for a hedge's work.
	hedgeReserve = 1.5
)

// lateAfter returns when an answer is taken for late. Where only a server of
// another region could take over, that is as late as leaves time for it.
func (directory *Directory) lateAfter(endpoint *Endpoint, demand Demand, now time.Time) time.Duration {
	late := endpoint.lateAfter(demand.Work, now) + directory.travel(endpoint) + waitingSteps*demand.Delay
	if directory.hasNear(demand, endpoint, now) {
		return late
	}
	needed := time.Duration(hedgeReserve*float64(demand.Work.Late())) + directory.farTravel(demand, endpoint) + hedgeMargin
	return max(late, demand.Left-needed)
}

// farTravel returns the least travel to a server besides the one given and those
// tried, that of another region with an idle connection if there is no other.
func (directory *Directory) farTravel(demand Demand, except *Endpoint) time.Duration {
	least := time.Duration(0)
	for _, other := range directory.service(demand.Service).endpoints {
		if other == except || !other.open() || slices.Contains(demand.Tried, other) {
			continue
		}
		if travel := directory.travel(other); least == 0 || travel < least {
			least = travel
		}
	}
	return max(least, otherRegionRoundTrip)
}

// hasNear reports whether a preferred server is there besides the one given and
// those tried.
func (directory *Directory) hasNear(demand Demand, except *Endpoint, now time.Time) bool {
	return slices.ContainsFunc(directory.service(demand.Service).endpoints, func(other *Endpoint) bool {
		return other != except && other.open() && !other.backsOff(now) &&
			directory.preferred(other, demand, now) && !slices.Contains(demand.Tried, other)
	})
}

// maximumLateFactor bounds how much longer a slow server is waited for.
const maximumLateFactor = 2.0

func (endpoint *Endpoint) lateAfter(estimate *Estimate, now time.Time) time.Duration {
	factor := min(max(endpoint.currentSlowness(now), 1), maximumLateFactor)
	return time.Duration(float64(estimate.Late()) * factor)
}

// Open reports whether the endpoint still takes requests.
func (directory *Directory) Open(endpoint *Endpoint) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return endpoint.open() && directory.byID[endpoint.ID] == endpoint
}

// Result tells how a reserved request ended.
type Result uint8

const (
	// ResultAnswered is a whole answer.
	ResultAnswered Result = iota
	// ResultRefused is a refusal by the server: nothing ran.
	ResultRefused
	// ResultFailed is a connection that failed or bytes that are no answer.
	ResultFailed
	// ResultReset is a new connection that the server reset.
	ResultReset
	// ResultAbandoned is a request that was given up while under way.
	ResultAbandoned
	// ResultUnreachable is an address where nobody listens or answers.
	ResultUnreachable
	// ResultForeign is an address that belongs to another server by now: the one
	// that was meant has ended.
	ResultForeign
	// ResultUnused is a reservation that was never sent.
	ResultUnused
)

// Finish ends a reservation and learns from its result.
func (directory *Directory) Finish(choice Choice, estimate *Estimate, result Result, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	endpoint := choice.Endpoint
	endpoint.end(choice.Reserved)
	elapsed := now.Sub(choice.Reserved) - directory.topology.RoundTrip(endpoint.Zone) - choice.Connecting - waitingSteps*choice.Delay
	if result == ResultAnswered {
		estimate.observe(elapsed)
	}
	ratio := float64(elapsed) / float64(max(estimate.Mean(), time.Millisecond))
	switch result {
	case ResultAnswered:
		endpoint.succeeded(now)
		endpoint.learn(ratio, choice.Reserved, now)
	case ResultAbandoned:
		endpoint.learnAtLeast(ratio, choice.Reserved, now)
		if endpoint.silentSince(choice.Reserved) {
			endpoint.failed(now)
		}
	case ResultRefused:
		endpoint.refused(now)
	case ResultReset:
		endpoint.crowded(now)
	case ResultFailed:
		endpoint.failed(now)
	case ResultUnreachable:
		endpoint.failed(now)
		endpoint.backoffUntil = now.Add(maximumBackoff)
	case ResultForeign:
		endpoint.gone = true
	case ResultUnused:
	}
}
