// Command driftrouter is the query tier for a platform that stores the
// configuration and lists the servers: it serves callers and sends their requests
// directly to the servers.
//
// Exit status: 0 after a stop, 1 after a failure, 2 if the settings are invalid
// (nothing was started).
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

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

// logBufferBytes bounds the log lines buffered for a slow reader.
const logBufferBytes = 256 << 10

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	commandLine, err := settings.LoadRouter(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "driftrouter: invalid settings:\n%v\n", err)
		return exitSettings
	}
	switch commandLine.Mode {
	case settings.ModeHelp:
		fmt.Println(commandLine.Help)
	case settings.ModeVersion:
		fmt.Println("driftrouter", telemetry.Version())
	case settings.ModeCheck:
		fmt.Println("settings are valid")
	default:
		return serve(commandLine, args)
	}
	return 0
}

func serve(commandLine settings.CommandLine[settings.Router], args []string) int {
	router := commandLine.Settings
	debug.SetGCPercent(edge.GCPercent)
	limitMemory(router.MemoryMegabytes)
	output := telemetry.NewAsyncWriter(os.Stdout, logBufferBytes)
	defer output.Close()
	handler := telemetry.SetupLogs(output, router.Name, router.LogVerbosity)
	recorder := trace.NewRecorder(handler, traceOptions(router))
	defer recorder.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	recorderCtx, stopRecorder := context.WithCancel(context.Background())
	defer stopRecorder()
	go recorder.Run(recorderCtx)
	signal.Ignore(syscall.SIGPIPE)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	node := edge.New(router, platform.Names(), platform.NewStore(router.StoreAddress), edge.Logs{
		Recorder: recorder,
		Dropped:  output.Dropped,
	})
	if commandLine.Path != "" {
		go settings.Watch(ctx, commandLine.Path, reloads, func() { reload(node, recorder, args) })
	}
	if err := node.Run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "driftrouter: %v\n", err)
		return exitFailure
	}
	return 0
}

// heapShare is the fraction of the process's memory to which the Go runtime is limited; the
// rest is for stacks of the C library, kernel buffers and unread bytes.
const heapShare = 0.8

// limitMemory sets the memory limit near which the runtime collects garbage more
// often; 0 means no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(megabytes<<20)))
	}
}

// reload loads the settings again. Invalid ones are logged, and the node keeps the
// current settings.
func reload(node *edge.Node, recorder *trace.Recorder, args []string) {
	commandLine, err := settings.LoadRouter(args)
	if err != nil {
		klog.ErrorS(err, "changed settings are wrong; the known ones stay in force")
		return
	}
	recorder.SetOptions(traceOptions(commandLine.Settings))
	node.Reload(commandLine.Settings)
}

func traceOptions(router settings.Router) trace.Options {
	return trace.Options{LinesPerSecond: router.LogLines, SampleEvery: router.LogSample}
}
