package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

const host = "soak.example"

// shards are the services of the scatter-gather route.
var shards = []string{"shard-a", "shard-b", "shard-c", "shard-d"}

// singleService is the service of the routes without scatter-gather.
const singleService = "whole"

const (
	pathGather = "/gather/"
	pathSafe   = "/safe/"
	pathUnsafe = "/unsafe/"
)

// world holds the store, servers and links around the nodes.
type world struct {
	store   *standin.Store
	servers []*standin.Server
	// replaced are earlier incarnations of servers that were restarted with the same id.
	replaced []*standin.Server
	mutex    sync.Mutex
	// records are the records of each server, by its id.
	records map[string][]byte
	version uint64
	// links are the proxies in front of servers, proxyAddresses their addresses by server id.
	links          []*standin.Proxy
	proxyAddresses map[string]string
	// closed is set when crashed servers are no longer replaced.
	closed bool
}

// crashingShards are the services whose servers crash on some requests. The other services have
// rollouts, whose servers the operator starts and stops.
var crashingShards = shards[1:]

// serverRestartDelay is the time from the crash of a server until its entry is removed and a
// replacement starts.
const serverRestartDelay = 1200 * time.Millisecond

// randomBehavior selects a random faulty behavior for one request in twenty.
func randomBehavior(random *lockedRandom) func(int) standin.Behavior {
	behaviors := []standin.Behavior{standin.Shed, standin.RunWithoutResponse, standin.ResetAfterRun, standin.TruncateBody, standin.SendGarbage,
		standin.DuplicateResponse, standin.Unframed, standin.UnframedReset, standin.WrongResponseFirst, standin.Fail, standin.CloseAfter, standin.Encoded}
	return func(int) standin.Behavior {
		if random.IntN(20) > 0 {
			return standin.Respond
		}
		return behaviors[random.IntN(len(behaviors))]
	}
}

// lockedRandom is a random source that is safe for concurrent use.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newRandom(seed uint64) *lockedRandom {
	return &lockedRandom{random: rand.New(rand.NewPCG(seed, seed))}
}

// IntN returns a random number from 0 to n-1.
func (locked *lockedRandom) IntN(n int) int {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.random.IntN(n)
}

func newWorld(t *testing.T, random *lockedRandom) *world {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	built := &world{store: store, records: make(map[string][]byte), proxyAddresses: make(map[string]string)}
	built.configure(t)
	for _, service := range append([]string{singleService}, shards...) {
		for index := range 3 {
			built.serve(t, random, service, index)
		}
	}
	return built
}

// serve starts a server. Its index determines its zone and differs for each incarnation.
func (world *world) serve(t *testing.T, random *lockedRandom, service string, index int) {
	t.Helper()
	id := fmt.Sprintf("i-%s-%d", service, index)
	// The responses of a shard's servers differ in one record.
	body := []byte(record(service, "common") + record(service, id[len(id)-1:]))
	server, err := standin.NewServer(standin.ServerOptions{
		ID: id, Service: service, Zone: zoneName(index), Body: body, Behave: randomBehavior(random),
		CrashOn: func(request *http.Request, _ string) standin.Crash {
			if crashesServers(request.RequestURI) && slices.Contains(crashingShards, service) {
				return standin.CrashReset
			}
			return standin.CrashNone
		},
		OnCrash: func(crashed *standin.Server) { world.replaceServer(t, random, crashed, service, index) },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	link := newProxy(t, server.Address())
	spec := server.Spec()
	spec.Address = link.Address()
	if err := world.store.Put("servers", id, spec); err != nil {
		t.Fatal(err)
	}
	world.addRecords(id, body)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.links = append(world.links, link)
	world.proxyAddresses[id] = link.Address()
	world.servers = append(world.servers, server)
}

// replaceServer starts a replacement with another id in the same zone for a crashed server.
func (world *world) replaceServer(t *testing.T, random *lockedRandom, crashed *standin.Server, service string, index int) {
	time.Sleep(serverRestartDelay)
	world.store.Remove("servers", crashed.ID())
	world.mutex.Lock()
	closed := world.closed
	world.mutex.Unlock()
	if !closed {
		world.serve(t, random, service, index+zoneCount)
	}
}

// close stops replacing crashed servers.
func (world *world) close() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.closed = true
}

// clearLinkFaults clears the faults of all links.
func (world *world) clearLinkFaults() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, link := range world.links {
		link.Set(standin.LinkFault{})
	}
}

// anyServer returns a random server.
func (world *world) anyServer(random *lockedRandom) *standin.Server {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.servers[random.IntN(len(world.servers))]
}

// anyLink returns a random link.
func (world *world) anyLink(random *lockedRandom) *standin.Proxy {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.links[random.IntN(len(world.links))]
}

func (world *world) addRecords(id string, body []byte) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.records[id] = body
}

// record returns a record of 16 bytes that starts with the last letter of the service's name.
func record(service, text string) string {
	name := service[len(service)-1:] + "-" + text
	return name + strings.Repeat(".", 16-len(name))
}

// resultCount is the number of records in the response of the scatter-gather route.
const resultCount = 3

// configure writes the next configuration version, with a route specific to it that
// shows whether a node has applied the version.
func (world *world) configure(t *testing.T) {
	t.Helper()
	world.version++
	route := func(path, kind string) standin.Route {
		return standin.Route{Name: "r" + path, Host: host, PathPrefix: path, Kind: kind, TimeoutMs: 2000, TargetLatencyMs: 300, MaxAttempts: 2}
	}
	gather, safe, unsafe, own := route(pathGather, "safe"), route(pathSafe, "safe"), route(pathUnsafe, "unsafe"), route(world.versionPath(), "safe")
	gather.Gather, gather.ResultCount, gather.MinVersion = shards, resultCount, 0.5
	safe.Service, unsafe.Service, own.Service = singleService, singleService, singleService
	err := world.store.Configure(standin.Configuration{
		Version: world.version,
		Routes:  []standin.Route{gather, safe, unsafe, own},
		Limits:  standin.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 65536, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (world *world) versionPath() string { return fmt.Sprintf("/version-%d/", world.version) }
