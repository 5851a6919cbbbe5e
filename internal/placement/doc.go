// Package placement decides which node owns which back-end server, by rendezvous hashing over the
// live members, preferring nodes in the server's zone. It is a pure core.
package placement
