package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/explain"
	"github.com/driftstage/driftstage/platform/standin"
)

// failedRequestID is the id of the failing request.
const failedRequestID = "failed-request"

// failure is a kind of failed request.
type failure struct {
	name string
	help string
	path string
	// behavior and serviceTime are those of the servers; with a nil behavior, they respond normally.
	behavior    func(int) standin.Behavior
	serviceTime time.Duration
	// setUp is called before the request, disturb while it is in flight; both may be nil.
	setUp   func(world *routerWorld)
	disturb func(router *routerProcess) error
}

var failures = []failure{
	{
		name: "silent-shard", help: "the servers of a shard are paused: a partial answer",
		path: "/all/x", serviceTime: demoServiceTime,
		setUp: func(world *routerWorld) { world.pause(serviceShardB) },
	},
	{
		name: "refused", help: "all servers shed the request: a rejection",
		path: "/one/x", behavior: func(int) standin.Behavior { return standin.Shed },
	},
	{
		name: "stopping", help: "the node stops while a long request is in flight",
		path: "/one/x", serviceTime: demoClientTimeout,
		disturb: func(router *routerProcess) error { return router.command.Process.Signal(syscall.SIGTERM) },
	},
}

func failureCommand() *ff.Command {
	var help strings.Builder
	for _, kind := range failures {
		fmt.Fprintf(&help, "  %-14s %s\n", kind.name, kind.help)
	}
	return &ff.Command{
		Name:      "failure",
		Usage:     "driftlab failure KIND",
		ShortHelp: "make a request to driftrouter fail, with stand-ins, and explain it from the logs",
		LongHelp:  "Kinds:\n" + help.String(),
		Flags:     ff.NewFlagSet("failure"),
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return errors.New("failure takes one kind (--help lists them)")
			}
			for _, kind := range failures {
				if kind.name == arguments[0] {
					return kind.run(ctx)
				}
			}
			return errors.Newf("unknown kind %q (--help lists them)", arguments[0])
		},
	}
}

// run makes the request fail and prints its response and timeline.
func (f failure) run(interrupted context.Context) error {
	ctx, cancel := context.WithTimeout(interrupted, routerDemoTimeout)
	defer cancel()
	world, err := startRouterWorld(f.behavior, f.serviceTime)
	if err != nil {
		return err
	}
	defer world.close()
	var logs bytes.Buffer
	router, err := startRouter(ctx, world.store.Address(), &logs)
	if err != nil {
		return err
	}
	if f.setUp != nil {
		f.setUp(world)
	}
	sent := make(chan error, 1)
	go func() { sent <- router.sendFailing(ctx, f.path) }()
	if f.disturb != nil {
		time.Sleep(200 * time.Millisecond)
		err = f.disturb(router)
	}
	err = errors.CombineErrors(err, <-sent)
	err = errors.CombineErrors(err, router.stop())
	timeline, readErr := explain.Read(&logs, failedRequestID)
	if readErr != nil {
		return errors.CombineErrors(err, readErr)
	}
	_, writeErr := timeline.Write(os.Stdout)
	return errors.CombineErrors(err, writeErr)
}

func (r *routerProcess) sendFailing(ctx context.Context, path string) error {
	answer, err := standin.Ask(ctx, r.address, routerDemoHost, path, failedRequestID, demoClientTimeout)
	if err != nil {
		return err
	}
	fmt.Printf("%s: status %d, %d shards missing\n", path, answer.Status, answer.Missing)
	return nil
}
