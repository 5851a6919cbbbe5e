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
	// Reserved is the start of the reservation, to be handed to Finish.
	Reserved time.Time
}

// Usable reports whether any server of the service takes new requests.
func (directory *Directory) Usable(name string) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return slices.ContainsFunc(directory.service(name).endpoints, func(endpoint *Endpoint) bool {
		return !endpoint.Draining
	})
}

// Availability tells whether a server was chosen.
type Availability uint8

const (
	// Chosen is a server that has been reserved.
	Chosen Availability = iota
	// NoServer means that no other server takes requests.
	NoServer
	// NoBudget means that the retry budget of the service is spent.
	NoBudget
)

// Choose reserves the server of the service with the least predicted time; the
// ones tried before are left out. Servers that lately failed come last. An extra
// send is taken off the retry budget. The reservation ends with Finish.
func (directory *Directory) Choose(name string, tried []*Endpoint, extra bool, estimate *Estimate, now time.Time) (Choice, Availability) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	best := directory.best(name, tried, estimate, now)
	switch {
	case best == nil:
		return Choice{}, NoServer
	case extra && !directory.service(name).bucket.Take():
		return Choice{}, NoBudget
	}
	return directory.reserve(best, estimate, now), Chosen
}

func (directory *Directory) best(name string, tried []*Endpoint, estimate *Estimate, now time.Time) *Endpoint {
	var best *Endpoint
	var bestCost time.Duration
	for _, endpoint := range directory.service(name).endpoints {
		if endpoint.Draining || endpoint.full() || slices.Contains(tried, endpoint) {
			continue
		}
		cost := directory.cost(endpoint, estimate, now)
		if best == nil || cost < bestCost {
			best, bestCost = endpoint, cost
		}
	}
	return best
}

// backoffCost ranks servers that lately failed behind all others.
const backoffCost = time.Minute

func (directory *Directory) cost(endpoint *Endpoint, estimate *Estimate, now time.Time) time.Duration {
	cost := endpoint.predict(estimate.Mean(), now) + directory.topology.cost(endpoint.Zone)
	if endpoint.backsOff(now) {
		cost += backoffCost + endpoint.backoffUntil.Sub(now)
	}
	return cost
}

func (directory *Directory) reserve(endpoint *Endpoint, estimate *Estimate, now time.Time) Choice {
	roundTrip := directory.topology.RoundTrip(endpoint.Zone)
	choice := Choice{
		Endpoint:  endpoint,
		Server:    endpoint.Server,
		Expected:  endpoint.predict(estimate.Mean(), now) + roundTrip,
		LateAfter: endpoint.lateAfter(estimate, now) + roundTrip,
		Reserved:  now,
	}
	endpoint.begin(now)
	return choice
}

// maximumLateFactor bounds how much longer a slow server is waited for.
const maximumLateFactor = 2.0

func (endpoint *Endpoint) lateAfter(estimate *Estimate, now time.Time) time.Duration {
	factor := min(max(endpoint.currentSlowness(now), 1), maximumLateFactor)
	return time.Duration(float64(estimate.Late()) * factor)
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
	// ResultAbandoned is a request that was given up while under way.
	ResultAbandoned
	// ResultForeign is an address that belongs to another server by now.
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
	elapsed := now.Sub(choice.Reserved) - directory.topology.RoundTrip(endpoint.Zone)
	ratio := float64(elapsed) / float64(max(estimate.Mean(), time.Millisecond))
	switch result {
	case ResultAnswered:
		endpoint.succeeded()
		endpoint.learn(ratio, now)
		estimate.observe(elapsed)
	case ResultAbandoned:
		endpoint.learnAtLeast(ratio, now)
	case ResultRefused:
		endpoint.refused(now)
	case ResultFailed:
		endpoint.failed(now)
	case ResultForeign:
		endpoint.backoffUntil = now.Add(maximumBackoff)
	case ResultUnused:
	}
}
