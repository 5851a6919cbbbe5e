package edge_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/edge"
	"github.com/driftstage/driftstage/internal/loopback"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/platform"
	"github.com/driftstage/driftstage/platform/standin"
)

// harness runs a node with a test store and test servers.
type harness struct {
	t       testing.TB
	store   *standin.Store
	servers map[string]*standin.Server
	node    *edge.Node
	loaded  settings.Router
	stop    context.CancelFunc
	stopped chan error
}

const testHost = "a.example"

var testLimits = standin.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 65536, HeaderTimeoutMs: 500, IdleTimeoutMs: 3000}

func singleRoute(path, kind, service string) standin.Route {
	return standin.Route{
		Name: "r" + path, Host: testHost, PathPrefix: path, Kind: kind,
		TimeoutMs: 2000, TargetLatencyMs: 500, Service: service, MaxAttempts: 2,
	}
}

func gatherRoute(path string, shards ...string) standin.Route {
	return standin.Route{
		Name: "r" + path, Host: testHost, PathPrefix: path, Kind: "safe",
		TimeoutMs: 2000, TargetLatencyMs: 300, Gather: shards, MaxAttempts: 2, ResultCount: 3, MinVersion: 0.5,
	}
}

func configuration(version uint64, routes ...standin.Route) standin.Configuration {
	return standin.Configuration{Version: version, Routes: routes, Limits: testLimits}
}

// newHarness starts a store with the configuration; start starts the node.
func newHarness(t testing.TB, config standin.Configuration) *harness {
	t.Helper()
	store, err := standin.NewStore()
	is.New(t).NoErr(err)
	t.Cleanup(store.Close)
	store.EnableEra()
	h := &harness{t: t, store: store, servers: make(map[string]*standin.Server), stopped: make(chan error, 1)}
	h.configure(config)
	return h
}

func (h *harness) configure(config standin.Configuration) {
	h.t.Helper()
	is.New(h.t).NoErr(h.store.Configure(config))
}

// startServer starts a server and registers it in the store.
func (h *harness) startServer(options standin.ServerOptions) *standin.Server {
	h.t.Helper()
	is := is.New(h.t)
	if options.Zone == "" {
		options.Zone = "zone-1"
	}
	if options.Body == nil {
		options.Body = []byte("body of " + options.ID)
	}
	server, err := standin.NewServer(options)
	is.NoErr(err)
	h.t.Cleanup(server.Close)
	h.servers[options.ID] = server
	is.NoErr(h.store.Put("servers", options.ID, server.Spec()))
	return server
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start starts the node without waiting until it is ready.
func (h *harness) start(change ...func(*settings.Router)) {
	h.t.Helper()
	h.loaded = settings.Router{
		Name:             "node-1",
		Zone:             "zone-1",
		Region:           "region-1",
		Regions:          map[string]string{"zone-1": "region-1", "zone-2": "region-2"},
		ListenAddress:    freeAddress(h.t),
		ReadinessAddress: freeAddress(h.t),
		StoreAddress:     h.store.Address(),
		Reloadable: settings.Reloadable{
			RetryRatio:  1,
			RetrySlack:  1000,
			RetryWindow: time.Millisecond,
			StopTimeout: time.Second,
		},
	}
	for _, apply := range change {
		apply(&h.loaded)
	}
	h.node = edge.New(h.loaded, platform.Names(), platform.NewStore(h.loaded.StoreAddress), edge.Logs{})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.stopped <- h.node.Run(ctx) }()
	h.t.Cleanup(h.shutdown)
}

func (h *harness) shutdown() {
	h.stop()
	select {
	case <-h.stopped:
	case <-time.After(10 * time.Second):
		h.t.Error("the node did not stop")
	}
}

// listening reports whether the node accepts callers' connections.
func (h *harness) listening() bool {
	conn, err := net.Dial("tcp4", h.loaded.ListenAddress)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func (h *harness) ready() bool {
	answer, err := http.Get("http://" + h.loaded.ReadinessAddress + "/-/readiness")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (h *harness) startReady(change ...func(*settings.Router)) {
	h.t.Helper()
	h.start(change...)
	h.eventually("ready", h.ready)
}

func (h *harness) eventually(what string, condition func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			h.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// closing is set if the response announces that the connection closes.
	closing bool
}

// get sends a GET request with the usual headers on a new connection.
func (h *harness) get(path, id string) answer {
	h.t.Helper()
	raw := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Request-Deadline: 2000\r\n\r\n", path, testHost, id)
	return h.sendRaw(raw)
}

// sendRaw sends raw bytes on a new connection and reads one answer; status 0 means that there was none.
func (h *harness) sendRaw(raw string) answer {
	h.t.Helper()
	conn, err := net.Dial("tcp4", h.loaded.ListenAddress)
	is.New(h.t).NoErr(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Write([]byte(raw))
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(reader *bufio.Reader) answer {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(response.Body); err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, header: response.Header, body: body.String(), closing: response.Close}
}

// record returns a result record: the text, padded to 16 bytes.
func record(text string) string { return text + strings.Repeat(".", 16-len(text)) }

// runCount returns how many requests all servers executed.
func (h *harness) runCount() int {
	count := 0
	for _, server := range h.servers {
		count += len(server.Runs())
	}
	return count
}
