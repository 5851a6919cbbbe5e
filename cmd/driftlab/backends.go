package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/standin/backend"
)

type backendsSettings struct {
	options       backend.Options
	zones         string
	listenAdmin   string
	advanceEvery  time.Duration
	printResource bool
}

func backendsCommand() *ff.Command {
	settings := backendsSettings{options: backend.DefaultOptions()}
	flags := ff.NewFlagSet("backends")
	settings.register(flags)
	return &ff.Command{
		Name:      "backends",
		Usage:     "driftlab backends [FLAGS]",
		ShortHelp: "run the stand-in for the back ends of one service",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return settings.run(ctx)
		},
	}
}

func (b *backendsSettings) register(flags *ff.FlagSet) {
	options := &b.options
	flags.StringVar(&options.Service, 0, "service", options.Service, "name of the service and prefix of the servers' names")
	flags.StringVar(&options.Path, 0, "path", options.Path, "HTTP path of sub-requests")
	flags.StringVar(&b.listenAdmin, 0, "listen-admin", "127.0.0.1:0", "address of the admin port")
	flags.StringVar(&b.zones, 0, "zones", strings.Join(options.Zones, ","), "zones of the servers, assigned round-robin")
	flags.IntVar(&options.Servers, 0, "servers", options.Servers, "number of servers")
	flags.IntVar(&options.Shards, 0, "shards", options.Shards, "number of shards of the first index version")
	flags.IntVar(&options.Replicas, 0, "replicas", options.Replicas, "number of servers that hold each shard")
	flags.IntVar(&options.Slots, 0, "slots", options.Slots, "sub-requests that a server runs concurrently")
	flags.IntVar(&options.Queue, 0, "queue", options.Queue, "sub-requests that wait in a server before it sheds")
	flags.IntVar(&options.Connections, 0, "connections", options.Connections, "connections that a server accepts")
	flags.IntVar(&options.VersionsHeld, 0, "versions-held", options.VersionsHeld, "index versions that a server keeps")
	flags.DurationVar(&options.Time.Median, 0, "median", options.Time.Median, "median service time")
	flags.Float64Var(&options.Time.Sigma, 0, "sigma", options.Time.Sigma, "sigma of the lognormal service time")
	flags.IntVar(&options.Time.StragglerOneIn, 0, "straggler-one-in", 0, "one in this many sub-requests is a straggler; 0 for none")
	flags.Float64Var(&options.Time.StragglerFactor, 0, "straggler-factor", 50, "how many times slower a straggler is")
	flags.DurationVar(&options.ColdFor, 0, "cold-for", options.ColdFor, "how long a started server is slow")
	flags.Float64Var(&options.ColdFactor, 0, "cold-factor", options.ColdFactor, "how many times slower a cold server is at first")
	flags.DurationVar(&options.StatusLag, 0, "status-lag", options.StatusLag, "age of what /healthz and /load report")
	flags.IntVar(&options.ResultBytes, 0, "result-bytes", options.ResultBytes, "padding of the result of one shard")
	flags.IntVar(&options.RecordLimit, 0, "record-limit", options.RecordLimit, "executions kept in the record")
	flags.Uint64Var(&options.Seed, 0, "seed", options.Seed, "seed of the service times")
	flags.DurationVar(&b.advanceEvery, 0, "advance-every", 0, "publish a new index version at this interval; 0 for never")
	flags.BoolVar(&b.printResource, 0, "print-resource", "print the QueryService resource as a second JSON line")
}

func (b *backendsSettings) run(ctx context.Context) error {
	b.options.Zones = strings.Split(b.zones, ",")
	if b.advanceEvery < 0 {
		return fmt.Errorf("%w: advance-every: want 0 or more, got %s", errUsage, b.advanceEvery)
	}
	if err := b.options.Validate(); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	listener, err := net.Listen("tcp", b.listenAdmin)
	if err != nil {
		return err
	}
	fleet, err := backend.Start(b.options)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	defer fleet.Close()
	admin := &fasthttp.Server{Handler: fleet.AdminHandler(), Name: "driftlab"}
	failed := make(chan error, 1)
	go func() { failed <- admin.Serve(listener) }()
	if err := b.announce(fleet, listener.Addr().String()); err != nil {
		return err
	}
	if b.advanceEvery > 0 {
		go advance(ctx, fleet, b.advanceEvery)
	}
	select {
	case <-ctx.Done():
		return listener.Close()
	case err := <-failed:
		return err
	}
}

func (b *backendsSettings) announce(fleet *backend.Fleet, admin string) error {
	encoder := json.NewEncoder(os.Stdout)
	if err := encoder.Encode(fleet.Describe(admin)); err != nil {
		return err
	}
	if !b.printResource {
		return nil
	}
	return encoder.Encode(fleet.Resource())
}

// advance publishes index versions at an interval. Each reaches the servers one after the
// other within half of it.
func advance(ctx context.Context, fleet *backend.Fleet, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	stagger := interval / time.Duration(2*len(fleet.Servers()))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fleet.PublishVersion(0, stagger)
		}
	}
}
