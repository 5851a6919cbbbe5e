package endpoints

import (
	"math"
	"time"
)

const (
	// slownessHalfLife is the half-life of a server's learned slowness, after which a
	// slow server is tried again. It doubles up to maxSlownessHalfLife each time that the
	// server proves slow once more.
	slownessHalfLife    = 2 * time.Second
	maxSlownessHalfLife = 4 * time.Second
	// slowRatio is the ratio of actual to usual time from which an answer is slow.
	slowRatio = 3.0
	// maxSlowness limits the effect of a single stall.
	maxSlowness = 30.0
	// stallFactor is how many times its expected time a request may be in flight
	// before the server is considered stalled.
	stallFactor = 2.5
	// coldFactor is the slowness expected of a server that has just started.
	coldFactor = 1.6
	// initialBackoff is the backoff after a failed connection or an unanswered request;
	// it doubles up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// limitDecrease is the fraction of the requests in flight that remains allowed after
	// a server reset a new connection; limitIncrease is how many more are allowed per
	// second after that.
	limitDecrease = 0.5
	limitIncrease = 2.0
	// refusalBackoff is the backoff after a server refused work.
	refusalBackoff = 100 * time.Millisecond
	// connectPause is how long no new connection is opened to a server that has
	// reset one.
	connectPause = 100 * time.Millisecond
)

// Endpoint is a server together with what this node has learned of it. Its
// fields are guarded by the Directory's lock.
type Endpoint struct {
	Server
	// incarnation identifies the server's process.
	incarnation string
	// location is cached because each request reads it for each server.
	location location
	// limit bounds the requests in flight; 0 for unbounded.
	limit float64
	// maxLimit is the limit while the server resets no new connections.
	maxLimit   float64
	limitSetAt time.Time
	// inFlight are the start times of the requests in flight.
	inFlight          []time.Time
	slowness          float64
	slownessUpdatedAt time.Time
	halfLife          time.Duration
	// pace is the speed that the server reports. The learned slowness covers only what
	// the pace does not explain: servers that hang or report a wrong pace.
	pace pace
	// lastRatio is the latest observation that was independent of the one before it,
	// made at lastRatioAt.
	lastRatio   float64
	lastRatioAt time.Time
	coldUntil   time.Time
	// lastColdTurn is the latest of this node's turns in which it sent the server a
	// request while it was cold.
	lastColdTurn int64
	// consecutiveFailures counts failures in a row; failures tracks their share of requests.
	consecutiveFailures int
	failures            failures
	backoffUntil        time.Time
	// noConnectUntil is until when no new connection is opened.
	noConnectUntil time.Time
	// removeAt is when the server is removed unless it is listed again; zero while it is
	// listed.
	removeAt time.Time
	// addressTaken is set once another server has the address, unreachable while nothing
	// answers there.
	addressTaken, unreachable bool
	// lastResponseAt is when the server last responded in any way.
	lastResponseAt time.Time
}

func newEndpoint(server Server, now time.Time) *Endpoint {
	return &Endpoint{
		Server:            server,
		incarnation:       server.Incarnation(),
		slowness:          1,
		slownessUpdatedAt: now,
		halfLife:          slownessHalfLife,
		lastRatio:         1,
		coldUntil:         now.Add(server.ColdRemaining),
	}
}

// Incarnation identifies the server's process.
func (e *Endpoint) Incarnation() string { return e.incarnation }

// update applies a new registry entry of the same process. A changed cold time means that
// the server has turned cold again or still is.
func (e *Endpoint) update(server Server, now time.Time) {
	if server.ColdRemaining > 0 && server.ColdRemaining != e.ColdRemaining {
		e.markCold(server.ColdRemaining, now)
	}
	if e.Created > 0 {
		// An entry that expired and was created again belongs to the same server.
		server.Created = min(server.Created, e.Created)
	}
	server.Born = max(server.Born, e.Born)
	e.Server = server
	e.incarnation = server.Incarnation()
	e.removeAt = time.Time{}
}

// learnedSlowness returns the learned slowness after decay.
func (e *Endpoint) learnedSlowness(now time.Time) float64 {
	if e.slowness == 1 {
		return 1
	}
	age := now.Sub(e.slownessUpdatedAt)
	kept := math.Exp2(-float64(age) / float64(e.halfLife))
	return 1 + (e.slowness-1)*kept
}

// currentSlowness returns the expected ratio of the server's processing time to the usual
// one, from the pace that it reports and the learned slowness.
func (e *Endpoint) currentSlowness(now time.Time) float64 {
	slowness := e.learnedSlowness(now) * e.pace.current(now)
	if e.cold(now) {
		slowness = max(slowness, coldFactor)
	}
	return slowness
}

// learn moves the slowness toward one observed ratio of actual to usual time, of
// a request sent at the given time. A single observation may be a long request or
// a pause, so it has little weight; a second one that began after the first had
// ended has full weight.
func (e *Endpoint) learn(ratio float64, sent, now time.Time) {
	ratio = min(max(ratio, 0.25), maxSlowness)
	current := e.learnedSlowness(now)
	e.slowness = current + slownessWeight*(ratio-current)
	e.slownessUpdatedAt = now
	if sent.Before(e.lastRatioAt) {
		return
	}
	e.slowness = median(e.slowness, e.lastRatio, ratio)
	e.updateHalfLife(min(e.lastRatio, ratio))
	e.lastRatio, e.lastRatioAt = ratio, now
}

