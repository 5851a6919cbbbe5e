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

// errBoundBroken makes the command fail when a bound of the roll-out did not hold.
var errBoundBroken = errors.New("a bound was broken")

func rolloutCommand() *ff.Command {
	flags := ff.NewFlagSet("rollout")
	version := flags.StringLong("version", "good", "kind of new version")
	trouble := flags.StringLong("trouble", "none", "what goes wrong besides")
	nodes := flags.IntLong("nodes", 3, "driftrouter processes, 1 to 12")
	seconds := flags.Float64Long("seconds", 12, "the order's time, 4 to 24; callers ask for as long before")
	seed := flags.UintLong("seed", 1, "seed of arrivals and of the trouble's time; odd: a shard is moved, even: a whole service")
	troubleAt := flags.Float64Long("trouble-at", -1, "part of the order's time after which the trouble begins; negative: drawn by the seed, up to 0.4")
	output := flags.StringLong("output", outputText, "text or json")
	keep := flags.BoolLong("keep", "keep the nodes' logs and print their directory on standard error")
	return &ff.Command{
		Name:      "rollout",
		Usage:     "driftlab experiment rollout [FLAGS]",
		ShortHelp: "move a service to a new version with driftrouter processes among stand-ins of the users' platform",
		LongHelp:  rolloutHelp(),
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			options := rollouts.Options{
				Version: *version, Trouble: *trouble, Nodes: *nodes,
				Duration: time.Duration(*seconds * float64(time.Second)), Seed: uint64(*seed), TroubleAt: *troubleAt,
			}
			if err := errors.CombineErrors(wantNoArguments(args), options.Validate()); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if *output != outputText && *output != outputJSON {
				return fmt.Errorf("%w: output: no %q", errUsage, *output)
			}
			return runRollout(ctx, options, *output == outputJSON, *keep)
		},
	}
}

func rolloutHelp() string {
	var help strings.Builder
	help.WriteString("Exit status 1 when a bound was broken; the logs are kept then.\n\nVersions:\n")
	for _, version := range rollouts.Versions {
		fmt.Fprintf(&help, "  %-15s %s\n", version.Name, version.Help)
	}
	help.WriteString("\nTroubles:\n")
	for _, trouble := range rollouts.Troubles {
		fmt.Fprintf(&help, "  %-15s %s\n", trouble.Name, trouble.Help)
	}
	return help.String()
}

// runRollout plays one roll-out and prints what came of it. The logs are kept if that is
// asked for or a bound was broken.
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
	if len(result.Broken) > 0 {
		return errors.CombineErrors(err, errors.Wrapf(errBoundBroken, "logs in %s", options.Directory))
	}
	if keep {
		fmt.Fprintf(os.Stderr, "logs in %s\n", options.Directory)
		return err
	}
	return errors.CombineErrors(err, os.RemoveAll(options.Directory))
}
