// Package query decides the course of one request at the gateway: which replicas
// to ask, when to hedge or retry, when to answer with what is there, and which
// attempts to cancel. It is a pure core: events in, actions out; it does no I/O,
// reads no clock and starts no goroutine.
package query
