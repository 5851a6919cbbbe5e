// Package care limits how many servers a request reaches once it may be the cause of their crashes.
package care

// serialThreshold is the number of attempts lost without any answer from which on a request is sent to one
// server at a time. Without this limit, one gathered request that crashes servers reaches up to three servers
// of each of its shards; with it, one of each and a few more. Where a zone is lost or connections are reset,
// other shards answer within milliseconds, so nothing is delayed.
const serialThreshold = 3

// State tracks how the attempts of a request ended. The zero value is a request of which none has ended.
type State struct {
	losses   int
	answered bool
	// serialLost is set once a serial attempt was lost.
	serialLost bool
}

// Lose records that an attempt was sent and ended without an answer, other than by its deadline. An attempt
// is serial if it was the only one that could be in flight.
func (s *State) Lose(serial bool) {
	s.losses++
	s.serialLost = s.serialLost || serial
}

// Hear records that a server has answered: the request does not crash every server.
func (s *State) Hear() { s.answered = true }

// Heard reports whether a server has answered.
func (s *State) Heard() bool { return s.answered }

// Careful reports whether only one attempt of the request may be in flight.
func (s *State) Careful() bool { return !s.answered && s.losses >= serialThreshold }

// Stopped reports whether no further attempt may be sent because a serial attempt was lost.
func (s *State) Stopped() bool { return s.serialLost && !s.answered }
