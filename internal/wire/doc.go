// Package wire carries Avro messages between driftstage processes over TCP: many
// requests on one connection, correlated by id, with cancellation.
package wire
