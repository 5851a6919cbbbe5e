// Package node wires the parts of the daemon together and starts and stops them in
// order.
package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/gateway"
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
	poller    *platformPoller
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
	var servers errgroup.Group
	failed := make(chan error, 1)
	serve := func(name string, run func() error) {
		servers.Go(func() error {
			err := run()
			if err != nil {
				select {
				case failed <- errors.Wrap(err, name):
				default:
				}
			}
			return err
		})
	}
	serve("admin", func() error { return node.admin.Serve(node.listeners.admin) })
	serve("wire", func() error { return node.server.Serve(node.listeners.wire) })
	serve("gateway", func() error { return node.gateway.Serve(node.listeners.gateway) })
	go node.owner.Run(background)
	go node.poller.run(background)
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
	return errors.CombineErrors(cause, node.stop())
}

// stop ends the node without cutting requests under way: new ones are refused
// as not run for the drain delay, those under way are finished, and only then
// do the listeners close.
func (node *Node) stop() error {
	klog.InfoS("stopping", "drainDelay", node.settings.DrainDelay.String())
	node.gateway.Drain()
	time.Sleep(node.settings.DrainDelay)
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
	_ = node.admin.Close()
	node.listeners.close()
	klog.InfoS("stopped", "cut", problems != nil)
	klog.Flush()
	return problems
}
