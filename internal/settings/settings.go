// Package settings reads and checks the settings of the daemon from a file, flags
// and environment variables.
//
// Every setting is a line of the table in table.go. A flag goes before the
// environment (DRIFTSTAGE_ and the flag's name in capitals), which goes before
// the file (YAML, one key a line). All wrong values are reported at once.
package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/peterbourgon/ff/v4/ffyaml"
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

// Mode tells what the command line asks for.
type Mode uint8

const (
	// ModeRun starts the daemon.
	ModeRun Mode = iota
	// ModeHelp prints the help.
	ModeHelp
	// ModeVersion prints the version.
	ModeVersion
	// ModeCheck checks the settings and starts nothing.
	ModeCheck
)

// Request is what the command line asks for.
type Request struct {
	Mode     Mode
	Settings Settings
	// Help is the text of the help, for ModeHelp.
	Help string
}

// Load reads the command line, the environment and the file that --config
// names. The error joins one error for each wrong value.
func Load(args []string) (Request, error) {
	flags := ff.NewFlagSet("driftstaged")
	flags.StringLong("config", "", "settings file (YAML, one key a line)")
	version := flags.BoolLong("version", "print the version and exit")
	check := flags.BoolLong("check-config", "check the settings and exit")
	values := make([]*string, len(table))
	for index, entry := range table {
		values[index] = flags.StringLong(entry.key, entry.preset, entry.help)
	}
	err := ff.Parse(flags, args,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ffyaml.Parse),
	)
	switch {
	case errors.Is(err, ff.ErrHelp):
		return Request{Mode: ModeHelp, Help: fmt.Sprint(ffhelp.Flags(flags))}, nil
	case err != nil:
		return Request{}, err
	case len(flags.GetArgs()) > 0:
		return Request{}, fmt.Errorf("unexpected argument %q: driftstaged takes only flags", flags.GetArgs()[0])
	case *version:
		return Request{Mode: ModeVersion}, nil
	}
	loaded, err := parse(values)
	if err != nil {
		return Request{}, err
	}
	if *check {
		return Request{Mode: ModeCheck, Settings: loaded}, nil
	}
	return Request{Mode: ModeRun, Settings: loaded}, nil
}

func parse(values []*string) (Settings, error) {
	var loaded Settings
	var problems []error
	for index, entry := range table {
		value := strings.TrimSpace(*values[index])
		if err := entry.apply(&loaded, value); err != nil {
			problems = append(problems, fmt.Errorf("%s: %q: %w", entry.key, value, err))
		}
	}
	problems = append(problems, checkAddressesDiffer(loaded)...)
	if loaded.Name == "" {
		loaded.Name = loaded.WireAddress
	}
	return loaded, errors.Join(problems...)
}

// checkAddressesDiffer finds listeners that would take each other's port.
func checkAddressesDiffer(loaded Settings) []error {
	listeners := []struct{ key, address string }{
		{keyGatewayAddress, loaded.GatewayAddress},
		{keyWireAddress, loaded.WireAddress},
		{keyAdminAddress, loaded.AdminAddress},
	}
	var problems []error
	for index, listener := range listeners {
		same := slices.IndexFunc(listeners[:index], func(earlier struct{ key, address string }) bool {
			return earlier.address == listener.address && !strings.HasSuffix(listener.address, ":0")
		})
		if same >= 0 && listener.address != "" {
			problems = append(problems, fmt.Errorf("%s: %q: want an address other than that of %s", listener.key, listener.address, listeners[same].key))
		}
	}
	return problems
}
