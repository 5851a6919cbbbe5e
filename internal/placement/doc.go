// Package placement decides which node owns which back-end server, by rendezvous
// hashing over the live members with nodes of the server's zone first. It is a
// pure core.
package placement
