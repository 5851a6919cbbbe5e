// Package ingress serves callers over HTTP/1.1.
//
// It uses fasthttp, which does not tell its handlers that a caller has hung up.
// connection.go therefore reads from the connection while a request is processed, so
// that the request is canceled when the caller hangs up.
package ingress

import "github.com/driftstage/driftstage/internal/upstream"

// Names holds the header names and the path used with callers.
type Names struct {
	upstream.Headers
	// PartSeals lists the seals of the parts of a merged answer.
	PartSeals string
	// MissingParts is the number of shards left out of a merged answer.
	MissingParts string
	// ReadinessPath is the path of the readiness probe, by which callers are directed to nodes.
	ReadinessPath string
}
