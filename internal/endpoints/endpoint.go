package endpoints

import (
	"math"
	"time"
)

const (
	// slownessHalfLife is the time in which half of a server's learned slowness
	// is forgotten, so that a server that was slow is tried again. It doubles up to
	// longestHalfLife each time that the server is found slow once more.
	slownessHalfLife = 2 * time.Second
	longestHalfLife  = 4 * time.Second
	// slowRatio is the ratio of actual to usual time from which an answer is slow.
	slowRatio = 3.0
	// maximumSlowness bounds what a single stall teaches.
	maximumSlowness = 30.0
	// stallFactor is how many times its expected time a request may be under way
	// before the server is taken for stalled.
	stallFactor = 2.5
	// coldFactor is the slowness expected of a server that has just started.
	coldFactor = 1.6
	// firstBackoff is the pause after a failed connection or a silence; it doubles
	// up to maximumBackoff.
	firstBackoff   = 250 * time.Millisecond
	maximumBackoff = 3 * time.Second
	// limitCut is the part of the requests under way that stays allowed after a
	// server reset a new connection; limitGrowth is how many more are allowed for
	// each second after that.
	limitCut    = 0.5
	limitGrowth = 2.0
	// refusalBackoff is the pause after a server refused work.
	refusalBackoff = 100 * time.Millisecond
	// crowdedPause is how long no new connection is opened to a server that has
	// reset one.
	crowdedPause = 100 * time.Millisecond
)

// Endpoint is a server together with what this node has learned of it. Its
// fields are guarded by the Directory's lock.
type Endpoint struct {
	Server
	// incarnation is the name of the server's process.
	incarnation string
	// site is where the server stands as seen from this node, kept because each request
	// asks it of each server.
	site site
	// limit bounds the requests under way; 0 for unbounded.
	limit float64
	// ceiling is the limit while the server resets no new connections.
	ceiling    float64
	limitAt    time.Time
	underWay   []time.Time
	slowness   float64
	slownessAt time.Time
	halfLife   time.Duration
	// pace is what the server tells of its own speed. What is learned besides is what
	// it does not explain: servers that hang, or tell another pace than they have.
	pace pace
	// ratio is the latest observation that was independent of the one before it,
	// ratioAt when it was made.
	ratio     float64
	ratioAt   time.Time
	coldUntil time.Time
	// coldTurn is this node's turn in which it sent a request to the cold server last.
	coldTurn int64
	// streak is how many failures came in a row; failures is the share of them.
	streak       int
	failures     failures
	backoffUntil time.Time
	// crowdedUntil is until when no new connection is opened.
	crowdedUntil time.Time
	// goneAt is from when the server is gone if it is still missing in the list; zero
	// while it is listed.
	goneAt time.Time
	// gone is set once another server has the address, unreachable while nobody answers
	// there.
	gone, unreachable bool
	// answeredAt is when the server last answered anything.
	answeredAt time.Time
}

func newEndpoint(server Server, now time.Time) *Endpoint {
	return &Endpoint{
		Server:      server,
		incarnation: server.Incarnation(),
		slowness:    1,
		slownessAt:  now,
		halfLife:    slownessHalfLife,
		ratio:       1,
		coldUntil:   now.Add(server.ColdRemaining),
	}
}

// Incarnation names the server's process.
func (e *Endpoint) Incarnation() string { return e.incarnation }

// update takes over what the registry tells anew. A server that tells another time for
// which it is cold has turned cold once more, or still is.
func (e *Endpoint) update(server Server, now time.Time) {
	if server.ColdRemaining > 0 && server.ColdRemaining != e.ColdRemaining {
		e.chill(server.ColdRemaining, now)
	}
	if e.Created > 0 {
		// An entry that ran out and was made anew is of the same server.
		server.Created = min(server.Created, e.Created)
	}
	server.Born = max(server.Born, e.Born)
	e.Server = server
	e.incarnation = server.Incarnation()
	e.goneAt = time.Time{}
}

// learnedSlowness returns the learned slowness, forgotten in part.
func (e *Endpoint) learnedSlowness(now time.Time) float64 {
	if e.slowness == 1 {
		return 1
	}
	age := now.Sub(e.slownessAt)
	kept := math.Exp2(-float64(age) / float64(e.halfLife))
	return 1 + (e.slowness-1)*kept
}

// currentSlowness returns how many times the usual time the server is expected to take,
// by what it tells and what is learned of it.
func (e *Endpoint) currentSlowness(now time.Time) float64 {
	slowness := e.learnedSlowness(now) * e.pace.current(now)
	if e.cold(now) {
		slowness = max(slowness, coldFactor)
	}
	return slowness
}

// learn moves the slowness towards one observed ratio of actual to usual time, of
// a request that was sent at the given time. A single observation may be a long
// request or a pause, so it counts for little; a second one that began after the
// first had ended counts in full.
func (e *Endpoint) learn(ratio float64, sent, now time.Time) {
	ratio = min(max(ratio, 0.25), maximumSlowness)
	current := e.learnedSlowness(now)
	e.slowness = current + slownessWeight*(ratio-current)
	e.slownessAt = now
	if sent.Before(e.ratioAt) {
		return
	}
	e.slowness = median(e.slowness, e.ratio, ratio)
	e.remember(min(e.ratio, ratio))
	e.ratio, e.ratioAt = ratio, now
}

