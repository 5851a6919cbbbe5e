// Command driftlab runs stand-ins, loads and experiments for driftstage.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// errUsage marks a usage error, which exits with status 2.
var errUsage = errors.New("usage")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	root := rootCommand()
	if err := root.Parse(args); err != nil {
		return reportUsage(root, err)
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ff.ErrNoExec), errors.Is(err, errUsage):
		return reportUsage(root, err)
	default:
		fmt.Fprintln(os.Stderr, "driftlab:", err)
		return exitFailure
	}
}

func rootCommand() *ff.Command {
	return &ff.Command{
		Name:      "driftlab",
		Usage:     "driftlab SUBCOMMAND [FLAGS]",
		ShortHelp: "stand-ins, load and experiments for driftstage",
		Flags:     ff.NewFlagSet("driftlab"),
		Subcommands: []*ff.Command{
			platformCommand(),
			backendsCommand(),
			loadCommand(),
			demoCommand(),
			routerDemoCommand(),
			failureCommand(),
			experimentCommand(),
		},
	}
}

// rejectArguments returns a usage error if there are arguments other than flags.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: unexpected argument %q", errUsage, args[0])
	}
	return nil
}

func reportUsage(root *ff.Command, err error) int {
	selected := root.GetSelected()
	if selected == nil {
		selected = root
	}
	fmt.Fprintln(os.Stderr, ffhelp.Command(selected))
	if errors.Is(err, ff.ErrHelp) {
		return 0
	}
	fmt.Fprintln(os.Stderr, "driftlab:", err)
	return exitUsage
}
