package telemetry

import (
	"encoding/json"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"
)

// NewRegistry returns a registry with the collectors of the Go runtime and the
// process. Metrics of driftstage are named driftstage_component_noun_unit.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// AdminOptions configure what the admin server reports.
type AdminOptions struct {
	Registry *prometheus.Registry
	// NotReadyReason returns why the node is not ready, or "" if it is.
	NotReadyReason func() string
	// State returns the value that /debug/state encodes as JSON.
	State func() any
	// Commands handle POST requests of operators by path; each receives the query arguments.
	Commands map[string]func(query *fasthttp.Args) error
}

// Admin serves /metrics, /healthz, /readyz, /debug/state and /debug/pprof.
type Admin struct {
	server *fasthttp.Server
}

const (
	adminTimeout = 30 * time.Second
	// maxAdminBodyBytes limits request bodies; no endpoint reads one.
	maxAdminBodyBytes   = 4 << 10
	maxAdminConnections = 64
)

// NewAdmin returns an admin server that does not listen yet.
func NewAdmin(options AdminOptions) *Admin {
	routes := router.New()
	routes.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(options.Registry, promhttp.HandlerOpts{})))
	routes.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	routes.GET("/readyz", func(ctx *fasthttp.RequestCtx) { writeReady(ctx, options.NotReadyReason()) })
	routes.GET("/debug/state", func(ctx *fasthttp.RequestCtx) { writeState(ctx, options.State()) })
	routes.GET("/debug/pprof/{profile:*}", pprofhandler.PprofHandler)
	for path, command := range options.Commands {
		routes.POST(path, func(ctx *fasthttp.RequestCtx) { runCommand(ctx, command) })
	}
	return &Admin{server: &fasthttp.Server{
		Name:               "driftstage",
		Handler:            routes.Handler,
		ReadTimeout:        adminTimeout,
		WriteTimeout:       adminTimeout,
		IdleTimeout:        adminTimeout,
		MaxRequestBodySize: maxAdminBodyBytes,
		Concurrency:        maxAdminConnections,
		CloseOnShutdown:    true,
		Logger:             DiscardHTTPLogger{},
	}}
}

func runCommand(ctx *fasthttp.RequestCtx, command func(query *fasthttp.Args) error) {
	if err := command(ctx.QueryArgs()); err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBodyString("ok\n")
}

func writeReady(ctx *fasthttp.RequestCtx, reason string) {
	if reason != "" {
		ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

func writeState(ctx *fasthttp.RequestCtx, state any) {
	encoded, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(encoded, '\n'))
}

// Serve answers on the listener until Close.
func (admin *Admin) Serve(listener net.Listener) error {
	return admin.server.Serve(listener)
}

// Close shuts the server down.
func (admin *Admin) Close() error {
	return admin.server.Shutdown()
}

// DiscardHTTPLogger discards what fasthttp logs about single connections, since a
// broken client could fill the logs; metrics count such failures.
type DiscardHTTPLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardHTTPLogger) Printf(string, ...any) {}
