package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/lab/scale"
)

func scaleCommand() *ff.Command {
	options := scale.DefaultOptions()
	options.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	var sizes string
	var asJSON bool
	flags := ff.NewFlagSet("scale")
	flags.StringVar(&sizes, 0, "sizes", "5,20,100", "numbers of hollow nodes, one after the other")
	flags.BoolVar(&asJSON, 0, "json", "print JSON instead of a table")
	flags.DurationVar(&options.Idle, 0, "idle", options.Idle, "time for which the cost at rest is measured")
	flags.IntVar(&options.Changes, 0, "changes", options.Changes, "revisions to publish")
	flags.DurationVar(&options.ChangePeriod, 0, "change-period", options.ChangePeriod, "time between two revisions")
	flags.IntVar(&options.Kills, 0, "kills", options.Kills, "nodes to stop abruptly")
	flags.IntVar(&options.Servers, 0, "servers", options.Servers, "servers in the published spec")
	flags.IntVar(&options.Shards, 0, "shards", options.Shards, "shards in the published spec")
	flags.IntVar(&options.Zones, 0, "zones", options.Zones, "zones over which nodes are spread")
	flags.DurationVar(&options.Timeout, 0, "timeout", options.Timeout, "bound of each wait")
	return &ff.Command{
		Name:      "scale",
		Usage:     "driftlab scale [--sizes 5,20,100] [--json] [FLAGS]",
		ShortHelp: "run hollow nodes and measure the cost of control",
		LongHelp: "Runs the real membership, gossip and configuration code of many nodes in this process, over loopback sockets.\n" +
			"Costs are of one node; bytes are sent and received together, with headers.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := wantNoArguments(args); err != nil {
				return err
			}
			parsed, err := parseSizes(sizes)
			if err != nil {
				return err
			}
			options.Sizes = parsed
			return runScale(ctx, options, asJSON)
		},
	}
}

// smallestFleet is the least number of nodes of which one may be stopped.
const smallestFleet = 3

func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, field := range strings.Split(text, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || size < smallestFleet {
			return nil, fmt.Errorf("%w: sizes: %q: want a number of nodes from %d", errUsage, field, smallestFleet)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

func runScale(ctx context.Context, options scale.Options, asJSON bool) error {
	report, failure := scale.Run(ctx, options)
	return errors.Join(failure, writeScale(report, asJSON))
}

func writeScale(report *scale.Report, asJSON bool) error {
	if !asJSON {
		return report.WriteTable(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
