package edge

import (
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/telemetry"
)

// readinessTimeout is the idle timeout of readiness connections.
const readinessTimeout = 30 * time.Second

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
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		Logger:                telemetry.DiscardHTTPLogger{},
	}}
}

func (r *readiness) serve(listener net.Listener) error {
	return r.server.Serve(listener)
}
