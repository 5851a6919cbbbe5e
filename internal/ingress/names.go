// Package ingress serves callers over HTTP/1.1.
//
// It uses fasthttp, whose handlers do not learn that a caller has hung up:
// watch.go reads ahead on the connection while a request is carried out, so that
// work ends with its caller.
package ingress

import "github.com/driftstage/driftstage/internal/upstream"

// Names are the names that are spoken with callers.
type Names struct {
	upstream.Headers
	// PartSeals lists the seals of the parts of a merged answer.
	PartSeals string
	// MissingParts is the number of shards left out of a merged answer.
	MissingParts string
	// ReadinessPath is asked for by whoever directs connections to nodes.
	ReadinessPath string
}
