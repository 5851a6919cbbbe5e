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
		return serve(request, args)
	}
	return 0
}

func serve(request settings.Request[settings.Router], args []string) int {
	loaded := request.Settings
	debug.SetGCPercent(edge.GCPercent)
	limitMemory(loaded.MemoryMegabytes)
	output := telemetry.NewAsyncWriter(os.Stdout, logBufferBytes)
	defer output.Close()
	handler := telemetry.SetupLogs(output, loaded.Name, loaded.LogVerbosity)
	recorder := trace.NewRecorder(handler, traceOptions(loaded))
	defer recorder.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	writing, endWriting := context.WithCancel(context.Background())
	defer endWriting()
	go recorder.Run(writing)
	signal.Ignore(syscall.SIGPIPE)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	node := edge.New(loaded, platform.Names(), platform.NewStore(loaded.StoreAddress), edge.Logs{
		Recorder: recorder,
		Dropped:  output.Dropped,
	})
	if request.Path != "" {
		go settings.Watch(ctx, request.Path, reloads, func() { reload(node, recorder, args) })
	}
	if err := node.Run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "driftrouter: %v\n", err)
		return exitFailure
	}
	return 0
}

// heapShare is the part of the process's memory that the runtime keeps to; the rest
// is for stacks of the C library, buffers of the kernel and bytes that wait unread.
const heapShare = 0.8

// limitMemory makes the runtime collect garbage more often near the limit, which
// is 0 for none.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(megabytes<<20)))
	}
}

// reload reads the settings once more. Wrong ones are reported, and the node goes
// on by those it has.
func reload(node *edge.Node, recorder *trace.Recorder, args []string) {
	request, err := settings.LoadRouter(args)
	if err != nil {
		klog.ErrorS(err, "changed settings are wrong; the known ones stay in force")
		return
	}
	recorder.SetOptions(traceOptions(request.Settings))
	node.Reload(request.Settings)
}

func traceOptions(loaded settings.Router) trace.Options {
	return trace.Options{LinesPerSecond: loaded.LogLines, SampleEvery: loaded.LogSample}
}
