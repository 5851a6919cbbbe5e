package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/lab"
	"github.com/driftstage/driftstage/internal/standin/backend"
)

// errWrongAnswers makes the command fail if an answer contradicted the record.
var errWrongAnswers = errors.New("there were wrong answers")

type loadSettings struct {
	options  lab.LoadOptions
	class    string
	gateways string
	admin    string
	direct   bool
	asJSON   bool
}

func loadCommand() *ff.Command {
	settings := loadSettings{options: lab.DefaultLoadOptions()}
	flags := ff.NewFlagSet("load")
	settings.register(flags)
	return &ff.Command{
		Name:      "load",
		Usage:     "driftlab load [--direct --admin IP:PORT] [--gateways IP:PORT,...] [FLAGS]",
		ShortHelp: "send an open-loop load and report latency, coverage and extra load",
		LongHelp: "With both --direct and --gateways, the baseline runs first and driftstage second, against the same back ends.\n" +
			"With --admin, every answer is compared with what the back ends ran. Exit status 1 if one was wrong.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return settings.run(ctx)
		},
	}
}

func (l *loadSettings) register(flags *ff.FlagSet) {
	options := &l.options
	flags.StringVar(&l.gateways, 0, "gateways", "", "addresses of gateways, used round-robin")
	flags.StringVar(&l.admin, 0, "admin", "", "admin address of `driftlab backends`")
	flags.BoolVar(&l.direct, 0, "direct", "query one replica of each shard directly and wait for all")
	flags.BoolVar(&l.asJSON, 0, "json", "print JSON instead of a table")
	flags.StringVar(&options.Service, 0, "service", options.Service, "name of the query service")
	flags.Float64Var(&options.Rate, 0, "rate", options.Rate, "queries per second (Poisson arrivals)")
	flags.DurationVar(&options.Warmup, 0, "warmup", options.Warmup, "time before latency is measured")
	flags.DurationVar(&options.Duration, 0, "duration", options.Duration, "time for which latency is measured")
	flags.DurationVar(&options.SettleTime, 0, "settle", options.SettleTime, "time between the last answer and reading the record")
	flags.DurationVar(&options.Timeout, 0, "timeout", options.Timeout, "timeout of a query")
	flags.StringVar(&l.class, 0, "class", "", "interactive or batch; empty for the service's own")
	flags.Float64Var(&options.RepeatableShare, 0, "repeatable-share", options.RepeatableShare, "share of queries that are repeatable")
	flags.Float64Var(&options.MinimumCoverage, 0, "minimum-coverage", options.MinimumCoverage, "minimum coverage sent with each query; negative for the service's own")
	flags.IntVar(&options.BodyBytes, 0, "body-bytes", options.BodyBytes, "size of a query's body")
	flags.IntVar(&options.Outstanding, 0, "outstanding", options.Outstanding, "limit of queries in flight; queries over it are counted as not sent")
	flags.Uint64Var(&options.Seed, 0, "seed", options.Seed, "seed of arrivals")
}

func (l *loadSettings) validate() error {
	var failures []error
	if l.gateways == "" && !l.direct {
		failures = append(failures, errors.New("gateways: want addresses, or --direct"))
	}
	if l.direct && l.admin == "" {
		failures = append(failures, errors.New("admin: --direct needs the admin address of the back ends"))
	}
	for _, address := range l.addresses() {
		if _, _, err := net.SplitHostPort(address); err != nil {
			failures = append(failures, fmt.Errorf("gateways: want IP:port, got %q", address))
		}
	}
	l.options.Class = v1.Class(l.class)
	if err := errors.Join(append(failures, l.options.Validate())...); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return nil
}

func (l *loadSettings) addresses() []string {
	if l.gateways == "" {
		return nil
	}
	return strings.Split(l.gateways, ",")
}

func (l *loadSettings) run(ctx context.Context) error {
	if err := l.validate(); err != nil {
		return err
	}
	targets, recorder, err := l.targets()
	if err != nil {
		return err
	}
	var reports []*lab.Report
	wrong := 0
	for _, target := range targets {
		report, err := lab.Load(ctx, l.options, target, recorder)
		if err != nil {
			return err
		}
		reports = append(reports, report)
		wrong += report.WrongAnswers
	}
	if err := l.print(reports); err != nil {
		return err
	}
	if wrong > 0 {
		return errWrongAnswers
	}
	return nil
}

func (l *loadSettings) targets() ([]lab.Target, lab.Recorder, error) {
	var targets []lab.Target
	var recorder lab.Recorder
	if l.admin != "" {
		client := backend.NewClient(l.admin)
		recorder = client
		if l.direct {
			fleet, err := client.Fleet()
			if err != nil {
				return nil, nil, err
			}
			targets = append(targets, lab.NewDirect(fleet, l.options.Seed))
		}
	}
	if l.gateways != "" {
		targets = append(targets, lab.NewGateways(l.addresses()))
	}
	return targets, recorder, nil
}

func (l *loadSettings) print(reports []*lab.Report) error {
	if l.asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reports)
	}
	return lab.WriteTable(os.Stdout, reports)
}
