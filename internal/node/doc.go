// Package node wires the parts of the daemon together and starts and stops them in
// order.
package node
