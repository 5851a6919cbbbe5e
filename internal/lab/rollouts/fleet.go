package rollouts

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/lab/cluster"
	"github.com/driftstage/driftstage/internal/loopback"
	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// startedMarker is part of the line that driftrouter logs once it listens.
	startedMarker = `"started"`
	// readyTimeout limits the time until all nodes are ready.
	readyTimeout = 20 * time.Second
	// pollInterval is how often a condition that is waited for is checked.
	pollInterval = 10 * time.Millisecond
	// kindMembers is the kind of the nodes' announcements.
	kindMembers = "members"
)

// node is a driftrouter process, which may be restarted.
type node struct {
	name                     string
	address, readiness, peer string
	// endpoint is the node's own address of the store.
	endpoint *standin.Endpoint
	// storeLink is the proxy to the endpoint, peerLinks are those to the other nodes by
	// their peer addresses; nil if the run needs no network partition.
	storeLink *standin.Proxy
	peerLinks map[string]*standin.Proxy

	process *cluster.Process
	starts  int
	// unavailable is set while callers must not use the node.
	unavailable atomic.Bool
}

// fleet holds all nodes.
type fleet struct {
	options Options
	store   *standin.Store
	nodes   []*node
}

// startFleet starts the nodes and waits until they are ready. With proxies, nodes can be
// partitioned from each other and from the store.
func startFleet(ctx context.Context, options Options, store *standin.Store, proxies bool) (*fleet, error) {
	started := &fleet{options: options, store: store}
	for index := range options.Nodes {
		built, err := newNode(index, store)
		if err != nil {
			return started, err
		}
		started.nodes = append(started.nodes, built)
	}
	if proxies {
		if err := started.openLinks(); err != nil {
			return started, err
		}
	}
	for index := range started.nodes {
		if err := started.start(ctx, index); err != nil {
			return started, err
		}
	}
	return started, started.awaitReady(ctx)
}

func newNode(index int, store *standin.Store) (*node, error) {
	endpoint, err := store.OpenEndpoint()
	if err != nil {
		return nil, err
	}
	built := &node{name: fmt.Sprintf("node-%d", index), endpoint: endpoint}
	for _, address := range []*string{&built.address, &built.readiness, &built.peer} {
		if *address, err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	return built, nil
}

// openLinks creates, for each node, a proxy to the store and one to each other node.
func (f *fleet) openLinks() error {
	for _, from := range f.nodes {
		var err error
		if from.storeLink, err = standin.NewProxy(from.endpoint.Address()); err != nil {
			return err
		}
		from.peerLinks = make(map[string]*standin.Proxy)
		for _, to := range f.nodes {
			if to == from {
				continue
			}
			if from.peerLinks[to.peer], err = standin.NewProxy(to.peer); err != nil {
				return err
			}
		}
		from.endpoint.SetView(from.view)
	}
	return nil
}

// view replaces the addresses in other nodes' announcements by those of the proxies to them.
func (n *node) view(kind string, object standin.Object) standin.Object {
	var spec map[string]any
	if kind != kindMembers || json.Unmarshal(object.Spec, &spec) != nil {
		return object
	}
	address, _ := spec["address"].(string)
	link, found := n.peerLinks[address]
	if !found {
		return object
	}
	spec["address"] = link.Address()
	if encoded, err := json.Marshal(spec); err == nil {
		object.Spec = encoded
	}
	return object
}

// start starts the process of a node.
func (f *fleet) start(ctx context.Context, index int) error {
	started := f.nodes[index]
	started.starts++
	process, _, err := cluster.StartProcess(ctx, f.options.Directory,
		fmt.Sprintf("%s-%d", started.name, started.starts), filepath.Join(f.options.Binaries, "driftrouter"), startedMarker,
		"--name", started.name, "--zone", zoneName(index), "--region", region, "--zones", zones(),
		"--listen-address", started.address, "--readiness-address", started.readiness, "--peer-address", started.peer,
		"--seeds", strings.Join(f.seeds(started), ","), "--store-address", started.storeAddress(),
		"--expose-share", fmt.Sprint(exposureShare), "--expose-slack", fmt.Sprint(exposureSlack), "--rollback-time", rollbackTime.String(),
		"--retry-ratio", "0.2", "--retry-slack", "60", "--stop-timeout", "3s",
	)
	if err != nil {
		return errors.Wrap(err, "driftrouter must be in the directory of driftlab (make build)")
	}
	started.process = process
	return nil
}

func (n *node) storeAddress() string {
	if n.storeLink != nil {
		return n.storeLink.Address()
	}
	return n.endpoint.Address()
}

func zones() string {
	var pairs []string
	for index := range zoneCount {
		pairs = append(pairs, zoneName(index)+"="+region)
	}
	return strings.Join(pairs, ",")
}

// seeds returns the peer addresses of all other nodes, or those of the proxies to them.
func (f *fleet) seeds(of *node) []string {
	var addresses []string
	for _, other := range f.nodes {
		switch link := of.peerLinks[other.peer]; {
		case other == of:
		case link != nil:
			addresses = append(addresses, link.Address())
		default:
			addresses = append(addresses, other.peer)
		}
	}
	return addresses
}

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, waited := range f.nodes {
		for !standin.Ready(ctx, waited.readiness) {
			if ctx.Err() != nil {
				return errors.Newf("%s is not ready: %s", waited.name, waited.process.Log())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// decider waits until a node has written a status, and returns the index of the node that
// wrote last.
func (f *fleet) decider(ctx context.Context) (int, error) {
	for {
		writer := f.store.LastWriter(standin.KindRollouts)
		for index, candidate := range f.nodes {
			if candidate.endpoint == writer {
				return index, nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, errors.Wrap(err, "no node has written a status")
		}
	}
}

// setPartitioned partitions a node from the store and all other nodes, or ends the partition.
func (f *fleet) setPartitioned(index int, cut bool) {
	fault := standin.LinkFault{HoldRequests: cut, HoldResponses: cut}
	isolated := f.nodes[index]
	isolated.storeLink.Set(fault)
	for _, link := range isolated.peerLinks {
		link.Set(fault)
	}
	for _, other := range f.nodes {
		if other != isolated {
			other.peerLinks[isolated.peer].Set(fault)
		}
	}
}

// stop stops all processes.
func (f *fleet) stop() error {
	var failed error
	for _, stopped := range f.nodes {
		if stopped.process != nil && !stopped.process.Exited() {
			_ = stopped.process.Signal(syscall.SIGCONT)
			_ = stopped.process.Signal(syscall.SIGTERM)
		}
	}
	for _, stopped := range f.nodes {
		if stopped.process != nil {
			failed = errors.CombineErrors(failed, stopped.process.Wait())
		}
		stopped.closeLinks()
	}
	return failed
}

func (n *node) closeLinks() {
	if n.storeLink == nil {
		return
	}
	n.storeLink.Close()
	for _, link := range n.peerLinks {
		link.Close()
	}
}

// sleep waits for the span, or returns the error of ctx if that ends earlier.
func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
