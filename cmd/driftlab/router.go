package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/loopback"
	"github.com/driftstage/driftstage/platform/standin"
)

const (
	routerDemoTimeout = 30 * time.Second
	routerDemoHost    = "demo.example"
	// demoClientTimeout is how long the demo's client waits for a response.
	demoClientTimeout = 2 * time.Second
	// demoServiceTime is the service time of the demo's servers.
	demoServiceTime = 5 * time.Millisecond
)

// Services of the demo.
const (
	serviceShardA = "shard-a"
	serviceShardB = "shard-b"
	serviceSingle = "whole"
)

func routerDemoCommand() *ff.Command {
	flags := ff.NewFlagSet("router")
	hold := flags.BoolLong("hold", "keep the system running after the requests, until SIGINT or SIGTERM")
	return &ff.Command{
		Name:      "router",
		Usage:     "driftlab router [FLAGS]",
		ShortHelp: "start driftrouter with stand-ins for the users' platform on loopback, send requests, stop it",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return routerDemo(ctx, *hold)
		},
	}
}

func routerDemo(interrupted context.Context, hold bool) error {
	ctx, cancel := context.WithTimeout(interrupted, routerDemoTimeout)
	defer cancel()
	world, err := startRouterWorld(nil, demoServiceTime)
	if err != nil {
		return err
	}
	defer world.close()
	router, err := startRouter(ctx, world.store.Address(), os.Stdout)
	if err != nil {
		return err
	}
	err = router.queryRoutes(ctx)
	if err == nil && hold {
		fmt.Println("running at", router.address, "until SIGINT or SIGTERM")
		<-interrupted.Done()
	}
	return errors.CombineErrors(err, router.stop())
}

// routerWorld holds the store and the servers of the driftrouter demo.
type routerWorld struct {
	store   *standin.Store
	servers []*standin.Server
}

// startRouterWorld starts a store with a configuration, and servers with the given behavior:
// two shards and one service without scatter-gather, with two servers each.
func startRouterWorld(behave func(int) standin.Behavior, work time.Duration) (*routerWorld, error) {
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	world := &routerWorld{store: store}
	for _, service := range []string{serviceShardA, serviceShardB, serviceSingle} {
		for index := range 2 {
			if err := world.serve(service, index, behave, work); err != nil {
				world.close()
				return nil, err
			}
		}
	}
	if err := store.Configure(routerDemoConfiguration()); err != nil {
		world.close()
		return nil, err
	}
	return world, nil
}

func (r *routerWorld) serve(service string, index int, behave func(int) standin.Behavior, work time.Duration) error {
	id := fmt.Sprintf("i-%s-%d", service, index)
	server, err := standin.NewServer(standin.ServerOptions{
		ID: id, Service: service, Zone: "zone-1", ServiceTime: work, Behave: behave,
		Body: fmt.Appendf(nil, "%-16s%-16s", service+" first", service+" second"),
	})
	if err != nil {
		return err
	}
	r.servers = append(r.servers, server)
	return r.store.Put("servers", id, server.Spec())
}

// pause pauses the servers of a service.
func (r *routerWorld) pause(service string) {
	for _, server := range r.servers {
		if server.Spec().Service == service {
			server.Pause()
		}
	}
}

func (r *routerWorld) close() {
	for _, server := range r.servers {
		server.Close()
	}
	r.store.Close()
}

func routerDemoConfiguration() standin.Configuration {
	return standin.Configuration{
		Version: 1,
		Routes: []standin.Route{
			{Name: "all", Host: routerDemoHost, PathPrefix: "/all/", Kind: "safe", TimeoutMs: 2000, TargetLatencyMs: 250,
				Gather: []string{serviceShardA, serviceShardB}, MaxAttempts: 2, ResultCount: 3, MinVersion: 0.5},
			{Name: "one", Host: routerDemoHost, PathPrefix: "/one/", Kind: "unsafe", TimeoutMs: 2000, TargetLatencyMs: 250,
				Service: serviceSingle, MaxAttempts: 2},
		},
		Limits: standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// routerProcess is the driftrouter process of the demo.
type routerProcess struct {
	command   *exec.Cmd
	address   string
	readiness string
}

// startRouter starts driftrouter with its logs written to output, and waits until it is
// ready.
func startRouter(ctx context.Context, store string, output io.Writer) (*routerProcess, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	process := &routerProcess{}
	for _, address := range []*string{&process.address, &process.readiness} {
		if *address, err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	process.command = exec.Command(filepath.Join(filepath.Dir(executable), "driftrouter"),
		"--name", "demo-1", "--zone", "zone-1", "--region", "region-1", "--store-address", store,
		"--listen-address", process.address, "--readiness-address", process.readiness,
		"--stop-timeout", "1s", "--log-sample", "1")
	process.command.Stdout, process.command.Stderr = output, os.Stderr
	if err := process.command.Start(); err != nil {
		return nil, errors.Wrap(err, "start driftrouter (make build puts it in the directory of driftlab)")
	}
	for !standin.Ready(ctx, process.readiness) {
		if ctx.Err() != nil {
			return nil, errors.CombineErrors(ctx.Err(), process.stop())
		}
		time.Sleep(10 * time.Millisecond)
	}
	return process, nil
}

// queryRoutes sends one request to each route and prints the responses.
func (r *routerProcess) queryRoutes(ctx context.Context) error {
	for _, path := range []string{"/all/x", "/one/x"} {
		answer, err := standin.Ask(ctx, r.address, routerDemoHost, path, "demo"+path[1:4], demoClientTimeout)
		if err != nil {
			return err
		}
		fmt.Printf("%s: status %d, %d shards missing, signed by %v\n    %q\n", path, answer.Status, answer.Missing, answer.Seals, answer.Body)
	}
	return nil
}

func (r *routerProcess) stop() error {
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return r.command.Wait()
}
