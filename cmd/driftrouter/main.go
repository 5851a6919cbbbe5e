// Command driftrouter is the query tier on a platform that keeps configuration
// and lists servers: it answers callers and asks the servers directly.
//
// Exit status: 0 after a stop, 1 after a failure, 2 when the settings are wrong
// (nothing was started).
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/driftstage/driftstage/internal/edge"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/telemetry"
	"github.com/driftstage/driftstage/internal/trace"
	"github.com/driftstage/driftstage/platform"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

// logBufferBytes bounds log lines that wait for a slow reader.
const logBufferBytes = 256 << 10

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	request, err := settings.LoadRouter(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "driftrouter: wrong settings:\n%v\n", err)
		return exitSettings
	}
	switch request.Mode {
	case settings.ModeHelp:
		fmt.Println(request.Help)
	case settings.ModeVersion:
		fmt.Println("driftrouter", telemetry.Version())
	case settings.ModeCheck:
		fmt.Println("settings are right")
	default:
		return serve(request.Settings)
	}
	return 0
}

func serve(loaded settings.Router) int {
	debug.SetGCPercent(edge.GCPercent)
	output := telemetry.NewAsyncWriter(os.Stdout, logBufferBytes)
	defer output.Close()
	handler := telemetry.SetupLogs(output, loaded.Name, loaded.LogVerbosity)
	recorder := trace.NewRecorder(handler, trace.Options{
		LinesPerSecond: loaded.LogLines,
		SampleEvery:    loaded.LogSample,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	node := edge.New(loaded, platform.Names(), platform.NewStore(loaded.StoreAddress), edge.Logs{
		Recorder: recorder,
		Dropped:  output.Dropped,
	})
	if err := node.Run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "driftrouter: %v\n", err)
		return exitFailure
	}
	return 0
}
