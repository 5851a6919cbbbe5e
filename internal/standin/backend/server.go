package backend

import (
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Server is one stand-in server with its own loopback listener.
//
// It uses net/http instead of fasthttp, because fasthttp does not notify handlers
// when the client closes its connection while the request runs.
type Server struct {
	name     string
	zone     string
	index    int
	options  Options
	layout   layout
	record   *Record
	slots    *slots
	versions versionSet
	faults   faultState
	status   laggingStatus
	counters counterSet
	previous previousReply
	padding  string

	mutex   sync.Mutex
	rng     *rand.Rand
	started time.Time
	address string
	http    *http.Server
}

func newServer(options Options, index int, record *Record) *Server {
	return &Server{
		name:     serverName(options.Service, index),
		zone:     options.Zones[index%len(options.Zones)],
		index:    index,
		options:  options,
		layout:   layout{servers: options.Servers, replicas: options.Replicas},
		record:   record,
		slots:    newSlots(options.Slots, options.Queue),
		versions: versionSet{limit: options.VersionsHeld},
		status:   laggingStatus{lag: options.StatusLag},
		padding:  makePadding(options.ResultBytes),
		rng:      rand.New(rand.NewPCG(options.Seed, uint64(index))),
		address:  "127.0.0.1:0",
	}
}

// start listens on a free port, or, after a stop, on the previous one.
func (server *Server) start(now time.Time) error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.http != nil {
		return nil
	}
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return err
	}
	server.address = listener.Addr().String()
	server.started = now
	server.http = &http.Server{
		Handler:           server.routes(),
		ReadHeaderTimeout: defaultDeadline,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	limited := newLimitedListener(listener, server.options.Connections, server.counters.closeConnection)
	go serve(server.http, limited)
	return nil
}

func serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Printf("stand-in server on %s: %v", listener.Addr(), err)
	}
}

// stop closes the listener and all connections immediately, as a crash would.
func (server *Server) stop() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.http == nil {
		return
	}
	_ = server.http.Close()
	server.http = nil
}

func (server *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(server.options.Path, server.serveQuery)
	mux.HandleFunc("GET /healthz", server.serveHealth)
	mux.HandleFunc("GET /load", server.serveLoad)
	return mux
}

// setFault sets or clears the fault of this server.
func (server *Server) setFault(fault Fault, now time.Time) error {
	server.faults.set(fault, now)
	if fault.Kind == FaultCrash {
		server.stop()
		return nil
	}
	return server.start(now)
}

// drawServiceTime returns a random service time for one sub-request.
func (server *Server) drawServiceTime(now time.Time) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	drawn := server.options.Time.Sample(server.rng)
	return time.Duration(float64(drawn) * server.coldFactor(now))
}

func (server *Server) coldFactor(now time.Time) float64 {
	age := now.Sub(server.started)
	if age >= server.options.ColdFor {
		return 1
	}
	remaining := 1 - float64(age)/float64(server.options.ColdFor)
	return 1 + (server.options.ColdFactor-1)*remaining
}

func (server *Server) load(now time.Time) Load {
	draining, _ := server.faults.draining(now)
	return Load{
		Running:   server.slots.running(),
		Slots:     server.options.Slots,
		Snapshots: server.versions.snapshots(),
		Draining:  draining,
	}
}

func (server *Server) currentCounters() Counters {
	counts := server.counters.snapshot()
	counts.Server = server.name
	counts.DrainingSince = server.faults.drainingSince()
	return counts
}

func (server *Server) describe() v1.Server {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return v1.Server{
		Name:        server.name,
		Address:     server.address,
		Zone:        server.zone,
		Slots:       server.options.Slots,
		Connections: server.options.Connections,
	}
}
