// Package lease decides whether this node holds the controller's lease. It is a
// pure core; safety rests on the compare-and-set of the Object API, not on it.
package lease
