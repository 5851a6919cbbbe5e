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
	Table func() *routing.Table
	// Known is closed once the node knows a configuration and the servers.
	Known      <-chan struct{}
	Dispatcher Dispatcher
	// Overloaded reports whether callers should be sent to other nodes.
	Overloaded func() bool
}

// Server answers callers.
type Server struct {
	names      Names
	table      func() *routing.Table
	start      start
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
		start:      start{known: options.Known},
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
func (s *Server) Serve(accepting net.Listener) error {
	return s.http.Serve(&listener{Listener: accepting, limits: s.limits, open: s.open})
}

// Stop announces the end: answers tell their callers to close connections.
func (s *Server) Stop() { s.stopping.Store(true) }

// End gives up the requests under way: they are answered at once.
func (s *Server) End() { s.end(dispatch.ErrNodeStopped) }

// CloseIdle closes connections on which no request has begun.
func (s *Server) CloseIdle() { s.open.closeIdle() }

// UnderWay returns the number of requests that have no answer yet.
func (s *Server) UnderWay() int64 { return s.underWay.Load() }

// Connections returns the number of callers' connections.
func (s *Server) Connections() int { return s.open.count() }

func (s *Server) limits() routing.Limits {
	table := s.table()
	if table == nil {
		return presumedLimits
	}
	return table.Limits
}

func (s *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	limits := s.limits()
	return fasthttp.RequestConfig{MaxRequestBodySize: limits.MaximumBodyBytes}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.underWay.Add(1)
	defer s.underWay.Add(-1)
	s.answer(ctx, time.Now())
	if s.stopping.Load() || s.overloaded() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, arrived time.Time) {
	if !s.awaitStart(ctx, arrived) {
		return
	}
	table := s.table()
	if len(ctx.Request.Header.RawHeaders()) > table.Limits.MaximumHeaderBytes {
		reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, errors.New("the headers are too large"))
		return
	}
	request, err := s.parse(ctx)
	if err != nil {
		reject(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	route := table.Match(string(ctx.Request.Header.Host()), string(ctx.Request.URI().PathOriginal()))
	if route == nil {
		ctx.Error("no route\n", fasthttp.StatusNotFound)
		return
	}
	s.dispatch(ctx, dispatch.Request{
		Route:         route,
		Version:       table.Version,
		Message:       request.message,
		Identity:      request.identity,
		CallerTimeout: request.allowed,
		Arrived:       arrived,
	})
}

// dispatch carries out the request; the work ends when the caller hangs up, or
// when the process cannot wait for it.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, request dispatch.Request) {
	var outcome *exchange.Outcome
	s.watched(ctx, func(working context.Context) { outcome = s.dispatcher.Do(working, request) })
	switch {
	case outcome == nil && s.ending.Err() != nil:
		ctx.Error("the node stops\n", fasthttp.StatusGatewayTimeout)
		return
	case outcome == nil:
		// Nobody waits for an answer, and no empty one may be sent.
		_ = ctx.Conn().Close()
		return
	}
	s.writeOutcome(ctx, request.Route, outcome)
}

// watched runs the work under a context that ends when the caller hangs up, or
// when the process cannot wait any more.
func (s *Server) watched(ctx *fasthttp.RequestCtx, work func(context.Context)) {
	working, cancel := context.WithCancelCause(s.ending)
	defer cancel(nil)
	stopWatch := ctx.Conn().(*connection).watch(func() { cancel(dispatch.ErrCallerHungUp) })
	work(working)
	stopWatch()
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
