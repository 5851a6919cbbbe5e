package edge

import (
	"math/rand/v2"
	"time"

	"go.uber.org/dig"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/dispatch"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/ingress"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/overload"
	"github.com/driftstage/driftstage/internal/peers"
	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/upstream"
)

// New builds a node by dependency injection; it starts nothing.
func New(loaded settings.Router, names ingress.Names, store Store, logs Logs) *Node {
	container := dig.New()
	for _, constructor := range []any{
		func() settings.Router { return loaded },
		func() ingress.Names { return names },
		func() Store { return store },
		func() Logs { return logs },
		newTopology,
		newMember,
		newClient,
		newDirectory,
		newMeter,
		newState,
		newSelector,
		newTableRelay,
		newServerRelay,
		newEvacuationRelay,
		newTracker,
		newRolloutRelay,
		newQuarantineRelay,
		newNode,
	} {
		must(container.Provide(constructor))
	}
	var node *Node
	must(container.Invoke(func(built *Node) { node = built }))
	return node
}

// must panics on an error: a missing or duplicate constructor is a programming error in this
// file, which every test of the package detects.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func newTopology(loaded settings.Router) endpoints.Topology {
	return endpoints.Topology{
		Node:    loaded.Name,
		Self:    endpoints.Locality{Zone: loaded.Zone, Region: loaded.Region},
		Regions: loaded.Regions,
	}
}

func newMember(loaded settings.Router) members.Member {
	return members.Member{Name: loaded.Name, Zone: loaded.Zone, Address: loaded.PeerAddress}
}

func newClient(names ingress.Names) *upstream.Client { return upstream.NewClient(names.Headers) }

func newDirectory(topology endpoints.Topology, client *upstream.Client, tracker *rollout.Tracker) *endpoints.Directory {
	directory := endpoints.New(topology, client)
	directory.SetRolloutTracker(tracker)
	directory.SetSuspensionClock(boottime.Suspended)
	return directory
}

func newMeter() *overload.Meter { return overload.NewMeter(GCPercent) }

func newState(directory *endpoints.Directory, client *upstream.Client, meter *overload.Meter, tracker *rollout.Tracker, store Store) *state {
	return &state{directory: directory, client: client, loadMeter: meter, eras: store.Eras(), tracker: tracker, synced: make(chan struct{})}
}

func newSelector(self members.Member, topology endpoints.Topology) *peers.Selector {
	return peers.NewSelector(self, topology.SameRegion)
}

func newTableRelay(selector *peers.Selector, state *state) *peers.Relay[*routing.Table] {
	relay := peers.NewRelay(feedTables, peers.TableCodec{}, selector)
	relay.ServeState(state.tables)
	return relay
}

func newServerRelay(selector *peers.Selector, directory *endpoints.Directory) *peers.Relay[endpoints.Server] {
	relay := peers.NewRelay(feedServers, peers.PlainCodec[endpoints.Server]{}, selector)
	relay.ServeState(directory.ListedServers)
	return relay
}

func newEvacuationRelay(selector *peers.Selector, state *state) *peers.Relay[endpoints.Evacuation] {
	relay := peers.NewRelay(feedEvacuations, peers.PlainCodec[endpoints.Evacuation]{}, selector)
	relay.ServeState(state.evacuations)
	return relay
}

// parts are the dependencies of newNode.
type parts struct {
	dig.In

	Settings        settings.Router
	Names           ingress.Names
	Store           Store
	Logs            Logs
	Topology        endpoints.Topology
	Member          members.Member
	Client          *upstream.Client
	Directory       *endpoints.Directory
	Meter           *overload.Meter
	State           *state
	Selector        *peers.Selector
	TableRelay      *peers.Relay[*routing.Table]
	ServerRelay     *peers.Relay[endpoints.Server]
	EvacuationRelay *peers.Relay[endpoints.Evacuation]
	Tracker         *rollout.Tracker
	RolloutRelay    *peers.Relay[rollout.Order]
	QuarantineRelay *peers.Relay[quarantine.Record]
}

func newNode(parts parts) *Node {
	node := &Node{
		settings:        parts.Settings,
		topology:        parts.Topology,
		member:          parts.Member,
		started:         time.Now(),
		store:           parts.Store,
		state:           parts.State,
		directory:       parts.Directory,
		client:          parts.Client,
		loadMeter:       parts.Meter,
		selector:        parts.Selector,
		tableRelay:      parts.TableRelay,
		serverRelay:     parts.ServerRelay,
		evacuationRelay: parts.EvacuationRelay,
		tracker:         parts.Tracker,
		rolloutRelay:    parts.RolloutRelay,
		quarantineRelay: parts.QuarantineRelay,
		poolChanged:     make(chan struct{}, 1),
		becameReader:    make(chan struct{}),
		storeRestored:   make(chan struct{}, 1),
		startupHold:     minStartupHold + rand.N(startupHoldJitter),
	}
	node.reloadable.Store(&node.settings.Reloadable)
	for _, relay := range []interface {
		SetSuspensionClock(func() time.Duration)
		UseEraTracker(*catalog.EraTracker)
	}{
		node.tableRelay, node.serverRelay, node.evacuationRelay, node.rolloutRelay, node.quarantineRelay,
	} {
		relay.SetSuspensionClock(boottime.Suspended)
		relay.UseEraTracker(node.store.Eras())
	}
	node.announcer = node.newAnnouncer()
	node.metrics = newMetrics(node, parts.Logs)
	node.clients = clientLimits(node.settings, newLimitObserver(node.metrics))
	node.agent = newAgent(node)
	node.setShares(minAssumedCount)
	node.quarantine = newQuarantineManager(node)
	node.state.quarantine = node.quarantine
	dispatcher := dispatch.New(node.directory, node.client, parts.Logs.Recorder, node.metrics, node.loadMeter)
	dispatcher.SetQuarantine(node.quarantine)
	node.server = ingress.New(ingress.Options{
		Names:      parts.Names,
		Table:      node.state.Table,
		Synced:     node.state.synced,
		Overloaded: node.state.shedsConnections,
		Dispatcher: dispatcher,
		Clients:    node.clients,
	})
	node.readiness = newReadiness(parts.Names.ReadinessPath, node.state.ready)
	node.store.Eras().OnRestore(node.handleStoreRestored)
	return node
}
