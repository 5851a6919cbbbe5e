package ingress

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/dispatch"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/telemetry"
)

// Dispatcher carries out requests.
type Dispatcher interface {
	Do(ctx context.Context, request dispatch.Request) *exchange.Outcome
}

// Options are what a server needs.
type Options struct {
	Names Names
	// Table returns the configuration in force; nil if none is known yet.
	Table      func() *routing.Table
	Dispatcher Dispatcher
	// Overloaded reports whether callers should be sent to other nodes.
	Overloaded func() bool
}

// Server answers callers.
type Server struct {
	names      Names
	table      func() *routing.Table
	dispatcher Dispatcher
	overloaded func() bool
	http       *fasthttp.Server
	open       *connections
	stopping   atomic.Bool
	underWay   atomic.Int64
	// ending is done once the process can wait for no request any more.
	ending context.Context
	end    context.CancelCauseFunc
}

// headerBufferBytes bounds the header of a request; buffers are held only while
// a request is read.
const headerBufferBytes = 16 << 10

// presumedLimits hold until a configuration is known.
var presumedLimits = routing.Limits{
	MaximumHeaderBytes: headerBufferBytes,
	MaximumBodyBytes:   256 << 10,
	HeaderTimeout:      3 * time.Second,
	IdleTimeout:        15 * time.Second,
}

// New returns a server that does not listen yet.
func New(options Options) *Server {
	server := &Server{
		names:      options.Names,
		table:      options.Table,
		dispatcher: options.Dispatcher,
		overloaded: options.Overloaded,
		open:       newConnections(),
	}
	server.ending, server.end = context.WithCancelCause(context.Background())
	server.http = &fasthttp.Server{
		Handler:                       server.handle,
		ErrorHandler:                  handleError,
		HeaderReceived:                server.headerReceived,
		ReadBufferSize:                headerBufferBytes,
		ReduceMemoryUsage:             true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisablePreParseMultipartForm:  true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        telemetry.SilentHTTPLogger{},
	}
	return server
}

// Serve answers on the listener until it is closed.
func (server *Server) Serve(accepting net.Listener) error {
	return server.http.Serve(&listener{Listener: accepting, limits: server.limits, open: server.open})
}

// Stop announces the end: answers tell their callers to close connections.
func (server *Server) Stop() { server.stopping.Store(true) }

// End gives up the requests under way: they are answered at once.
func (server *Server) End() { server.end(dispatch.ErrStopping) }

// CloseIdle closes connections on which no request has begun.
func (server *Server) CloseIdle() { server.open.closeIdle() }

// UnderWay returns the number of requests that have no answer yet.
func (server *Server) UnderWay() int64 { return server.underWay.Load() }

// Connections returns the number of callers' connections.
func (server *Server) Connections() int { return server.open.count() }

func (server *Server) limits() routing.Limits {
	table := server.table()
	if table == nil {
		return presumedLimits
	}
	return table.Limits
}

func (server *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	limits := server.limits()
	return fasthttp.RequestConfig{MaxRequestBodySize: limits.MaximumBodyBytes}
}

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	server.underWay.Add(1)
	defer server.underWay.Add(-1)
	server.answer(ctx, time.Now())
	if server.stopping.Load() || server.overloaded() {
		ctx.SetConnectionClose()
	}
}

func (server *Server) answer(ctx *fasthttp.RequestCtx, arrived time.Time) {
	table := server.table()
	if table == nil {
		refuse(ctx, "no configuration is known yet")
		return
	}
	if len(ctx.Request.Header.RawHeaders()) > table.Limits.MaximumHeaderBytes {
		reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, errors.New("the headers are too large"))
		return
	}
	request, err := server.parse(ctx)
	if err != nil {
		reject(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	route := table.Match(string(ctx.Request.Header.Host()), string(ctx.Request.URI().PathOriginal()))
	if route == nil {
		ctx.Error("no route\n", fasthttp.StatusNotFound)
		return
	}
	server.dispatch(ctx, dispatch.Request{
		Route:   route,
		Version: table.Version,
		Message: request.message,
		Allowed: request.allowed,
		Arrived: arrived,
	})
}

// dispatch carries out the request; the work ends when the caller hangs up, or
// when the process cannot wait for it.
func (server *Server) dispatch(ctx *fasthttp.RequestCtx, request dispatch.Request) {
	working, cancel := context.WithCancelCause(server.ending)
	defer cancel(nil)
	caller := ctx.Conn().(*connection)
	stopWatch := caller.watch(func() { cancel(dispatch.ErrCallerGone) })
	outcome := server.dispatcher.Do(working, request)
	stopWatch()
	switch {
	case outcome == nil && server.ending.Err() != nil:
		ctx.Error("the node stops\n", fasthttp.StatusGatewayTimeout)
		return
	case outcome == nil:
		// Nobody waits for an answer, and no empty one may be sent.
		_ = caller.Close()
		return
	}
	server.writeOutcome(ctx, request.Route, outcome)
}

// reject answers a request that is wrong in itself and closes its connection.
func reject(ctx *fasthttp.RequestCtx, status int, cause error) {
	ctx.Error(cause.Error()+"\n", status)
	ctx.SetConnectionClose()
}

// handleError answers requests that could not be read.
func handleError(ctx *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, err)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reject(ctx, fasthttp.StatusRequestEntityTooLarge, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		reject(ctx, fasthttp.StatusRequestTimeout, err)
	default:
		reject(ctx, fasthttp.StatusBadRequest, err)
	}
}
