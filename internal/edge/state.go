package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/peers"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/upstream"
)

// load tells how busy the node is.
type load interface {
	// Busy returns for how long the node has been overloaded; zero if it is not.
	Busy() time.Duration
}

// state is what the node believes: the configuration and the servers.
type state struct {
	directory *endpoints.Directory
	client    *upstream.Client
	load      load
	table     atomic.Pointer[routing.Table]
	// adopting keeps two sources from going back on each other's versions.
	adopting sync.Mutex
	// serversKnown is set once the servers have been listed.
	serversKnown atomic.Bool
	// serversListed is set once the store itself has listed them.
	serversListed atomic.Bool
	stopping      atomic.Bool
	// replacing keeps a peer's list from taking the place of the store's.
	replacing sync.Mutex
}

// Table returns the configuration in force; nil if none is known yet.
func (state *state) Table() *routing.Table { return state.table.Load() }

// ready reports whether the node takes new connections.
func (state *state) ready() bool { return state.reason() == "" }

// reason returns why the node takes no new connections; empty if it does.
func (state *state) reason() string {
	switch {
	case state.stopping.Load():
		return "the node is stopping"
	case state.table.Load() == nil:
		return "no configuration is known yet"
	case !state.serversKnown.Load():
		return "the servers are not known yet"
	case state.load.Busy() > 0:
		return "the node is overloaded"
	}
	return ""
}

// noticeOverload is how long after the beginning of overload callers are sent to
// other nodes: before that the platform would hand them back to this one.
const noticeOverload = 2500 * time.Millisecond

// shedsCallers reports whether callers should open their connections anew, to
// another node.
func (state *state) shedsCallers() bool { return state.load.Busy() > noticeOverload }

// version returns the version of the configuration in force; 0 for none.
func (state *state) version() uint64 {
	if table := state.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// description is what the node believes, for operators.
type description struct {
	Version     uint64
	Servers     int
	NotReadyFor string
}

func (state *state) describe() description {
	return description{
		Version:     state.version(),
		Servers:     state.directory.Count(),
		NotReadyFor: state.reason(),
	}
}

// adopt takes over a configuration unless a newer one is known: versions never
// go back within a process.
func (state *state) adopt(table *routing.Table) {
	state.adopting.Lock()
	defer state.adopting.Unlock()
	if known := state.table.Load(); known != nil && table.Version <= known.Version {
		return
	}
	state.directory.Configure(table, time.Now())
	state.table.Store(table)
	klog.InfoS("configuration in force", "version", table.Version, "routes", table.RouteCount())
}

// complete reports whether the node needs nothing from its peers.
func (state *state) complete() bool {
	return state.table.Load() != nil && state.serversKnown.Load()
}

// snapshot returns what the node knows for other nodes; false while it is not
// complete.
func (state *state) snapshot() (peers.Snapshot, bool) {
	if !state.complete() {
		return peers.Snapshot{}, false
	}
	return peers.Snapshot{Table: state.table.Load().Document(), Servers: state.directory.Servers()}, true
}

// adoptSnapshot takes over what a peer knows, as far as the store has not told.
func (state *state) adoptSnapshot(snapshot peers.Snapshot) error {
	table, err := snapshot.Table.Table()
	if err != nil {
		return err
	}
	state.adopt(table)
	state.replacing.Lock()
	defer state.replacing.Unlock()
	if !state.serversListed.Load() {
		state.replaceServers(snapshot.Servers)
	}
	return nil
}

// tableSink takes configurations from a follower.
type tableSink struct{ state *state }

// Replace implements catalog.Sink.
func (sink tableSink) Replace(tables []*routing.Table) {
	for _, table := range tables {
		sink.state.adopt(table)
	}
}

// Apply implements catalog.Sink. The operators' configuration is never removed;
// a removal leaves the known one in force.
func (sink tableSink) Apply(change catalog.Change[*routing.Table]) {
	if !change.Removed {
		sink.state.adopt(change.Value)
	}
}

// serverSink takes servers from a follower.
type serverSink struct{ state *state }

// Replace implements catalog.Sink.
func (sink serverSink) Replace(servers []endpoints.Server) {
	sink.state.replacing.Lock()
	defer sink.state.replacing.Unlock()
	sink.state.replaceServers(servers)
	sink.state.serversListed.Store(true)
	klog.V(1).InfoS("servers listed", "count", len(servers))
}

func (state *state) replaceServers(servers []endpoints.Server) {
	for _, id := range state.directory.Replace(servers, time.Now()) {
		state.client.Forget(id)
	}
	state.serversKnown.Store(true)
}

// Apply implements catalog.Sink.
func (sink serverSink) Apply(change catalog.Change[endpoints.Server]) {
	if change.Removed {
		sink.state.directory.Remove(change.Name)
		sink.state.client.Forget(change.Name)
		return
	}
	sink.state.directory.Put(change.Value, time.Now())
}
