// Package gateway serves callers over HTTP: it parses a request, sends the query to
// the nodes that own the servers of its shards, and writes the answer.
//
//	POST /v1/services/{service}/query
//
// The body is sent to the shards unchanged. Every answer, failures included, is a
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

// Services returns the current accepted revision of a service.
type Services interface {
	Service(name string) (*config.Service, bool)
}

// Runner sends a query to the shards and gathers the answer.
type Runner interface {
	Run(ctx context.Context, query scatter.Query) scatter.Answer
}

// Options holds the dependencies and limits of a Gateway.
type Options struct {
	Services Services
	Runner   Runner
	// NotReadyReason returns the reason why the node is not ready; empty if it is.
	NotReadyReason func() string
	Registry       prometheus.Registerer
	// MaximumBodyBytes bounds the request bodies of all services.
	MaximumBodyBytes int
	// MaximumConnections bounds the connections of callers.
	MaximumConnections int
}

const (
	// readTimeout bounds reading one request, so that half-open connections are closed.
	readTimeout = 10 * time.Second
	// writeTimeout bounds writing one answer.
	writeTimeout = 10 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the request line and headers together.
	maxHeaderBytes = 16 << 10
	// notReadyRetryAfter is sent by a node that is starting or stopping: another
	// node can serve the request at once.
	notReadyRetryAfter = 100 * time.Millisecond
)

// Gateway is the HTTP server for callers.
type Gateway struct {
	options  Options
	server   *fasthttp.Server
	metrics  *metrics
	inFlight inFlight
	draining atomic.Bool
	// baseContext is the context of all queries; Shutdown calls cancel to end the
	// remaining ones.
	baseContext context.Context
	cancel      context.CancelFunc
}

// New returns a gateway that is not serving yet.
func New(options Options) *Gateway {
	gateway := &Gateway{options: options, metrics: newMetrics(options.Registry)}
	gateway.baseContext, gateway.cancel = context.WithCancel(context.Background())
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
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    options.MaximumBodyBytes,
		Concurrency:           options.MaximumConnections,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		SecureErrorLogMessage: true,
		Logger:                telemetry.DiscardHTTPLogger{},
	}
	return gateway
}

// Serve accepts connections until Shutdown.
func (gateway *Gateway) Serve(listener net.Listener) error {
	return gateway.server.Serve(listener)
}

// Drain makes the gateway refuse new requests as not run and ask callers to close
// their connections. Requests in flight continue.
func (gateway *Gateway) Drain() {
	gateway.draining.Store(true)
}

// Shutdown closes the listener and waits until all requests in flight have been
// answered or ctx ends; then it cancels the remaining ones.
func (gateway *Gateway) Shutdown(ctx context.Context) error {
	gateway.Drain()
	err := gateway.server.ShutdownWithContext(ctx)
	gateway.cancel()
	return err
}

// InFlight returns the number of queries in flight.
func (gateway *Gateway) InFlight() int {
	return gateway.inFlight.total()
}

// refuse returns a handler for requests that match no route.
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
	var opError *net.OpError
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = fasthttp.StatusRequestEntityTooLarge, verdict.CodeTooLarge
		message = "the body is over the limit of this node"
	case errors.As(err, &tooSmall):
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, verdict.CodeTooLarge
		message = "the headers are over the limit of this node"
	case errors.As(err, &opError) && opError.Timeout():
		status, code = fasthttp.StatusRequestTimeout, verdict.CodeDeadline
		message = "the request did not arrive in time"
	}
	ctx.Response.SetConnectionClose()
	writeAnswer(ctx, status, answer{
		Verdict: verdict.NotRun,
		Failure: &failure{Code: code, Message: message},
	})
}
