package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/driftstage/driftstage/internal/loopback"
	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// convergenceTime is how long a node must have been undisturbed for a bound to hold, and how
	// long all nodes have to learn what one has detected.
	convergenceTime = 5 * time.Second
	// minCrashes is the number of servers a request may crash before the limit on its sends
	// applies, maxSends the number of sends that the platform allows after that.
	minCrashes = 3
	maxSends   = 3
	// serverWork is the service time of a request.
	serverWork = 20 * time.Millisecond
	// crashRestartDelay is the time until a crashed server restarts, entryExpiry is how long its
	// entry remains: three heartbeats.
	crashRestartDelay = 2 * time.Second
	entryExpiry       = 3600 * time.Millisecond
)

// crashPrefix is the prefix of the names of requests that crash servers.
const crashPrefix = "lethal-"

// crashTopology is the size of a run, and which of its servers crash and how.
type crashTopology struct {
	nodes, shards int
	oneRegion     bool
	// crashKind is how servers crash.
	crashKind standin.Crash
	// affected reports whether the servers of a service crash; nil for all.
	affected func(service string) bool
}

// crashWorld holds nodes and servers that crash on some requests and restart with new ids.
type crashWorld struct {
	*testing.T
	topology crashTopology
	store    *standin.Store
	shards   []string
	nodes    []*node

	mutex       sync.Mutex
	serverCount int
	servers     []*standin.Server
	// places are the places of all servers; running is the latest incarnation in each.
	places  []serverPlace
	running map[serverPlace]*standin.Server
	// crashes are the times at which servers crashed, by the path of the request.
	crashes map[string][]time.Time
	// closed is set when crashed servers no longer restart.
	closed bool
}

// serverPlace identifies a server across its incarnations.
type serverPlace struct {
	service string
	zone    int
}

func newCrashWorld(t *testing.T, topology crashTopology) *crashWorld {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	built := &crashWorld{T: t, topology: topology, store: store, crashes: make(map[string][]time.Time), running: make(map[serverPlace]*standin.Server)}
	for index := range topology.shards {
		built.shards = append(built.shards, fmt.Sprintf("shard-%c", 'a'+index))
	}
	t.Cleanup(store.Close)
	t.Cleanup(built.close)
	built.configure()
	for _, service := range append([]string{singleService}, built.shards...) {
		for zone := range 3 {
			built.places = append(built.places, serverPlace{service, zone})
			built.serve(service, zone, "")
		}
	}
	built.nodes = startNodes(t, &world{store: store}, nodeTopology(topology))
	return built
}

// nodeTopology returns the topology of the nodes.
func nodeTopology(c crashTopology) topology { return topology{nodes: c.nodes, oneRegion: c.oneRegion} }

func (w *crashWorld) configure() { w.configureWith(1) }

