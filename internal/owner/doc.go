// Package owner runs the admission core for every server that this node owns and
// sends sub-requests to the back ends.
package owner
