// Package wire carries Avro messages between driftstage processes over TCP:
// many requests on one connection, correlated by id, with cancellation.
//
// A connection starts with a hello from each side (magic and protocol version).
// Then follow frames: a header of fixed size and an Avro payload. Every request
// and reply names the fingerprint of its schema, so that processes of different
// versions refuse what they can not decode instead of misreading it.
//
// Every failure is a *verdict.Error. A request is NotRun only while no byte of
// it was handed to the connection, or when the receiver says so.
package wire