// updateHalfLife sets the half-life of the slowness from the lower of the two latest
// independent observations.
func (e *Endpoint) updateHalfLife(ratio float64) {
	if ratio < slowRatio {
		e.halfLife = slownessHalfLife
		return
	}
	e.halfLife = min(2*e.halfLife, maxSlownessHalfLife)
}

func median(a, b, c float64) float64 {
	return max(min(a, b), min(max(a, b), c))
}

// learnAtLeast learns from an abandoned request, whose true ratio is at least the one
// observed.
func (e *Endpoint) learnAtLeast(ratio float64, sent, now time.Time) {
	if ratio > e.learnedSlowness(now) {
		e.learn(ratio, sent, now)
	}
}

// predict returns the expected time until an answer, without the network.
func (e *Endpoint) predict(processing time.Duration, now time.Time) time.Duration {
	slowness := e.currentSlowness(now)
	if e.probing() {
		slowness = max(slowness, e.slowness*max(e.pace.reported, 1))
	}
	expected := float64(processing) * slowness
	predicted := time.Duration(expected * (1 + e.queueing()))
	if age := e.stalledFor(now); float64(age) > stallFactor*expected {
		predicted += age
	}
	return predicted
}

// sharedLoad is the delay at a server with all slots in use, besides its queue, as a
// fraction of the expected time: requests of other nodes are not visible, and nearly full
// servers are slower.
const sharedLoad = 0.25

// queueing returns the expected wait in units of the processing time.
func (e *Endpoint) queueing() float64 {
	slots := float64(max(e.Slots, 1))
	inFlight := float64(len(e.inFlight))
	queued := max(inFlight+1-slots, 0)
	return (sharedLoad*inFlight + queued) / slots
}

// stalledFor returns the age of the oldest request in flight since whose start the server has
// not responded to any request; zero if there is none. A late request merely takes long if
// the server has responded to others meanwhile.
func (e *Endpoint) stalledFor(now time.Time) time.Duration {
	stalled := time.Duration(0)
	for _, started := range e.inFlight {
		if e.noResponseSince(started) {
			stalled = max(stalled, now.Sub(started))
		}
	}
	return stalled
}

func (e *Endpoint) noResponseSince(started time.Time) bool {
	return e.lastResponseAt.Before(started)
}

// probing reports whether a request is in flight. A server that was slow or failed
// is tried again with one request at a time until that is answered.
func (e *Endpoint) probing() bool { return len(e.inFlight) > 0 }

func (e *Endpoint) backingOff(now time.Time) bool {
	return now.Before(e.backoffUntil) || e.consecutiveFailures > 0 && e.probing()
}

// serving reports whether the server may get new requests.
func (e *Endpoint) serving() bool { return !e.Draining && !e.addressTaken }

// atLimit reports whether the node has as many requests in flight at the server as allowed.
func (e *Endpoint) atLimit(now time.Time) bool {
	return e.maxLimit > 0 && float64(len(e.inFlight)) >= e.currentLimit(now)
}

// currentLimit returns the limit with its growth since it was set.
func (e *Endpoint) currentLimit(now time.Time) float64 {
	grown := e.limit + limitIncrease*now.Sub(e.limitSetAt).Seconds()
	return min(max(grown, 1), e.maxLimit)
}

// connectionReset decreases the limit after the server has reset a new connection, as
// servers do when all callers together have too many.
func (e *Endpoint) connectionReset(now time.Time) {
	e.limit = max(float64(len(e.inFlight))*limitDecrease, 1)
	e.limitSetAt = now
	e.noConnectUntil = now.Add(connectPause)
	e.backoffUntil = now.Add(refusalBackoff)
}

// connectPaused reports whether the server has just reset a new connection, so that
// it would reset another one as well.
func (e *Endpoint) connectPaused(now time.Time) bool { return now.Before(e.noConnectUntil) }

func (e *Endpoint) setMaxLimit(limit float64, now time.Time) {
	if e.maxLimit == limit {
		return
	}
	e.maxLimit = limit
	e.limit = limit
	e.limitSetAt = now
}

func (e *Endpoint) begin(now time.Time) {
	e.inFlight = append(e.inFlight, now)
}

func (e *Endpoint) end(started time.Time) {
	for index, other := range e.inFlight {
		if other.Equal(started) {
			last := len(e.inFlight) - 1
			e.inFlight[index] = e.inFlight[last]
			e.inFlight = e.inFlight[:last]
			return
		}
	}
}

func (e *Endpoint) succeeded(now time.Time) {
	e.lastResponseAt = now
	e.consecutiveFailures = 0
	e.backoffUntil = time.Time{}
}

func (e *Endpoint) failed(now time.Time) {
	backoff := min(initialBackoff<<min(e.consecutiveFailures, 8), maxBackoff)
	e.consecutiveFailures++
	e.backoffUntil = now.Add(backoff)
}

func (e *Endpoint) refused(now time.Time) {
	e.backoffUntil = now.Add(refusalBackoff)
}
