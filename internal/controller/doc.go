// Package controller accepts or refuses resources while this node holds the
// lease, and reports their status.
//
// A configuration is accepted once it stands, with its revision, in the
// resource's status in the Object API, written by compare-and-set. Only then is
// it published to the members. A write without a reply is followed by a read
// before anything else. Because every write names the version that it replaces,
// a late write of a node that lost the lease fails; because the epoch of the
// lease leads the revision, what a later holder accepts is always higher.
//
// A resource is deleted in this order: the operator's deletion marks it, the
// controller publishes a tombstone with a revision of its own, and removes its
// finalizer once the tombstone has spread. A controller that dies in between
// leaves the mark and the finalizer to the next, which begins again. A service
// that is missing from the Object API without this is left in force and
// reported, since a store that lost its data looks the same.
//
// Readers of the Object API: the holder, with one watch, and the candidates,
// which read the lease record only (see Candidates).
package controller
