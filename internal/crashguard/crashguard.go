// Package crashguard limits how many servers a request reaches once it may be the cause of their crashes.
package crashguard

// serialThreshold is the number of attempts lost without any answer from which on a request is sent to one
// server at a time. Without this limit, one gathered request that crashes servers reaches up to three servers
// of each of its shards; with it, one of each and a few more. Where a zone is lost or connections are reset,
// other shards answer within milliseconds, so nothing is delayed.
const serialThreshold = 3

// Guard tracks how the attempts of a request ended. The zero value is a request of which none has ended.
type Guard struct {
	losses   int
	answered bool
	// serialLost is set once a serial attempt was lost.
	serialLost bool
}

// RecordLoss records that an attempt was sent and ended without an answer, other than by its deadline. An attempt
// is serial if it was the only one that could be in flight.
func (g *Guard) RecordLoss(serial bool) {
	g.losses++
	g.serialLost = g.serialLost || serial
}

// RecordAnswer records that a server has answered: the request does not crash every server.
func (g *Guard) RecordAnswer() { g.answered = true }

// Answered reports whether a server has answered.
func (g *Guard) Answered() bool { return g.answered }

// Sequential reports whether only one attempt of the request may be in flight.
func (g *Guard) Sequential() bool { return !g.answered && g.losses >= serialThreshold }

// Stopped reports whether no further attempt may be sent because a serial attempt was lost.
func (g *Guard) Stopped() bool { return g.serialLost && !g.answered }
