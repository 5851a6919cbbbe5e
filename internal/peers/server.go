package peers

import (
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/telemetry"
)

const (
	idleTimeout = 10 * time.Second
	// maxReporters bounds the nodes that can send rollout reports to one node.
	maxReporters = 512
	// maxConnections bounds the connections from other nodes: two per follower, those
	// of starting nodes, and one per reporter.
	maxConnections = 4*nodesPerReader + maxReporters
)

// Server serves the state of this node to other nodes.
type Server struct {
	http *fasthttp.Server
}

// RouteRegistrar adds its paths to the router of a server.
type RouteRegistrar interface {
	Register(routes *router.Router)
}

// NewServer returns a server for the node's snapshot and for further paths. The snapshot
// function returns false while there is no state to serve.
func NewServer(self Requester, snapshot func() (Snapshot, bool), extra ...RouteRegistrar) *Server {
	routes := router.New()
	snapshots := &snapshotServer{self: self, snapshot: snapshot}
	routes.GET(snapshotPath, snapshots.serve)
	for _, routed := range extra {
		routed.Register(routes)
	}
	return &Server{http: &fasthttp.Server{
		Handler:               routes.Handler,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           idleTimeout,
		WriteTimeout:          idleTimeout,
		Concurrency:           maxConnections,
		MaxRequestBodySize:    maxMessageBytes,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		Logger:                telemetry.DiscardHTTPLogger{},
	}}
}

// Serve serves requests on the listener until it is closed.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }
