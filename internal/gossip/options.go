package gossip

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire"
)

// Options configures a Node.
type Options struct {
	// Cluster is the name of the cluster; messages from other clusters are ignored.
	Cluster string
	// Self describes the node. A zero incarnation is replaced by the wall clock in
	// milliseconds. The addresses must be reachable by other members.
	Self swim.Member
	// Connection carries the datagrams; the node closes it.
	Connection net.PacketConn
	// Server is where the handlers of this package are registered.
	Server *wire.Server
	// Client holds the options for calls to other members.
	Client wire.ClientOptions
	// Store holds the accepted configuration.
	Store *config.Store
	// Join lists the gossip addresses of nodes to join. Node.SetMachines adds others.
	Join []string
	// Membership holds the options of the membership protocol; zero means DefaultOptions.
	Membership swim.Options
	// SyncTimeout is how long a node that cannot sync is not ready before it serves with
	// the configuration that it has; zero means DefaultSyncTimeout.
	SyncTimeout time.Duration
	// Reachable reports whether datagrams and calls can get from one address to another.
	// Tests use it to block links; nil means that all links are up.
	Reachable func(from, to string) bool
	// Changed, if set, is called after a member was added or changed its state. It must
	// return quickly and may be called concurrently.
	Changed func(swim.Changed)
	// Registry registers the metrics; nil means no metrics.
	Registry prometheus.Registerer
}

// DefaultSyncTimeout is the default of Options.SyncTimeout.
const DefaultSyncTimeout = 5 * time.Second

const (
	// tickInterval is the time between two ticks of the membership core.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds a call to another member.
	callTimeout = 2 * time.Second
	// maxCachedConnections bounds the open connections, except for those with calls in
	// flight.
	maxCachedConnections = 4
	// datagramBufferBytes is larger than any datagram that is sent.
	datagramBufferBytes = 4096
)

func (options Options) withDefaults() Options {
	if options.Membership == (swim.Options{}) {
		options.Membership = swim.DefaultOptions()
	}
	if options.SyncTimeout == 0 {
		options.SyncTimeout = DefaultSyncTimeout
	}
	if options.Reachable == nil {
		options.Reachable = func(string, string) bool { return true }
	}
	if options.Changed == nil {
		options.Changed = func(swim.Changed) {}
	}
	if options.Self.Incarnation == 0 {
		options.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	return options
}
