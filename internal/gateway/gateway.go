// Package gateway serves callers over HTTP: it reads a request, runs the query
// core against the owners, and writes the answer.
//
//	POST /v1/services/{service}/query
//
// The body goes to the shards as it is. Every answer, failures included, is a
// JSON object that says whether the request may have run.
package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/telemetry"
	"github.com/driftstage/driftstage/internal/verdict"
)

// Services gives the accepted revision in force of a service.
type Services interface {
	Service(name string) (*config.Service, bool)
}

// Runner sends a query to the shards and gathers the answer.
type Runner interface {
	Run(ctx context.Context, query scatter.Query) scatter.Answer
}

// Options are the parts and limits of a Gateway.
type Options struct {
	Services Services
	Runner   Runner
	// Ready returns why the node takes no requests; empty when it does.
	Ready    func() string
	Registry prometheus.Registerer
	// MaximumBodyBytes bounds request bodies of every service.
	MaximumBodyBytes int
	// MaximumConnections bounds the connections of callers.
	MaximumConnections int
}

const (
	// headerTimeout bounds reading one request: half-open connections end.
	headerTimeout = 10 * time.Second
	// writeTimeout bounds writing one answer.
	writeTimeout = 10 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds the request line and headers together.
	headerBytes = 16 << 10
	// notReadyRetryAfter is the advice of a node that is starting or stopping:
	// another node can be asked at once.
	notReadyRetryAfter = 100 * time.Millisecond
)

// Gateway is the HTTP server for callers.
type Gateway struct {
	options  Options
	server   *fasthttp.Server
	metrics  *metrics
	inFlight inFlight
	draining atomic.Bool
	// running is the context of all queries; cancel ends those that Shutdown gives up.
	running context.Context
	cancel  context.CancelFunc
}

// New returns a gateway that does not listen yet.
func New(options Options) *Gateway {
	gateway := &Gateway{options: options, metrics: newMetrics(options.Registry)}
	gateway.running, gateway.cancel = context.WithCancel(context.Background())
	routes := router.New()
	routes.RedirectTrailingSlash = false
	routes.RedirectFixedPath = false
	routes.POST("/v1/services/{service}/query", gateway.serveQuery)
	routes.NotFound = refuse(fasthttp.StatusNotFound, "no such path; queries go to POST /v1/services/{service}/query")
	routes.MethodNotAllowed = refuse(fasthttp.StatusMethodNotAllowed, "method not allowed; queries are sent by POST")
	gateway.server = &fasthttp.Server{
		Name:                  "driftstage",
		Handler:               routes.Handler,
		ErrorHandler:          refuseMalformed,
		ReadTimeout:           headerTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        headerBytes,
		MaxRequestBodySize:    options.MaximumBodyBytes,
		Concurrency:           options.MaximumConnections,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		SecureErrorLogMessage: true,
		Logger:                telemetry.SilentHTTPLogger{},
	}
	return gateway
}

// Serve answers callers on the listener until Shutdown.
func (gateway *Gateway) Serve(listener net.Listener) error {
	return gateway.server.Serve(listener)
}

// Drain makes the gateway refuse new requests as not run, and ask callers to
// close their connections. Requests under way go on.
func (gateway *Gateway) Drain() {
	gateway.draining.Store(true)
}

// Shutdown closes the listener and waits until every request under way has been
// answered, or ctx ends; then what is left is given up.
func (gateway *Gateway) Shutdown(ctx context.Context) error {
	gateway.Drain()
	err := gateway.server.ShutdownWithContext(ctx)
	gateway.cancel()
	return err
}

// InFlight returns how many queries are under way.
func (gateway *Gateway) InFlight() int {
	return gateway.inFlight.total()
}

// refuse answers what reached no service.
func refuse(status int, reason string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		writeAnswer(ctx, status, answer{
			Verdict: verdict.NotRun,
			Failure: &failure{Code: verdict.CodeInvalid, Message: reason},
		})
	}
}

// refuseMalformed answers requests that fasthttp could not read.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	status, code := fasthttp.StatusBadRequest, verdict.CodeInvalid
	message := "the request is malformed"
	var tooSmall *fasthttp.ErrSmallBuffer
	var network *net.OpError
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = fasthttp.StatusRequestEntityTooLarge, verdict.CodeTooLarge
		message = "the body is over the limit of this node"
	case errors.As(err, &tooSmall):
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, verdict.CodeTooLarge
		message = "the headers are over the limit of this node"
	case errors.As(err, &network) && network.Timeout():
		status, code = fasthttp.StatusRequestTimeout, verdict.CodeDeadline
		message = "the request did not arrive in time"
	}
	ctx.Response.SetConnectionClose()
	writeAnswer(ctx, status, answer{
		Verdict: verdict.NotRun,
		Failure: &failure{Code: code, Message: message},
	})
}
