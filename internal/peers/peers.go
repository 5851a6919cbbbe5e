// Package peers lets a node that has just started learn the configuration and the
// servers from other nodes while the store is away.
//
// What a peer tells may be as old as its own contact with the store. A node takes
// it only as long as the store itself has told nothing, and never goes back to an
// older configuration.
package peers

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/telemetry"
)

// Snapshot is what a node knows. JSON carries it: the codec is linked for the
// store's objects already, and snapshots are rare.
type Snapshot struct {
	Table   routing.Document
	Servers []endpoints.Server
}

const (
	snapshotPath = "/v1/snapshot"
	// askTimeout bounds one question to a peer.
	askTimeout = 500 * time.Millisecond
	// askInterval is the pause after a round of questions.
	askInterval = 300 * time.Millisecond
	// patience, and a random part of patienceSpread, is how long the store has to
	// itself before peers are asked: many nodes that start together must not all
	// turn to the same few.
	patience       = 350 * time.Millisecond
	patienceSpread = 350 * time.Millisecond
	// maximumSnapshotBytes bounds an answer.
	maximumSnapshotBytes = 64 << 20
	idleTimeout          = 10 * time.Second
	maximumConnections   = 64
)

// Server tells other nodes what this one knows.
type Server struct {
	http *fasthttp.Server
}

// NewServer returns a server; the function returns false while nothing is known.
func NewServer(snapshot func() (Snapshot, bool)) *Server {
	routes := router.New()
	routes.GET(snapshotPath, func(ctx *fasthttp.RequestCtx) { answer(ctx, snapshot) })
	return &Server{http: &fasthttp.Server{
		Handler:               routes.Handler,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           idleTimeout,
		Concurrency:           maximumConnections,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		Logger:                telemetry.SilentHTTPLogger{},
	}}
}

// Serve answers on the listener until it is closed.
func (server *Server) Serve(listener net.Listener) error { return server.http.Serve(listener) }

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
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// Ask returns what the node at the address (IP:port) knows.
func Ask(address string) (Snapshot, error) {
	client := &fasthttp.HostClient{
		Addr:                      address,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maximumSnapshotBytes,
		NoDefaultUserAgentHeader:  true,
		DialTimeout: func(address string, _ time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp4", address, askTimeout)
		},
	}
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + snapshotPath)
	request.SetConnectionClose()
	if err := client.DoTimeout(request, response, askTimeout); err != nil {
		return Snapshot{}, err
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return Snapshot{}, errors.Newf("the peer answered %d", status)
	}
	var snapshot Snapshot
	err := json.Unmarshal(response.Body(), &snapshot)
	return snapshot, err
}

// Starter asks peers until the node knows enough.
type Starter struct {
	// Addresses are the peers; some may be stale or down.
	Addresses []string
	// Known reports whether the node needs nothing more.
	Known func() bool
	// Adopt takes over what a peer knows.
	Adopt func(Snapshot) error
}

// Run returns when the node knows enough, or when ctx ends.
func (starter Starter) Run(ctx context.Context) {
	pause := patience + rand.N(patienceSpread)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if starter.Known() {
			return
		}
		starter.askAll()
		pause = askInterval
	}
}

// askAll asks the peers in random order until one knows enough.
func (starter Starter) askAll() {
	for _, index := range rand.Perm(len(starter.Addresses)) {
		if starter.Known() {
			return
		}
		address := starter.Addresses[index]
		snapshot, err := Ask(address)
		if err == nil {
			err = starter.Adopt(snapshot)
		}
		if err != nil {
			klog.V(1).InfoS("peer knows nothing", "peer", address, "cause", err.Error())
			continue
		}
		klog.InfoS("configuration learned from a peer", "peer", address, "version", snapshot.Table.Version, "servers", len(snapshot.Servers))
	}
}
