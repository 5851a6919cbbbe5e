// Package admission decides which attempts the owner of a back-end server sends to
// it: window, queue, load shedding, draining, cold start, ejection and probing. It
// does no I/O and reads no clock: each event comes with the current time and returns
// actions.
//
// The window is the number of attempts that may be in flight. It starts at one (cold
// server), doubles per round trip up to the server's slots, and grows by one per
// round trip beyond them while the latency shows no queueing at the server. A shed
// attempt shrinks it by a factor (additive increase, multiplicative decrease: Chiu
// and Jain 1989). It never exceeds the number of connections.
package admission
