// Package node wires the parts of the daemon together and starts and stops them in
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

// Node is one daemon: gateway, owner, member and candidate for control.
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

// New opens the listeners and wires the parts; nothing runs yet.
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

// Run serves until ctx ends, then stops in order. It returns nil after a stop
// that cut nothing.
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

// serve starts the servers; the channel gives the first that failed.
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

// stop ends the node without cutting requests under way: new ones are refused
// as not run for the drain delay, those under way are finished, and only then
// do the listeners close.
func (node *Node) stop() error {
	klog.InfoS("stopping", "drainDelay", node.settings.DrainDelay.String())
	node.gateway.Drain()
	drained := time.After(node.settings.DrainDelay)
	node.member.Leave(context.Background())
	<-drained
	ctx, cancel := context.WithTimeout(context.Background(), node.settings.StopTimeout)
	defer cancel()
	var problems error
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
			problems = errors.CombineErrors(problems, errors.Wrapf(err, "stop %s", step.name))
		}
	}
	node.client.Close()
	node.member.Close()
	_ = node.admin.Close()
	node.listeners.close()
	return problems
}
