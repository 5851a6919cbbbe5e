// Package admission decides what one back-end server is given by its owner:
// window, queue, shedding, draining, cold start, ejection and probing. It is a
// pure core: events in, actions out; now comes in with every event.
//
// The window is how many attempts may be under way at a time. It starts at one
// (cold server), doubles per round trip up to the server's slots, and grows by
// one per round trip beyond them while latency shows no queue at the server. A
// shed shrinks it by a factor (additive increase, multiplicative decrease: Chiu
// and Jain 1989). It never passes the number of connections.
package admission
