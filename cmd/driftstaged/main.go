// Command driftstaged is the daemon of driftstage: gateway, owner of back-end
// servers, cluster member and candidate for the controller in one process.
//
// Exit status: 0 after a stop that aborted no request, 1 after a failure, 2 if the
// settings are invalid (nothing was started).
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/driftstage/driftstage/internal/node"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/telemetry"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	commandLine, err := settings.Load(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "driftstaged: invalid settings:\n%v\n", err)
		return exitSettings
	}
	switch commandLine.Mode {
	case settings.ModeHelp:
		fmt.Println(commandLine.Help)
		return 0
	case settings.ModeVersion:
		fmt.Println("driftstaged", telemetry.Version())
		return 0
	case settings.ModeCheck:
		fmt.Println("settings are valid")
		return 0
	}
	return serve(commandLine.Settings)
}

func serve(loaded settings.Settings) int {
	telemetry.SetupLogs(os.Stderr, loaded.Name, loaded.LogVerbosity)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	daemon, err := node.New(loaded)
	if err != nil {
		fmt.Fprintf(os.Stderr, "driftstaged: %v\n", err)
		return exitFailure
	}
	if err := daemon.Run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "driftstaged: %v\n", err)
		return exitFailure
	}
	return 0
}
