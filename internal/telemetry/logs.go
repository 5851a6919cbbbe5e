// Package telemetry sets up logs as JSON lines, metrics and the admin server.
package telemetry

import (
	"io"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// SetupLogs points klog at slog's JSON handler: one JSON object a line. Each
// line carries the node's name. Verbosity is klog's, 0 to 4.
func SetupLogs(output io.Writer, node string, verbosity int) {
	// klog's verbosity V(n) becomes slog level -n.
	handler := slog.NewJSONHandler(output, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	klog.SetSlogLogger(slog.New(handler).With("node", node))
	// Set changes the verbosity of all of klog, not only of this variable.
	var level klog.Level
	_ = level.Set(strconv.Itoa(verbosity))
}

// LimitedLogger logs a fault that could repeat with every request: at most
// a few lines a second, each telling how many were left out.
type LimitedLogger struct {
	limiter *rate.Limiter
	omitted atomic.Int64
}

const (
	// limitedLinesPerSecond is the steady rate of a LimitedLogger.
	limitedLinesPerSecond = 1
	// limitedBurst is how many lines may come at once.
	limitedBurst = 5
)

// NewLimitedLogger returns a logger for one kind of fault.
func NewLimitedLogger() *LimitedLogger {
	return &LimitedLogger{limiter: rate.NewLimiter(limitedLinesPerSecond, limitedBurst)}
}

// Error logs the fault unless too many lines came lately.
func (logger *LimitedLogger) Error(now time.Time, err error, text string, keysAndValues ...any) {
	if !logger.limiter.AllowN(now, 1) {
		logger.omitted.Add(1)
		return
	}
	keysAndValues = append(keysAndValues, "omitted", logger.omitted.Swap(0))
	klog.ErrorSDepth(1, err, text, keysAndValues...)
}
