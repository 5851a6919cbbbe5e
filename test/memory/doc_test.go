// Package memory runs a driftrouter process with a small memory limit against clients and servers
// that would make it hold more: clients that read slowly or not at all, clients that send slowly or
// nothing, and servers whose answers have no end.
//
// The tests check what does not depend on the speed of the machine: the process lives, its resident
// memory and its descriptors stay within their limits, and an ordinary request is answered afterwards.
package memory
