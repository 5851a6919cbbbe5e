// Package settings reads and validates the settings of the daemons from a file, flags
// and environment variables.
//
// Every setting is an entry of a table in table.go or router.go. Flags take precedence
// over the environment (DRIFTSTAGE_ and the flag's name in capitals), which takes
// precedence over the file (YAML, one key per line). All invalid values are reported
// together.
package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// EnvironmentPrefix is the prefix of environment variables.
const EnvironmentPrefix = "DRIFTSTAGE"

// Settings holds the validated settings of driftstaged.
type Settings struct {
	// Name is the node's identity among the live nodes; it defaults to WireAddress.
	Name string
	// Cluster is the name of the cluster to which the node belongs.
	Cluster string
	Zone    string
	Region  string
	// GatewayAddress serves callers over HTTP (IP:port).
	GatewayAddress string
	// WireAddress serves other nodes over TCP (IP:port).
	WireAddress string
	// GossipAddress is the UDP address of the membership protocol (IP:port).
	GossipAddress string
	// AdminAddress serves metrics, health and state (IP:port).
	AdminAddress string
	// PlatformAddress is the address of the Object API and the machine list (IP:port).
	PlatformAddress string
	// Join lists gossip addresses of nodes to join, in addition to the machine list.
	Join []string
	// MaximumBodyBytes limits the request bodies of every service.
	MaximumBodyBytes int
	// MaximumConnections limits the connections of callers.
	MaximumConnections int
	// DrainDelay is how long a stopping node rejects new requests before it
	// closes its listeners.
	DrainDelay time.Duration
	// StopTimeout limits how long a stopping node waits for requests in flight.
	StopTimeout time.Duration
	// LogVerbosity is klog's verbosity: 0 to 4.
	LogVerbosity int
}

// Load reads the settings of driftstaged.
func Load(args []string) (CommandLine[Settings], error) {
	return program[Settings]{name: "driftstaged", table: table, finish: finishSettings}.load(args)
}

func finishSettings(loaded *Settings) []error {
	if loaded.Name == "" {
		loaded.Name = loaded.WireAddress
	}
	return checkAddressesDiffer([]listener{
		{keyGatewayAddress, loaded.GatewayAddress},
		{keyWireAddress, loaded.WireAddress},
		{keyAdminAddress, loaded.AdminAddress},
	})
}

// listener is a setting whose value is a listen address.
type listener struct{ key, address string }

// checkAddressesDiffer returns an error for each pair of listeners with the same address.
func checkAddressesDiffer(listeners []listener) []error {
	var problems []error
	for index, current := range listeners {
		same := slices.IndexFunc(listeners[:index], func(earlier listener) bool {
			return earlier.address == current.address && !strings.HasSuffix(current.address, ":0")
		})
		if same >= 0 && current.address != "" {
			problems = append(problems, fmt.Errorf("%s: %q: want an address other than that of %s", current.key, current.address, listeners[same].key))
		}
	}
	return problems
}