// remember sets how long the slowness lasts by what the two latest independent
// observations have in common.
func (e *Endpoint) remember(ratio float64) {
	if ratio < slowRatio {
		e.halfLife = slownessHalfLife
		return
	}
	e.halfLife = min(2*e.halfLife, longestHalfLife)
}

func median(a, b, c float64) float64 {
	return max(min(a, b), min(max(a, b), c))
}

// learnAtLeast is learn for a request that was given up: the true ratio is not
// below the one observed.
func (e *Endpoint) learnAtLeast(ratio float64, sent, now time.Time) {
	if ratio > e.learnedSlowness(now) {
		e.learn(ratio, sent, now)
	}
}

// predict returns the expected time until an answer, distance left out.
func (e *Endpoint) predict(work time.Duration, now time.Time) time.Duration {
	slowness := e.currentSlowness(now)
	if e.probed() {
		slowness = max(slowness, e.slowness*max(e.pace.told, 1))
	}
	expected := float64(work) * slowness
	predicted := time.Duration(expected * (1 + e.queueing()))
	if age := e.silence(now); float64(age) > stallFactor*expected {
		predicted += age
	}
	return predicted
}

// sharedLoad is what a full server adds to the expected time, in parts of it,
// besides its queue: other nodes' requests are not seen, and nearly full servers
// are slower.
const sharedLoad = 0.25

// queueing returns the expected wait in units of the time of work.
func (e *Endpoint) queueing() float64 {
	slots := float64(max(e.Slots, 1))
	underWay := float64(len(e.underWay))
	queued := max(underWay+1-slots, 0)
	return (sharedLoad*underWay + queued) / slots
}

// silence returns the age of the oldest request under way since which the server
// has answered nothing. A request that is late beside others that were answered
// is only a long one.
func (e *Endpoint) silence(now time.Time) time.Duration {
	silence := time.Duration(0)
	for _, started := range e.underWay {
		if e.silentSince(started) {
			silence = max(silence, now.Sub(started))
		}
	}
	return silence
}

func (e *Endpoint) silentSince(started time.Time) bool {
	return e.answeredAt.Before(started)
}

// probed reports whether a request is under way. A server that was slow or failed
// is tried again with one request at a time, until that is answered.
func (e *Endpoint) probed() bool { return len(e.underWay) > 0 }

func (e *Endpoint) backsOff(now time.Time) bool {
	return now.Before(e.backoffUntil) || e.streak > 0 && e.probed()
}

// open reports whether the server may get new requests.
func (e *Endpoint) open() bool { return !e.Draining && !e.gone }

// full reports whether the node has as many requests at the server as it may.
func (e *Endpoint) full(now time.Time) bool {
	return e.ceiling > 0 && float64(len(e.underWay)) >= e.currentLimit(now)
}

// currentLimit returns the limit, grown since it was cut.
func (e *Endpoint) currentLimit(now time.Time) float64 {
	grown := e.limit + limitGrowth*now.Sub(e.limitAt).Seconds()
	return min(max(grown, 1), e.ceiling)
}

// resetConnection cuts the limit: the server has reset a new connection, as it does when
// all callers together have too many.
func (e *Endpoint) resetConnection(now time.Time) {
	e.limit = max(float64(len(e.underWay))*limitCut, 1)
	e.limitAt = now
	e.crowdedUntil = now.Add(crowdedPause)
	e.backoffUntil = now.Add(refusalBackoff)
}

// crowded reports whether the server has just reset a new connection: another one
// would be reset as well.
func (e *Endpoint) crowded(now time.Time) bool { return now.Before(e.crowdedUntil) }

func (e *Endpoint) setCeiling(ceiling float64, now time.Time) {
	if e.ceiling == ceiling {
		return
	}
	e.ceiling = ceiling
	e.limit = ceiling
	e.limitAt = now
}

func (e *Endpoint) begin(now time.Time) {
	e.underWay = append(e.underWay, now)
}

func (e *Endpoint) end(started time.Time) {
	for index, other := range e.underWay {
		if other.Equal(started) {
			last := len(e.underWay) - 1
			e.underWay[index] = e.underWay[last]
			e.underWay = e.underWay[:last]
			return
		}
	}
}

func (e *Endpoint) succeeded(now time.Time) {
	e.answeredAt = now
	e.streak = 0
	e.backoffUntil = time.Time{}
}

func (e *Endpoint) failed(now time.Time) {
	backoff := min(firstBackoff<<min(e.streak, 8), maximumBackoff)
	e.streak++
	e.backoffUntil = now.Add(backoff)
}

func (e *Endpoint) refused(now time.Time) {
	e.backoffUntil = now.Add(refusalBackoff)
}
