// Package cluster runs a whole system on loopback: the stand-ins of platform and
// back ends and several daemons, each as a process of its own. The demo, the
// experiments and the end-to-end tests use it.
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

// Options describes a cluster.
type Options struct {
	// Binaries is the directory of driftstaged and driftlab.
	Binaries string
	// Directory takes the logs of all programs.
	Directory string
	// PlatformArguments are further flags of `driftlab platform`.
	PlatformArguments []string
}

// Cluster is a running system. Its methods are for one goroutine.
type Cluster struct {
	options  Options
	Platform *Platform
	Backends []*Backends
	// Nodes are the daemons started so far, ended ones included.
	Nodes []*Node
}

// Platform is the running stand-in of the platform.
type Platform struct {
	*Process
	// Address serves the Object API, AdminAddress the fault switches.
	Address      string `json:"address"`
	AdminAddress string `json:"adminAddress"`
}

// Backends are the running stand-ins of the back ends of one service.
type Backends struct {
	*Process
	// Admin serves the record and the fault switches.
	Admin string `json:"admin"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Resource is the QueryService, as JSON, that describes the servers.
	Resource json.RawMessage `json:"-"`
}

// Node is one running daemon.
type Node struct {
	*Process
	Zone    string `json:"zone"`
	Gateway string `json:"gateway"`
	Wire    string `json:"wire"`
	Gossip  string `json:"gossip"`
	Admin   string `json:"admin"`
}

// NodeOptions describes one daemon.
type NodeOptions struct {
	Name   string
	Zone   string
	Region string
	// Arguments are further flags of driftstaged.
	Arguments []string
}

// Start starts the platform's stand-in. Stop ends everything started later, too.
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

// StartNode starts one daemon, which joins those that run already.
func (cluster *Cluster) StartNode(ctx context.Context, options NodeOptions) (*Node, error) {
	arguments := []string{
		"--name", options.Name,
		// Clusters on one machine may get each other's old ports.
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

// StartNodeIn starts the next daemon, node-1 the first, in a zone that is a
// region of its own. It drains only briefly.
func (cluster *Cluster) StartNodeIn(ctx context.Context, zone string) (*Node, error) {
	return cluster.StartNode(ctx, NodeOptions{
		Name:      fmt.Sprintf("node-%d", len(cluster.Nodes)+1),
		Zone:      zone,
		Region:    zone,
		Arguments: []string{"--drain-delay", "200ms"},
	})
}

// maximumJoin bounds the list of nodes to join.
const maximumJoin = 3

func (cluster *Cluster) gossipAddresses() []string {
	var addresses []string
	for _, node := range slices.Backward(cluster.Nodes) {
		if !node.Ended() && len(addresses) < maximumJoin {
			addresses = append(addresses, node.Gossip)
		}
	}
	return addresses
}

// Running returns the daemons that have not ended.
func (cluster *Cluster) Running() []*Node {
	var running []*Node
	for _, node := range cluster.Nodes {
		if !node.Ended() {
			running = append(running, node)
		}
	}
	return running
}

// Stop ends the daemons by SIGTERM, then the stand-ins, and joins the errors of
// those that did not end with exit status 0 (killed daemons apart).
func (cluster *Cluster) Stop() error {
	var daemons, standIns []*Process
	for _, node := range cluster.Running() {
		daemons = append(daemons, node.Process)
	}
	for _, backends := range cluster.Backends {
		if !backends.Ended() {
			standIns = append(standIns, backends.Process)
		}
	}
	if !cluster.Platform.Ended() {
		standIns = append(standIns, cluster.Platform.Process)
	}
	return errors.Join(stopAll(daemons), stopAll(standIns))
}

// pollInterval is how often a condition is looked at again.
const pollInterval = 50 * time.Millisecond

// Await waits until the condition holds; the condition's last error tells why
// it never did.
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
