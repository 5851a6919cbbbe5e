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

// Dispatcher processes requests.
type Dispatcher interface {
	Do(ctx context.Context, request dispatch.Request) *exchange.Outcome
}

// Options holds the dependencies of a server.
type Options struct {
	Names Names
	// Table returns the current routing table; nil before the first one.
	Table func() *routing.Table
	// Synced is closed once the node has a routing table and the list of servers.
	Synced     <-chan struct{}
	Dispatcher Dispatcher
	// Overloaded reports whether callers should move to other nodes.
	Overloaded func() bool
	// Clients protects the process from its clients.
	Clients ClientLimits
}

// Server serves callers over HTTP.
type Server struct {
	names        Names
	table        func() *routing.Table
	startup      startup
	dispatcher   Dispatcher
	overloaded   func() bool
	clientLimits ClientLimits
	http         *fasthttp.Server
	open         *connections
	stopping     atomic.Bool
	inFlight     atomic.Int64
	// baseContext is the parent context of all requests; cancelRequests cancels it when
	// the process can no longer wait for them.
	baseContext    context.Context
	cancelRequests context.CancelCauseFunc
}

// headerBufferBytes bounds the header of a request. Buffers are only held while a
// request is read.
const headerBufferBytes = 16 << 10

// defaultLimits apply until there is a routing table.
var defaultLimits = routing.Limits{
	MaximumHeaderBytes: headerBufferBytes,
	MaximumBodyBytes:   256 << 10,
	HeaderTimeout:      3 * time.Second,
	IdleTimeout:        15 * time.Second,
}

// New returns a server that is not serving yet.
func New(options Options) *Server {
	server := &Server{
		names:        options.Names,
		table:        options.Table,
		startup:      startup{synced: options.Synced},
		dispatcher:   options.Dispatcher,
		overloaded:   options.Overloaded,
		clientLimits: options.Clients,
		open:         newConnections(),
	}
	server.baseContext, server.cancelRequests = context.WithCancelCause(context.Background())
	server.http = &fasthttp.Server{
		Handler:                       server.handle,
		ErrorHandler:                  server.handleError,
		HeaderReceived:                server.headerReceived,
		ReadBufferSize:                headerBufferBytes,
		ReduceMemoryUsage:             true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisablePreParseMultipartForm:  true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        telemetry.DiscardHTTPLogger{},
	}
	return server
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(netListener net.Listener) error {
	return s.http.Serve(&listener{Listener: netListener, limits: s.limits, clientLimits: &s.clientLimits, open: s.open})
}

// Drain makes all further answers ask their callers to close the connection.
func (s *Server) Drain() { s.stopping.Store(true) }

// CancelRequests cancels the requests in flight: they are answered at once.
func (s *Server) CancelRequests() { s.cancelRequests(dispatch.ErrNodeStopped) }

// CloseIdle closes the connections without a request.
func (s *Server) CloseIdle() { s.open.closeIdle() }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Writing returns the number of answers that their callers have not read completely.
func (s *Server) Writing() int64 { return s.open.writing.Load() }

// Connections returns the number of open connections of callers.
func (s *Server) Connections() int { return s.open.count() }

func (s *Server) limits() routing.Limits {
	table := s.table()
	if table == nil {
		return defaultLimits
	}
	return table.Limits
}

func (s *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	limits := s.limits()
	return fasthttp.RequestConfig{MaxRequestBodySize: limits.MaximumBodyBytes}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	arrived, conn := time.Now(), ctx.Conn().(*connection)
	if conn.beginServing(len(ctx.Request.Body())) == nil {
		s.answer(ctx, arrived)
	} else {
		s.refuseForMemory(ctx)
	}
	conn.beginAnswer(s.answerDeadline(ctx, arrived))
	if s.stopping.Load() || s.overloaded() {
		ctx.SetConnectionClose()
	}
}

// answerDeadline returns the time until which the client may read its answer, which is ready now.
func (s *Server) answerDeadline(ctx *fasthttp.RequestCtx, arrived time.Time) time.Time {
	timeout, _ := s.callerTimeout(&ctx.Request.Header)
	if timeout == 0 {
		timeout = defaultAnswerTime
	}
	waiting := max(min(timeout, maximumAnswerTime), time.Since(arrived))
	return arrived.Add(waiting + s.clientLimits.WriteTimeout)
}

// refuseForMemory refuses a request that has not run because the memory for requests is in use.
func (s *Server) refuseForMemory(ctx *fasthttp.RequestCtx) {
	s.clientLimits.Observer.LimitReached(LimitMemory, ActionReject, ctx.RemoteAddr())
	refuse(ctx, "no memory for the request", 0)
	ctx.SetConnectionClose()
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, arrived time.Time) {
	if !s.waitForStartup(ctx, arrived) {
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
		CallerTimeout: request.timeout,
		Arrived:       arrived,
	})
}

// dispatch processes the request. The work is canceled when the caller hangs up or
// the process can no longer wait for it.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, request dispatch.Request) {
	var outcome *exchange.Outcome
	s.runUntilHangUp(ctx, func(workContext context.Context) { outcome = s.dispatcher.Do(workContext, request) })
	switch {
	case outcome == nil && s.baseContext.Err() != nil:
		ctx.Error("the node stops\n", fasthttp.StatusGatewayTimeout)
		return
	case outcome == nil:
		// The caller has hung up; an empty answer must not be sent.
		_ = ctx.Conn().Close()
		return
	}
	s.writeOutcome(ctx, request.Route, outcome)
}

// runUntilHangUp runs work with a context that is canceled when the caller hangs up or
// the process can no longer wait.
func (s *Server) runUntilHangUp(ctx *fasthttp.RequestCtx, work func(context.Context)) {
	workContext, cancel := context.WithCancelCause(s.baseContext)
	defer cancel(nil)
	stopWatch := ctx.Conn().(*connection).watch(func() { cancel(dispatch.ErrCallerHungUp) })
	work(workContext)
	stopWatch()
}

// reject answers an invalid request and closes its connection.
func reject(ctx *fasthttp.RequestCtx, status int, cause error) {
	ctx.Error(cause.Error()+"\n", status)
	ctx.SetConnectionClose()
}

// handleError answers requests that could not be read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	var timeout net.Error
	_ = ctx.Conn().(*connection).SetWriteDeadline(time.Now().Add(s.clientLimits.WriteTimeout))
	switch {
	case errors.Is(err, errNoMemory):
		s.refuseForMemory(ctx)
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
