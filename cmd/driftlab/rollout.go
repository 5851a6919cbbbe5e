package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/lab/rollouts"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// errBoundViolated makes the command fail if a bound of the rollout was violated.
var errBoundViolated = errors.New("a bound was violated")

func rolloutCommand() *ff.Command {
	flags := ff.NewFlagSet("rollout")
	version := flags.StringLong("version", "good", "kind of new version")
	trouble := flags.StringLong("trouble", "none", "kind of fault to inject")
	nodes := flags.IntLong("nodes", 3, "driftrouter processes, 1 to 12")
	seconds := flags.Float64Long("seconds", 12, "duration of the order, 4 to 24; requests are sent for as long before it")
	seed := flags.UintLong("seed", 1, "seed of arrivals and of the start of the trouble; odd: rollout of a shard, even: of a service without shards")
	troubleAt := flags.Float64Long("trouble-at", -1, "start of the trouble as a fraction of the order's duration; negative: chosen by the seed, up to 0.4")
	output := flags.StringLong("output", outputText, "text or json")
	keep := flags.BoolLong("keep", "keep the nodes' logs and print their directory on standard error")
	return &ff.Command{
		Name:      "rollout",
		Usage:     "driftlab experiment rollout [FLAGS]",
		ShortHelp: "roll out a new version of a service, with driftrouter processes and stand-ins for the users' platform",
		LongHelp:  rolloutHelp(),
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			options := rollouts.Options{
				Version: *version, Trouble: *trouble, Nodes: *nodes,
				Duration: time.Duration(*seconds * float64(time.Second)), Seed: uint64(*seed), FaultStart: *troubleAt,
			}
			if err := errors.CombineErrors(rejectArguments(args), options.Validate()); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if *output != outputText && *output != outputJSON {
				return fmt.Errorf("%w: output: want text or json, got %q", errUsage, *output)
			}
			return runRollout(ctx, options, *output == outputJSON, *keep)
		},
	}
}

func rolloutHelp() string {
	var help strings.Builder
	help.WriteString("Exit status 1 if a bound was violated; the logs are then kept.\n\nVersions:\n")
	for _, version := range rollouts.Versions {
		fmt.Fprintf(&help, "  %-15s %s\n", version.Name, version.Help)
	}
	help.WriteString("\nTroubles:\n")
	for _, fault := range rollouts.InjectedFaults {
		fmt.Fprintf(&help, "  %-15s %s\n", fault.Name, fault.Help)
	}
	return help.String()
}

// runRollout runs one rollout and prints its result. The logs are kept with keep, or if a
// bound was violated.
func runRollout(ctx context.Context, options rollouts.Options, asJSON, keep bool) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	options.Binaries = filepath.Dir(executable)
	if options.Directory, err = os.MkdirTemp("", "driftstage-rollout-"); err != nil {
		return err
	}
	result, err := rollouts.Run(ctx, options)
	if err != nil {
		return errors.Wrapf(err, "logs in %s", options.Directory)
	}
	if asJSON {
		err = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		err = result.Write(os.Stdout)
	}
	if len(result.ViolatedBounds) > 0 {
		return errors.CombineErrors(err, errors.Wrapf(errBoundViolated, "logs in %s", options.Directory))
	}
	if keep {
		fmt.Fprintf(os.Stderr, "logs in %s\n", options.Directory)
		return err
	}
	return errors.CombineErrors(err, os.RemoveAll(options.Directory))
}
