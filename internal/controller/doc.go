// Package controller validates resources while this node holds the lease, accepts
// or refuses them, and reports their status.
//
// A configuration is accepted once it is stored, with its revision, in the
// resource's status in the Object API, by a compare-and-set write. Only then is it
// published to the members. After a write without a reply, the resource is read
// before anything else is done. Because every write names the version that it
// replaces, a late write of a node that lost the lease fails; because the lease's
// epoch forms the high bits of a revision, the revisions of a later holder are
// always higher.
//
// A resource is deleted in this order: the operator's request sets the deletion
// timestamp, the controller publishes a tombstone with its own revision, and
// removes the finalizer once the tombstone has been propagated. If a controller
// crashes in between, the timestamp and the finalizer remain, and the next
// controller starts over. A service that is missing from the Object API without
// this procedure stays in force and is reported, because a store that lost its
// data looks the same.
//
// Readers of the Object API are the holder, with one watch, and the candidates,
// which read only the lease record (see Candidates).
package controller
