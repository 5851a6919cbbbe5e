// Package experiment measures driftstage against the baseline, which queries one
// replica of each shard directly and waits for all. Both query the same back ends
// in one run, so that the ratios do not depend on how busy the machine is.
package experiment

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/lab"
	"github.com/driftstage/driftstage/internal/lab/cluster"
	"github.com/driftstage/driftstage/internal/standin/backend"
)

// User describes one user's service, with the size given in the requirements.
type User struct {
	Service     string
	Zones       []string
	Connections int
}

// Users are the renter app of Gzebi and the call search of Konferencelinjen:
// services of 4 servers with 5 slots each.
var Users = []User{
	{Service: "gzebi-renter-search", Zones: []string{"tbilisi", "imereti", "adjara"}, Connections: 75},
	{Service: "konferencelinjen-call-search", Zones: []string{"zealand", "jutland", "funen"}, Connections: 65},
}

// The size of the service of both users.
const (
	servers  = 4
	shards   = 8
	replicas = 2
	slots    = 5
)

// BackendArguments are the flags of `driftlab backends` for the user's size.
func (user User) BackendArguments() []string {
	return []string{
		"--servers", fmt.Sprint(servers),
		"--shards", fmt.Sprint(shards),
		"--replicas", fmt.Sprint(replicas),
		"--slots", fmt.Sprint(slots),
		"--connections", fmt.Sprint(user.Connections),
		"--zones", strings.Join(user.Zones, ","),
	}
}

// Options are common to all experiments.
type Options struct {
	// Binaries is the directory of driftstaged and driftlab.
	Binaries string
	// Directory is where logs are written.
	Directory string
	// Duration is how long each load is measured.
	Duration time.Duration
	// Seed makes arrivals and service times reproducible.
	Seed uint64
}

// Result is the result of one experiment for one user.
type Result struct {
	Experiment string        `json:"experiment"`
	Service    string        `json:"service"`
	Reports    []*lab.Report `json:"reports"`
	// Figures are computed from the reports, in the order in which they are printed.
	Figures []Metric `json:"figures"`
}

// Metric is one number of a result.
type Metric struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Write prints the result as a table.
func (result *Result) Write(writer io.Writer) error {
	fmt.Fprintf(writer, "\n%s, %s\n", result.Experiment, result.Service)
	if err := lab.WriteTable(writer, result.Reports); err != nil {
		return err
	}
	for _, metric := range result.Figures {
		if _, err := fmt.Fprintf(writer, "%s: %.3f %s\n", metric.Name, metric.Value, metric.Unit); err != nil {
			return err
		}
	}
	return nil
}

// system is a running cluster with one user's service.
type system struct {
	cluster  *cluster.Cluster
	user     User
	backends *backend.Client
	fleet    backend.Description
	gateways []string
}

// startSystem starts a cluster with one daemon in each zone of the user.
func startSystem(ctx context.Context, options Options, user User, backendArguments ...string) (*system, error) {
	running, err := cluster.Start(ctx, cluster.Options{
		Binaries:          options.Binaries,
		Directory:         options.Directory,
		PlatformArguments: []string{"--machine-lag", "100ms"},
	})
	if err != nil {
		return nil, err
	}
	system := &system{cluster: running, user: user}
	if err := system.startProcesses(ctx, append(user.BackendArguments(), backendArguments...)); err != nil {
		return nil, errors.CombineErrors(err, running.Stop())
	}
	return system, nil
}

func (system *system) startProcesses(ctx context.Context, backendArguments []string) error {
	started, err := system.cluster.StartBackends(ctx, system.user.Service, backendArguments...)
	if err != nil {
		return err
	}
	system.backends = backend.NewClient(started.Admin)
	if system.fleet, err = system.backends.Fleet(); err != nil {
		return err
	}
	if err := system.cluster.CreateResource(ctx, started.Resource); err != nil {
		return err
	}
	for _, zone := range system.user.Zones {
		node, err := system.cluster.StartNodeIn(ctx, zone)
		if err != nil {
			return err
		}
		system.gateways = append(system.gateways, node.Gateway)
	}
	if err := system.cluster.PublishMachines(ctx); err != nil {
		return err
	}
	return system.cluster.AwaitService(ctx, system.user.Service)
}

// load returns the options for a load on the system.
func (system *system) load(options Options, rate float64) lab.LoadOptions {
	load := lab.DefaultLoadOptions()
	load.Service = system.user.Service
	load.Rate = rate
	load.Duration = options.Duration
	load.Seed = options.Seed
	return load
}

// baseline returns the target that queries the back ends directly.
func (system *system) baseline(options Options) lab.Target {
	return lab.NewDirect(system.fleet, options.Seed)
}

// driftstage returns the target that queries the gateways.
func (system *system) driftstage() lab.Target {
	return lab.NewGateways(system.gateways)
}

func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
