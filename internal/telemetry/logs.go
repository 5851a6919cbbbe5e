// Package telemetry provides JSON logging, metrics and the admin server.
package telemetry

import (
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// SetupLogs makes klog write through slog's JSON handler, one JSON object per line,
// each with the node's name. Verbosity is klog's, 0 to 4.
// It returns the handler for lines that do not go through klog.
func SetupLogs(output io.Writer, node string, verbosity int) slog.Handler {
	// klog's verbosity V(n) becomes slog level -n.
	handler := slog.NewJSONHandler(output, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	named := handler.WithAttrs([]slog.Attr{slog.String("node", node)})
	klog.SetSlogLogger(slog.New(named))
	// Set changes the verbosity of all of klog, not only of this variable.
	var level klog.Level
	_ = level.Set(strconv.Itoa(verbosity))
	return named
}
