// Package scale measures the cost of control against the number of nodes, by
// hollow nodes: the real membership, gossip and configuration code, each node
// with sockets of its own on the loopback interface, without a data path, all in
// one process. What it does not show: the delay, loss and bandwidth of a real
// network, and processor time that many processes on one machine would take from
// each other.
package scale
