package node

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/gateway"
	"github.com/driftstage/driftstage/internal/gossip"
	"github.com/driftstage/driftstage/internal/owner"
	"github.com/driftstage/driftstage/internal/platform"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/telemetry"
	"github.com/driftstage/driftstage/internal/wire"
)

// assemble builds the node by dependency injection.
func assemble(loaded settings.Settings, opened *listeners) (*Node, error) {
	container := dig.New()
	constructors := []any{
		func() settings.Settings { return loaded },
		func() *listeners { return opened },
		telemetry.NewRegistry,
		config.NewStore,
		newWireClient,
		newPlatformClient,
		newWireServer,
		newMember,
		newMachineList,
		newOwner,
		newController,
		newScatterer,
		newGateway,
		newAdmin,
		newNode,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return nil, errors.Wrap(err, "assemble the node")
		}
	}
	var built *Node
	err := container.Invoke(func(node *Node) { built = node })
	return built, dig.RootCause(err)
}

// nodeParts are the dependencies of newNode.
type nodeParts struct {
	dig.In

	Settings  settings.Settings
	Listeners *listeners
	Gateway   *gateway.Gateway
	Owner     *owner.Manager
	Admin     *telemetry.Admin
	Server    *wire.Server
	Client    *wire.Client
	Member    *gossip.Node
	Control   *controller.Controller
	Machines  *machineList
}

func newNode(parts nodeParts) *Node {
	return &Node{
		settings:  parts.Settings,
		listeners: parts.Listeners,
		gateway:   parts.Gateway,
		owner:     parts.Owner,
		admin:     parts.Admin,
		server:    parts.Server,
		client:    parts.Client,
		member:    parts.Member,
		control:   parts.Control,
		machines:  parts.Machines,
	}
}

func newWireClient(loaded settings.Settings) *wire.Client {
	return wire.NewClient(wire.ClientOptions{Cluster: loaded.Cluster})
}

func newPlatformClient(loaded settings.Settings) *platform.Client {
	return platform.NewClient(platform.Options{Address: loaded.PlatformAddress, Name: loaded.Name})
}

func newWireServer(loaded settings.Settings) *wire.Server {
	return wire.NewServer(wire.ServerOptions{Cluster: loaded.Cluster})
}

func newMember(loaded settings.Settings, opened *listeners, server *wire.Server, store *config.Store, registry *prometheus.Registry) *gossip.Node {
	return gossip.New(gossip.Options{
		Cluster: loaded.Cluster,
		Self: swim.Member{
			ID:            loaded.Name,
			Address:       opened.wire.Addr().String(),
			GossipAddress: opened.gossip.LocalAddr().String(),
			Zone:          loaded.Zone,
			Region:        loaded.Region,
		},
		Connection: opened.gossip,
		Server:     server,
		Store:      store,
		Join:       loaded.Join,
		Registry:   registry,
	})
}

func newController(loaded settings.Settings, client *platform.Client, member *gossip.Node, store *config.Store, registry *prometheus.Registry) *controller.Controller {
	return controller.New(controller.Options{
		Name:        loaded.Name,
		Client:      client,
		Candidate:   candidate(loaded.Name, member),
		Publisher:   member,
		Propagation: propagation{member: member},
		Config:      store,
		Registry:    registry,
	})
}

func newOwner(loaded settings.Settings, store *config.Store, member *gossip.Node, machines *machineList, server *wire.Server, registry *prometheus.Registry) *owner.Manager {
	manager := owner.NewManager(owner.Options{
		Services:  store,
		Ownership: &ownership{self: loaded.Name, members: member, store: store},
		Machines:  machines,
		Metrics:   owner.NewMetrics(registry),
	})
	registry.MustRegister(manager)
	serveOwner(server, manager)
	return manager
}

func newScatterer(loaded settings.Settings, member *gossip.Node, client *wire.Client, manager *owner.Manager, registry *prometheus.Registry) *scatter.Scatterer {
	return scatter.New(scatter.Options{
		NodeID:  loaded.Name,
		Zone:    loaded.Zone,
		Members: member,
		Owners:  ownerPeers{client: client},
		Local:   manager,
		Metrics: scatter.NewMetrics(registry),
	})
}

func newGateway(loaded settings.Settings, store *config.Store, scatterer *scatter.Scatterer, member *gossip.Node, registry *prometheus.Registry) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Services:           store,
		Runner:             scatterer,
		NotReadyReason:     member.NotReadyReason,
		Registry:           registry,
		MaximumBodyBytes:   loaded.MaximumBodyBytes,
		MaximumConnections: loaded.MaximumConnections,
	})
}

func newAdmin(registry *prometheus.Registry, member *gossip.Node, state stateSource) *telemetry.Admin {
	return telemetry.NewAdmin(telemetry.AdminOptions{
		Registry:       registry,
		NotReadyReason: member.NotReadyReason,
		State:          func() any { return state.read() },
	})
}
