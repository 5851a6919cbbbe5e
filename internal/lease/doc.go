// Package lease decides whether this node holds the controller's lease.
//
// The lease is one record in the Object API that changes only by compare-and-set. The holder renews
// it; another node takes it over, with a higher epoch, once the record has not changed for its
// whole term (Gray and Cheriton, "Leases", SOSP 1989). The holder counts from before it sent the
// renewal and stops at two thirds of the term, so that clock rates may differ by some percent. This
// prevents two concurrent holders as long as no process is paused between a check and its effect.
// Safety does not depend on time but on the epoch and compare-and-set.
//
// The package is a pure core: Step takes an event and returns at most one action. Times are
// durations since a fixed moment on the monotonic clock of this process.
package lease
