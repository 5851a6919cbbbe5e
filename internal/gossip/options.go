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
	// Cluster is the name of the system: nodes of another are not heard.
	Cluster string
	// Self describes the node. A zero incarnation becomes the wall clock in
	// milliseconds. Addresses must be those that others can reach.
	Self swim.Member
	// Connection carries the datagrams; the node closes it.
	Connection net.PacketConn
	// Server gets the handlers of this package.
	Server *wire.Server
	// Client options are for calls to other members.
	Client wire.ClientOptions
	// Store holds the accepted configuration.
	Store *config.Store
	// Join lists gossip addresses of nodes to join. Machines are added by
	// Node.SetMachines.
	Join []string
	// Membership holds the periods of the protocol; DefaultOptions when zero.
	Membership swim.Options
	// AloneAfter is how long a node that can not sync stays without requests
	// before it serves by what it has; DefaultAloneAfter when zero.
	AloneAfter time.Duration
	// Reachable is false for links that tests have cut, from one address of
	// a node to another, by datagram or call; nil when all are up.
	Reachable func(from, to string) bool
	// Changed, when set, is called after a member came or changed its state.
	// It must return soon, and may be called from several goroutines at a time.
	Changed func(swim.Changed)
	// Registry takes the metrics; nil when there is none.
	Registry prometheus.Registerer
}

// DefaultAloneAfter is the default of Options.AloneAfter.
const DefaultAloneAfter = 5 * time.Second

const (
	// tickPeriod is the time between two ticks of the membership core.
	tickPeriod = 100 * time.Millisecond
	// callTimeout bounds a call to another member.
	callTimeout = 2 * time.Second
	// keptConnections bounds the connections kept open for calls.
	keptConnections = 4
	// datagramLimit is above every datagram that is sent, in bytes.
	datagramLimit = 4096
)

func (options Options) withDefaults() Options {
	if options.Membership == (swim.Options{}) {
		options.Membership = swim.DefaultOptions()
	}
	if options.AloneAfter == 0 {
		options.AloneAfter = DefaultAloneAfter
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
