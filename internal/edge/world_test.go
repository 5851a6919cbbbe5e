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
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/platform"
	"github.com/driftstage/driftstage/platform/standin"
)

// world is a node with stand-ins of the store and of servers around it.
type world struct {
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

// newWorld starts a store with the configuration; the node starts with start.
func newWorld(t testing.TB, config standin.Configuration) *world {
	t.Helper()
	store, err := standin.NewStore()
	is.New(t).NoErr(err)
	t.Cleanup(store.Close)
	world := &world{t: t, store: store, servers: make(map[string]*standin.Server), stopped: make(chan error, 1)}
	world.configure(config)
	return world
}

func (world *world) configure(config standin.Configuration) {
	world.t.Helper()
	is.New(world.t).NoErr(world.store.Configure(config))
}

// serve starts a server and enters it into the store.
func (world *world) serve(options standin.ServerOptions) *standin.Server {
	world.t.Helper()
	is := is.New(world.t)
	if options.Zone == "" {
		options.Zone = "zone-1"
	}
	if options.Body == nil {
		options.Body = []byte("body of " + options.ID)
	}
	server, err := standin.NewServer(options)
	is.NoErr(err)
	world.t.Cleanup(server.Close)
	world.servers[options.ID] = server
	is.NoErr(world.store.Put("servers", options.ID, server.Spec()))
	return server
}

func freeAddress(t testing.TB) string {
	t.Helper()
	listen, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer listen.Close()
	return listen.Addr().String()
}

// start runs the node; it does not wait until it is ready.
func (world *world) start(change ...func(*settings.Router)) {
	world.t.Helper()
	world.loaded = settings.Router{
		Name:             "node-1",
		Zone:             "zone-1",
		Region:           "region-1",
		Regions:          map[string]string{"zone-1": "region-1", "zone-2": "region-2"},
		ListenAddress:    freeAddress(world.t),
		ReadinessAddress: freeAddress(world.t),
		StoreAddress:     world.store.Address(),
		Reloadable: settings.Reloadable{
			RetryRatio:  1,
			RetrySlack:  1000,
			RetryWindow: time.Millisecond,
			StopTimeout: time.Second,
		},
	}
	for _, apply := range change {
		apply(&world.loaded)
	}
	world.node = edge.New(world.loaded, platform.Names(), platform.NewStore(world.loaded.StoreAddress), edge.Logs{})
	ctx, stop := context.WithCancel(context.Background())
	world.stop = stop
	go func() { world.stopped <- world.node.Run(ctx) }()
	world.t.Cleanup(world.end)
}

func (world *world) end() {
	world.stop()
	select {
	case <-world.stopped:
	case <-time.After(10 * time.Second):
		world.t.Error("the node did not stop")
	}
}

func (world *world) ready() bool {
	answer, err := http.Get("http://" + world.loaded.ReadinessAddress + "/-/readiness")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (world *world) startReady(change ...func(*settings.Router)) {
	world.t.Helper()
	world.start(change...)
	world.eventually("ready", world.ready)
}

func (world *world) eventually(what string, condition func() bool) {
	world.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			world.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// closing tells whether the connection is announced to close.
	closing bool
}

// ask sends a GET request with the usual headers on a connection of its own.
func (world *world) ask(path, id string) answer {
	world.t.Helper()
	raw := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Request-Deadline: 2000\r\n\r\n", path, testHost, id)
	return world.exchange(raw)
}

// exchange sends raw bytes and reads one answer; status 0 means that there was none.
func (world *world) exchange(raw string) answer {
	world.t.Helper()
	conn, err := net.Dial("tcp4", world.loaded.ListenAddress)
	is.New(world.t).NoErr(err)
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

// record is a record of sixteen bytes that begins with the text.
func record(text string) string { return text + strings.Repeat(".", 16-len(text)) }

// runs returns how many requests all servers ran.
func (world *world) runs() int {
	count := 0
	for _, server := range world.servers {
		count += len(server.Runs())
	}
	return count
}
