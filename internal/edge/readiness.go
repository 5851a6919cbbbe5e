package edge

import (
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/telemetry"
)

const (
	// readinessTimeout is the idle timeout of readiness connections.
	readinessTimeout = 30 * time.Second
	// readinessRequestTimeout bounds the read of a check and the write of its answer.
	readinessRequestTimeout = 5 * time.Second
	// maxReadinessConnections and maxReadinessBytes bound what those that check can hold.
	maxReadinessConnections = 256
	maxReadinessBytes       = 4 << 10
)

// readiness serves the readiness check: whether the node accepts new connections.
type readiness struct {
	server *fasthttp.Server
}

func newReadiness(path string, ready func() bool) *readiness {
	routes := router.New()
	routes.GET(path, func(ctx *fasthttp.RequestCtx) {
		if !ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
	return &readiness{server: &fasthttp.Server{
		Handler:               routes.Handler,
		IdleTimeout:           readinessTimeout,
		ReadTimeout:           readinessRequestTimeout,
		WriteTimeout:          readinessRequestTimeout,
		Concurrency:           maxReadinessConnections,
		MaxRequestBodySize:    maxReadinessBytes,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		Logger:                telemetry.DiscardHTTPLogger{},
	}}
}

func (r *readiness) serve(listener net.Listener) error {
	return r.server.Serve(listener)
}
