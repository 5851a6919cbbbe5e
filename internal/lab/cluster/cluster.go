// Package cluster runs a complete system on loopback: the stand-ins for the platform and
// the back ends, and several daemons, each as a separate process. It is used by the demo,
// the experiments and the end-to-end tests.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configure a cluster.
type Options struct {
	// Binaries is the directory of driftstaged and driftlab.
	Binaries string
	// Directory is where the logs of all programs are written.
	Directory string
	// PlatformArguments are additional flags of `driftlab platform`.
	PlatformArguments []string
}

// Cluster is a running system. It is not safe for concurrent use.
type Cluster struct {
	options  Options
	Platform *Platform
	Backends []*Backends
	// Nodes are all daemons started so far, including those that have exited.
	Nodes []*Node
}

// Platform is the running stand-in for the platform.
type Platform struct {
	*Process
	// Address serves the Object API, AdminAddress the injection of faults.
	Address      string `json:"address"`
	AdminAddress string `json:"adminAddress"`
}

// Backends are the running stand-ins for the back ends of one service.
type Backends struct {
	*Process
	// Admin serves the record and the injection of faults.
	Admin string `json:"admin"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Resource is the QueryService that describes the servers, as JSON.
	Resource json.RawMessage `json:"-"`
}

// Node is one daemon.
type Node struct {
	*Process
	Zone    string `json:"zone"`
	Gateway string `json:"gateway"`
	Wire    string `json:"wire"`
	Gossip  string `json:"gossip"`
	Admin   string `json:"admin"`
}

// NodeOptions configure one daemon.
type NodeOptions struct {
	Name   string
	Zone   string
	Region string
	// Arguments are additional flags of driftstaged.
	Arguments []string
}

// Start starts the stand-in for the platform. Stop stops it and everything started later.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	arguments := append([]string{"platform"}, options.PlatformArguments...)
	process, line, err := StartProcess(ctx, options.Directory, "platform",
		filepath.Join(options.Binaries, "driftlab"), `"adminAddress"`, arguments...)
	if err != nil {
		return nil, err
	}
	started := &Cluster{options: options, Platform: &Platform{Process: process}}
	if err := json.Unmarshal([]byte(line), started.Platform); err != nil {
		return nil, errors.CombineErrors(err, started.Stop())
	}
	return started, nil
}

// StartBackends starts the back ends of one service.
func (cluster *Cluster) StartBackends(ctx context.Context, service string, arguments ...string) (*Backends, error) {
	arguments = append([]string{"backends", "--service", service}, arguments...)
	process, line, err := StartProcess(ctx, cluster.options.Directory, "backends-"+service,
		filepath.Join(cluster.options.Binaries, "driftlab"), `"admin"`, arguments...)
	if err != nil {
		return nil, err
	}
	started := &Backends{Process: process}
	cluster.Backends = append(cluster.Backends, started)
	if err := json.Unmarshal([]byte(line), started); err != nil {
		return nil, err
	}
	started.Resource, err = fetch(ctx, http.MethodGet, "http://"+started.Admin+"/resource", "")
	return started, err
}

// StartNode starts one daemon, which joins the running ones.
func (cluster *Cluster) StartNode(ctx context.Context, options NodeOptions) (*Node, error) {
	arguments := []string{
		"--name", options.Name,
		// Another cluster on this machine may reuse ports of this one.
		"--cluster", "loopback-" + cluster.Platform.Address,
		"--zone", options.Zone,
		"--region", options.Region,
		"--gateway-address", "127.0.0.1:0",
		"--wire-address", "127.0.0.1:0",
		"--gossip-address", "127.0.0.1:0",
		"--admin-address", "127.0.0.1:0",
		"--platform-address", cluster.Platform.Address,
	}
	if join := cluster.gossipAddresses(); len(join) > 0 {
		arguments = append(arguments, "--join", strings.Join(join, ","))
	}
	arguments = append(arguments, options.Arguments...)
	logName := fmt.Sprintf("%s-%d", options.Name, len(cluster.Nodes))
	process, line, err := StartProcess(ctx, cluster.options.Directory, logName,
		filepath.Join(cluster.options.Binaries, "driftstaged"), `"msg":"started"`, arguments...)
	if err != nil {
		return nil, err
	}
	process.Name = options.Name
	started := &Node{Process: process}
	cluster.Nodes = append(cluster.Nodes, started)
	return started, json.Unmarshal([]byte(line), started)
}

// StartNodeIn starts the next daemon (node-1, node-2, ...) in a zone that is also its
// region. Its drain delay is short.
func (cluster *Cluster) StartNodeIn(ctx context.Context, zone string) (*Node, error) {
	return cluster.StartNode(ctx, NodeOptions{
		Name:      fmt.Sprintf("node-%d", len(cluster.Nodes)+1),
		Zone:      zone,
		Region:    zone,
		Arguments: []string{"--drain-delay", "200ms"},
	})
}

// maxJoin limits the number of nodes to join.
const maxJoin = 3

func (cluster *Cluster) gossipAddresses() []string {
	var addresses []string
	for _, node := range slices.Backward(cluster.Nodes) {
		if !node.Exited() && len(addresses) < maxJoin {
			addresses = append(addresses, node.Gossip)
		}
	}
	return addresses
}

// Running returns the daemons that have not exited.
func (cluster *Cluster) Running() []*Node {
	var running []*Node
	for _, node := range cluster.Nodes {
		if !node.Exited() {
			running = append(running, node)
		}
	}
	return running
}

// Stop stops the daemons by SIGTERM, then the stand-ins. It joins the errors of those that
// did not exit with status 0, except for daemons killed before.
func (cluster *Cluster) Stop() error {
	var daemons, standIns []*Process
	for _, node := range cluster.Running() {
		daemons = append(daemons, node.Process)
	}
	for _, backends := range cluster.Backends {
		if !backends.Exited() {
			standIns = append(standIns, backends.Process)
		}
	}
	if !cluster.Platform.Exited() {
		standIns = append(standIns, cluster.Platform.Process)
	}
	return errors.Join(stopAll(daemons), stopAll(standIns))
}

// pollInterval is how often Await checks the condition.
const pollInterval = 50 * time.Millisecond

// Await polls the condition until it returns nil. If ctx ends first, Await returns the last
// error of the condition.
func Await(ctx context.Context, condition func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := condition(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "not in time")
		case <-ticker.C:
		}
	}
}
