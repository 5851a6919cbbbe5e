package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/lab/experiment"
)

// experimentRun runs an experiment with one user's service.
type experimentRun func(context.Context, experiment.Options, experiment.User) (*experiment.Result, error)

const defaultExperimentDuration = 20 * time.Second

func experimentCommand() *ff.Command {
	return &ff.Command{
		Name:      "experiment",
		Usage:     "driftlab experiment SUBCOMMAND [FLAGS]",
		ShortHelp: "start complete systems and measure them against the baseline",
		Flags:     ff.NewFlagSet("experiment"),
		Subcommands: []*ff.Command{
			newExperiment("overhead", "latency and CPU time added to healthy back ends", experiment.Overhead),
			newExperiment("throughput", "CPU time per sub-request when the daemons are busy", experiment.Throughput),
			newExperiment("stragglers", "tail latency with 1 in 100 replies 50 times slower and one server stopped", experiment.Stragglers),
			newExperiment("overload", "useful answers and rejections under loads of up to more than twice the capacity", experiment.Overload),
			rolloutCommand(),
		},
	}
}

func newExperiment(name, help string, run experimentRun) *ff.Command {
	flags := ff.NewFlagSet(name)
	duration := flags.DurationLong("duration", defaultExperimentDuration, "how long each load is measured")
	seed := flags.UintLong("seed", 1, "seed of arrivals and service times")
	asJSON := flags.BoolLong("json", "print JSON instead of tables")
	return &ff.Command{
		Name:      name,
		Usage:     "driftlab experiment " + name + " [FLAGS]",
		ShortHelp: help,
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *duration <= 0 {
				return fmt.Errorf("%w: want no arguments, and a duration above zero", errUsage)
			}
			return runExperiment(ctx, run, experiment.Options{Duration: *duration, Seed: uint64(*seed)}, *asJSON)
		},
	}
}

// runExperiment runs an experiment for each user, one after the other.
func runExperiment(ctx context.Context, run experimentRun, options experiment.Options, asJSON bool) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	options.Binaries = filepath.Dir(executable)
	options.Directory, err = os.MkdirTemp("", "driftstage-experiment-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(options.Directory)
	for _, user := range experiment.Users {
		result, err := run(ctx, options, user)
		if err != nil {
			return err
		}
		if asJSON {
			err = json.NewEncoder(os.Stdout).Encode(result)
		} else {
			err = result.Write(os.Stdout)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
