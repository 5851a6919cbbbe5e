// Package node assembles the components of the daemon and starts and stops them in
// order.
package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/gateway"
	"github.com/driftstage/driftstage/internal/gossip"
	"github.com/driftstage/driftstage/internal/owner"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/telemetry"
	"github.com/driftstage/driftstage/internal/wire"
)

// Node is one daemon: gateway, owner of servers, member, and candidate for controller.
type Node struct {
	settings  settings.Settings
	listeners *listeners
	gateway   *gateway.Gateway
	owner     *owner.Manager
	admin     *telemetry.Admin
	server    *wire.Server
	client    *wire.Client
	member    *gossip.Node
	control   *controller.Controller
	machines  *machineList
}

// New opens the listeners and assembles the node; it starts nothing.
func New(loaded settings.Settings) (*Node, error) {
	opened, err := openListeners(loaded)
	if err != nil {
		return nil, err
	}
	built, err := assemble(loaded, opened)
	if err != nil {
		opened.close()
		return nil, err
	}
	return built, nil
}

// Run serves until ctx ends, then shuts down gracefully. It returns nil if no
// server failed and the shutdown completed in time.
func (node *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := node.serve()
	node.member.Start()
	var tasks sync.WaitGroup
	tasks.Go(func() { node.owner.Run(background) })
	tasks.Go(func() { node.machines.run(background) })
	controlContext, stopControl := context.WithCancel(background)
	tasks.Go(func() { node.control.Run(controlContext) })
	klog.InfoS("started",
		"zone", node.settings.Zone,
		"gateway", node.listeners.gateway.Addr().String(),
		"wire", node.listeners.wire.Addr().String(),
		"gossip", node.listeners.gossip.LocalAddr().String(),
		"admin", node.listeners.admin.Addr().String())

	var cause error
	select {
	case <-ctx.Done():
	case cause = <-failed:
		klog.ErrorS(cause, "a server failed; stopping")
	}
	stopControl()
	stopped := node.stop()
	cancel()
	tasks.Wait()
	klog.InfoS("stopped", "cut", stopped != nil)
	klog.Flush()
	return errors.CombineErrors(cause, stopped)
}

// serve starts the servers; the channel receives the first failure.
func (node *Node) serve() <-chan error {
	failed := make(chan error, 1)
	servers := []struct {
		name     string
		serve    func(net.Listener) error
		listener net.Listener
	}{
		{"admin", node.admin.Serve, node.listeners.admin},
		{"wire", node.server.Serve, node.listeners.wire},
		{"gateway", node.gateway.Serve, node.listeners.gateway},
	}
	for _, server := range servers {
		go func() {
			if err := server.serve(server.listener); err != nil {
				select {
				case failed <- errors.Wrap(err, server.name):
				default:
				}
			}
		}()
	}
	return failed
}

// stop shuts the node down without interrupting requests in flight: for the drain
// delay, new ones are refused as not executed, then those in flight are completed, and
// only then do the listeners close.
func (node *Node) stop() error {
	klog.InfoS("stopping", "drainDelay", node.settings.DrainDelay.String())
	node.gateway.Drain()
	drained := time.After(node.settings.DrainDelay)
	node.member.Leave(context.Background())
	<-drained
	ctx, cancel := context.WithTimeout(context.Background(), node.settings.StopTimeout)
	defer cancel()
	var failures error
	steps := []struct {
		name string
		stop func(context.Context) error
	}{
		{"gateway", node.gateway.Shutdown},
		{"owner", node.owner.Stop},
		{"wire", node.server.Shutdown},
	}
	for _, step := range steps {
		if err := step.stop(ctx); err != nil {
			failures = errors.CombineErrors(failures, errors.Wrapf(err, "stop %s", step.name))
		}
	}
	node.client.Close()
	node.member.Close()
	_ = node.admin.Close()
	node.listeners.close()
	return failures
}
