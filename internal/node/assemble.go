package node

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/gateway"
	"github.com/driftstage/driftstage/internal/owner"
	"github.com/driftstage/driftstage/internal/platform"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/telemetry"
	"github.com/driftstage/driftstage/internal/wire"
)

// assemble builds the parts by dependency injection.
func assemble(loaded settings.Settings, opened *listeners) (*Node, error) {
	container := dig.New()
	constructors := []any{
		func() settings.Settings { return loaded },
		func() *listeners { return opened },
		telemetry.NewRegistry,
		config.NewStore,
		newWireClient,
		newPlatformClient,
		newPlatformPoller,
		newOwner,
		newWireServer,
		newScatterer,
		newReadiness,
		newGateway,
		newAdmin,
		newNode,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return nil, errors.Wrap(err, "wire the daemon")
		}
	}
	var built *Node
	err := container.Invoke(func(node *Node) { built = node })
	return built, dig.RootCause(err)
}

// nodeParts are what newNode takes from the container.
type nodeParts struct {
	dig.In

	Settings  settings.Settings
	Listeners *listeners
	Gateway   *gateway.Gateway
	Owner     *owner.Manager
	Admin     *telemetry.Admin
	Server    *wire.Server
	Client    *wire.Client
	Poller    *platformPoller
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
		poller:    parts.Poller,
	}
}

func newWireClient() *wire.Client {
	return wire.NewClient(wire.ClientOptions{})
}

func newPlatformClient(loaded settings.Settings) *platform.Client {
	return platform.NewClient(platform.Options{Address: loaded.PlatformAddress, Name: loaded.Name})
}

func newOwner(loaded settings.Settings, store *config.Store, poller *platformPoller, registry *prometheus.Registry) *owner.Manager {
	manager := owner.NewManager(owner.Options{
		Services:  store,
		Ownership: &ownership{self: loaded.Name, members: poller, store: store},
		Metrics:   owner.NewMetrics(registry),
	})
	registry.MustRegister(manager)
	return manager
}

func newWireServer(manager *owner.Manager) *wire.Server {
	server := wire.NewServer(wire.ServerOptions{})
	serveOwner(server, manager)
	return server
}

func newScatterer(loaded settings.Settings, poller *platformPoller, client *wire.Client, manager *owner.Manager, registry *prometheus.Registry) *scatter.Scatterer {
	return scatter.New(scatter.Options{
		NodeID:  loaded.Name,
		Zone:    loaded.Zone,
		Members: poller,
		Owners:  ownerPeers{client: client},
		Local:   manager,
		Metrics: scatter.NewMetrics(registry),
	})
}

func newGateway(loaded settings.Settings, store *config.Store, scatterer *scatter.Scatterer, ready *readiness, registry *prometheus.Registry) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Services:           store,
		Runner:             scatterer,
		Ready:              ready.reason,
		Registry:           registry,
		MaximumBodyBytes:   loaded.MaximumBodyBytes,
		MaximumConnections: loaded.MaximumConnections,
	})
}

func newAdmin(registry *prometheus.Registry, ready *readiness, state stateSource) *telemetry.Admin {
	return telemetry.NewAdmin(telemetry.AdminOptions{
		Registry: registry,
		Ready:    ready.reason,
		State:    func() any { return state.read() },
	})
}
