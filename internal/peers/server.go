package peers

import (
	"encoding/json"
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

// NewServer returns a server of the snapshot, which is false while nothing is
// known, and of further paths.
func NewServer(snapshot func() (Snapshot, bool), further ...Routed) *Server {
	routes := router.New()
	routes.GET(snapshotPath, func(ctx *fasthttp.RequestCtx) { answer(ctx, snapshot) })
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

func answer(ctx *fasthttp.RequestCtx, snapshot func() (Snapshot, bool)) {
	known, found := snapshot()
	if !found {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	encoded, err := json.Marshal(known)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeBody(ctx, compress(encoded))
}
