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
	// maxReporters bounds the nodes whose reports of roll-outs one node can take.
	maxReporters = 512
	// maxConnections bounds the connections of other nodes: two of each follower,
	// those of nodes that start, and one of each that reports.
	maxConnections = 4*readerNodes + maxReporters
)

// Server tells other nodes what this one knows.
type Server struct {
	http *fasthttp.Server
}

// Routed adds paths to the server.
type Routed interface {
	Route(routes *router.Router)
}

// NewServer returns a server of the node's snapshot, which is false while nothing is
// known, and of further paths.
func NewServer(own Asker, snapshot func() (Snapshot, bool), further ...Routed) *Server {
	routes := router.New()
	handing := &handOver{own: own, snapshot: snapshot}
	routes.GET(snapshotPath, handing.serve)
	for _, routed := range further {
		routed.Route(routes)
	}
	return &Server{http: &fasthttp.Server{
		Handler:               routes.Handler,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           idleTimeout,
		Concurrency:           maxConnections,
		MaxRequestBodySize:    maximumReportBytes,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		Logger:                telemetry.SilentHTTPLogger{},
	}}
}

// Serve answers on the listener until it is closed.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }
