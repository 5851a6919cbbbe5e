// Package crashguard limits how many servers a request reaches once it may be the cause of
// their crashes.
package crashguard

// sequentialThreshold is the number of attempts lost without any answer after which a request
// is sent to one server at a time. Without this limit, one gathered request that crashes
// servers reaches up to three servers of each of its shards; with it, one of each and a few
// more. Where a zone is lost or connections are reset, other shards answer within
// milliseconds, so nothing is delayed.
const sequentialThreshold = 3

// Guard tracks how the attempts of a request ended. The zero value is a request without
// ended attempts.
type Guard struct {
	losses   int
	answered bool
	// sequentialLost is set once a sequential attempt was lost.
	sequentialLost bool
}

// RecordLoss records that an attempt was sent and ended without an answer, other than by its
// deadline. An attempt is sequential if it was the only one that could be in flight.
func (g *Guard) RecordLoss(sequential bool) {
	g.losses++
	g.sequentialLost = g.sequentialLost || sequential
}

// RecordAnswer records that a server has answered: the request does not crash every server.
func (g *Guard) RecordAnswer() { g.answered = true }

// Answered reports whether a server has answered.
func (g *Guard) Answered() bool { return g.answered }

// Sequential reports whether only one attempt of the request may be in flight.
func (g *Guard) Sequential() bool { return !g.answered && g.losses >= sequentialThreshold }

// Stopped reports whether no further attempt may be sent because a sequential attempt
// was lost.
func (g *Guard) Stopped() bool { return g.sequentialLost && !g.answered }
