// Package wire carries Avro messages between driftstage processes over TCP:
// many requests on one connection, correlated by id, with cancellation.
//
// A connection starts with a hello from each side: magic, protocol version and a hash
// of the cluster name. Frames follow, each with a header of fixed size and an Avro
// payload. Every request and reply carries the fingerprint of its schema, so that
// processes of different versions refuse what they cannot decode instead of
// misinterpreting it.
//
// Every failure is a *verdict.Error. A request is NotRun only if no byte of it has been
// passed to the connection, or if the receiver says so.
package wire
