package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/overload"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/trace"
	"github.com/driftstage/driftstage/internal/upstream"
)

// A request that waits for a server checks repeatedly; its trace must not grow with
// each check.
func TestWaitingIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	recorder := trace.NewRecorder(slog.NewJSONHandler(&output, nil), trace.Options{LinesPerSecond: 1000})
	directory := endpoints.New(endpoints.Topology{}, nil)
	// The list may be incomplete, so the request waits for servers.
	directory.ReplaceAfterOutage(nil, time.Now())
	dispatcher := New(directory, upstream.NewClient(upstream.Headers{}), recorder, NopObserver{}, overload.NewMeter(100))
	route := &routing.Route{Name: "r", Timeout: time.Second, Target: 500 * time.Millisecond, Split: []routing.WeightedService{{Service: "s", Weight: 1}}}
	outcome := dispatcher.Do(t.Context(), Request{
		Route:         route,
		Message:       &upstream.Request{ID: "id-1"},
		CallerTimeout: 900 * time.Millisecond,
		Arrived:       time.Now(),
	})
	is.True(outcome != nil)
	recorder.Flush()
	is.Equal(strings.Count(output.String(), string(trace.EventDeferred)), 1)
}