// configureWith writes a configuration version with additional routes.
func (w *crashWorld) configureWith(version uint64, further ...standin.Route) {
	route := func(path, kind string) standin.Route {
		return standin.Route{Name: "r" + path, Host: host, PathPrefix: path, Kind: kind, TimeoutMs: 4000, TargetLatencyMs: 250, MaxAttempts: 3, Service: singleService}
	}
	gather := route(pathGather, "safe")
	gather.Service, gather.Gather, gather.ResultCount, gather.MinVersion = "", w.shards, resultCount, 0.74
	err := w.store.Configure(standin.Configuration{
		Version: version,
		Routes:  append([]standin.Route{gather, route(pathSafe, "safe"), route(pathUnsafe, "unsafe")}, further...),
		Limits:  standin.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
	if err != nil {
		w.Fatal(err)
	}
}

// serve starts a server of a service. Without an address it gets one from package loopback, whose port
// outgoing connections of other processes do not take while the server is down.
func (w *crashWorld) serve(service string, zone int, address string) {
	if address == "" {
		var err error
		if address, err = loopback.FreeAddress(); err != nil {
			w.Error(err)
			return
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return
	}
	w.serverCount++
	id := fmt.Sprintf("i-%s-%d-%d", service, zone, w.serverCount)
	server, err := standin.NewServer(standin.ServerOptions{
		ID: id, Service: service, Zone: zoneName(zone), ServiceTime: serverWork, Address: address,
		Body:    []byte(record(service, "common") + record(service, "own")),
		CrashOn: func(request *http.Request, _ string) standin.Crash { return w.crashOn(service, request) },
		OnCrash: func(crashed *standin.Server) { w.restartServer(crashed, service, zone) },
	})
	if err != nil {
		w.Error(err)
		return
	}
	w.servers = append(w.servers, server)
	w.running[serverPlace{service, zone}] = server
	if err := w.store.Put("servers", id, server.Spec()); err != nil {
		w.Error(err)
	}
}

// crashOn returns how a server of the service crashes on the request.
func (w *crashWorld) crashOn(service string, request *http.Request) standin.Crash {
	if !crashesServers(request.RequestURI) || w.topology.affected != nil && !w.topology.affected(service) {
		return standin.CrashNone
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.crashes[request.RequestURI] = append(w.crashes[request.RequestURI], time.Now())
	return w.topology.crashKind
}

func crashesServers(path string) bool { return strings.Contains(path, crashPrefix) }

// restartServer restarts a crashed server with another id, and removes the earlier entry on expiry.
func (w *crashWorld) restartServer(crashed *standin.Server, service string, zone int) {
	time.AfterFunc(entryExpiry, func() { w.store.Remove("servers", crashed.ID()) })
	time.AfterFunc(crashRestartDelay, func() {
		address := crashed.Address()
		if w.topology.crashKind == standin.CrashHang {
			address = ""
		}
		w.serve(service, zone, address)
	})
}

func (w *crashWorld) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.closed = true
	for _, server := range w.servers {
		server.Close()
	}
}

// crashesOf returns the times at which servers crashed on the request.
func (w *crashWorld) crashesOf(path string) []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]time.Time(nil), w.crashes[path]...)
}

// sendsAfterBound returns how many times the request reached servers after the limit on its sends
// applies: convergenceTime after it has crashed minCrashes servers.
func (w *crashWorld) sendsAfterBound(path string) int {
	crashes := w.crashesOf(path)
	if len(crashes) < minCrashes {
		return 0
	}
	from := crashes[minCrashes-1].Add(convergenceTime)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, server := range w.servers {
		for _, run := range server.Runs() {
			if run.URI == path && run.At.After(from) {
				count++
			}
		}
	}
	return count
}

// crashServers crashes servers independently of requests, at random times within spread. They
// restart like servers that crashed on a request.
func (w *crashWorld) crashServers(affected func(service string, zone int) bool, spread time.Duration, random *lockedRandom) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, place := range w.places {
		if server := w.running[place]; server != nil && affected(place.service, place.zone) {
			time.AfterFunc(time.Duration(random.IntN(int(spread)+1)), func() {
				server.Close()
				w.restartServer(server, place.service, place.zone)
			})
		}
	}
}

// resetConnections resets the connections of all servers, which keep running.
func (w *crashWorld) resetConnections() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, server := range w.running {
		server.ResetConnections()
	}
}

// quarantinedAfter returns the time from the third crash on a request until the last node
// quarantined it; false if some node never did.
func (w *crashWorld) quarantinedAfter(path string) (time.Duration, bool) {
	crashes := w.crashesOf(path)
	if len(crashes) < minCrashes {
		return 0, false
	}
	last := time.Time{}
	for _, node := range w.nodes {
		at, found := firstLine(w.T, node, `"msg":"request quarantined"`)
		if !found {
			return 0, false
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Sub(crashes[minCrashes-1]), true
}

// firstLine returns the time of a node's first log line that contains the text.
func firstLine(t *testing.T, node *node, text string) (time.Time, bool) {
	t.Helper()
	log, err := os.ReadFile(node.log.Name())
	if err != nil {
		t.Error(err)
	}
	for line := range bytes.Lines(log) {
		var entry struct{ Time time.Time }
		if bytes.Contains(line, []byte(text)) && json.Unmarshal(line, &entry) == nil {
			return entry.Time, true
		}
	}
	return time.Time{}, false
}
