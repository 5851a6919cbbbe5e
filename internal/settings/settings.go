// Package settings reads and checks the settings of the daemon from a file, flags
// and environment variables.
//
// Every setting is a line of the table in table.go. A flag goes before the
// environment (DRIFTSTAGE_ and the flag's name in capitals), which goes before
// the file (YAML, one key a line). All wrong values are reported at once.
package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// EnvironmentPrefix stands before the names of environment variables.
const EnvironmentPrefix = "DRIFTSTAGE"

// Settings are the checked settings of one daemon.
type Settings struct {
	// Name is the node's identity among the live nodes; it defaults to WireAddress.
	Name string
	// Cluster is the name of the system to which the node belongs.
	Cluster string
	Zone    string
	Region  string
	// GatewayAddress is where callers are served over HTTP (IP:port).
	GatewayAddress string
	// WireAddress is where other nodes are served over TCP (IP:port).
	WireAddress string
	// GossipAddress is the UDP address of the membership protocol (IP:port).
	GossipAddress string
	// AdminAddress serves metrics, health and state (IP:port).
	AdminAddress string
	// PlatformAddress is the Object API and the machine list (IP:port).
	PlatformAddress string
	// Join lists gossip addresses of nodes to join, besides the machine list.
	Join []string
	// MaximumBodyBytes bounds request bodies of every service.
	MaximumBodyBytes int
	// MaximumConnections bounds connections of callers.
	MaximumConnections int
	// DrainDelay is how long a stopping node refuses new requests before it
	// closes its listeners.
	DrainDelay time.Duration
	// StopTimeout bounds how long a stopping node waits for requests under way.
	StopTimeout time.Duration
	// LogVerbosity is klog's verbosity: 0 to 4.
	LogVerbosity int
}

// Load reads the settings of driftstaged.
func Load(args []string) (Request[Settings], error) {
	return program[Settings]{name: "driftstaged", table: table, finish: finish}.load(args)
}

func finish(loaded *Settings) []error {
	if loaded.Name == "" {
		loaded.Name = loaded.WireAddress
	}
	return checkAddressesDiffer([]listener{
		{keyGatewayAddress, loaded.GatewayAddress},
		{keyWireAddress, loaded.WireAddress},
		{keyAdminAddress, loaded.AdminAddress},
	})
}

// listener is a setting that names an address to listen on.
type listener struct{ key, address string }

// checkAddressesDiffer finds listeners that would take each other's port.
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
