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

// failureID is the id of the request that fails.
const failureID = "failed-request"

// failure is a kind of failed request.
type failure struct {
	name string
	help string
	path string
	// behave and work are how the servers behave.
	behave func(int) standin.Behavior
	work   time.Duration
	// before is done before the request, during while it is under way.
	before func(world *routerWorld)
	during func(router *routerProcess) error
}

var failures = []failure{
	{
		name: "silent-shard", help: "the servers of a shard stand still: a partial answer",
		path: "/all/x", work: routerDemoWork,
		before: func(world *routerWorld) { world.pause(serviceShardB) },
	},
	{
		name: "refused", help: "all servers are full: a refusal",
		path: "/one/x", behave: func(int) standin.Behavior { return standin.Shed },
	},
	{
		name: "stopping", help: "the node stops while a long request is under way",
		path: "/one/x", work: routerDemoWait,
		during: func(router *routerProcess) error { return router.command.Process.Signal(syscall.SIGTERM) },
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
		ShortHelp: "let a request to driftrouter fail among stand-ins, and tell its story from the logs",
		LongHelp:  "Kinds:\n" + help.String(),
		Flags:     ff.NewFlagSet("failure"),
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return errors.New("failure takes one kind (--help lists them)")
			}
			for _, kind := range failures {
				if kind.name == arguments[0] {
					return kind.show(ctx)
				}
			}
			return errors.Newf("no kind %q (--help lists them)", arguments[0])
		},
	}
}

// show lets the request fail and prints its answer and its story.
func (f failure) show(interrupted context.Context) error {
	ctx, cancel := context.WithTimeout(interrupted, routerDemoTimeout)
	defer cancel()
	world, err := startRouterWorld(f.behave, f.work)
	if err != nil {
		return err
	}
	defer world.close()
	var logs bytes.Buffer
	router, err := startRouter(ctx, world.store.Address(), &logs)
	if err != nil {
		return err
	}
	if f.before != nil {
		f.before(world)
	}
	asked := make(chan error, 1)
	go func() { asked <- router.showFailed(ctx, f.path) }()
	if f.during != nil {
		time.Sleep(200 * time.Millisecond)
		err = f.during(router)
	}
	err = errors.CombineErrors(err, <-asked)
	err = errors.CombineErrors(err, router.stop())
	story, readErr := explain.Read(&logs, failureID)
	if readErr != nil {
		return errors.CombineErrors(err, readErr)
	}
	_, writeErr := story.Write(os.Stdout)
	return errors.CombineErrors(err, writeErr)
}

func (r *routerProcess) showFailed(ctx context.Context, path string) error {
	answer, err := standin.Ask(ctx, r.address, routerDemoHost, path, failureID, routerDemoWait)
	if err != nil {
		return err
	}
	fmt.Printf("%s: status %d, %d shards missing\n", path, answer.Status, answer.Missing)
	return nil
}
