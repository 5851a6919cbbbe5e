package dispatch

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/overload"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/upstream"
)

// A request whose deadline passed while the machine was suspended ends after the resume, and
// nothing more is sent for it.
func TestRequestExpiresDuringSuspension(t *testing.T) {
	is := is.New(t)
	directory := endpoints.New(endpoints.Topology{}, nil)
	directory.ReplaceAfterOutage(nil, time.Now()) // the request waits for servers
	dispatcher := New(directory, upstream.NewClient(upstream.Headers{}), nil, NopObserver{}, overload.NewMeter(100))
	var suspended atomic.Int64
	dispatcher.suspended = func() time.Duration { return time.Duration(suspended.Load()) }
	route := &routing.Route{Name: "r", Timeout: time.Hour, Target: time.Minute, Split: []routing.WeightedService{{Service: "s", Weight: 1}}}
	ended := make(chan *exchange.Outcome, 1)
	go func() {
		ended <- dispatcher.Do(t.Context(), Request{Route: route, Message: &upstream.Request{ID: "id-1"}, CallerTimeout: 30 * time.Minute, Arrived: time.Now()})
	}()
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(ended), 0)
	suspended.Store(int64(time.Hour))
	select {
	case outcome := <-ended:
		is.Equal(outcome.Status, exchange.StatusRefused) // nothing has run
	case <-time.After(5 * time.Second):
		t.Fatal("request still running 5s after its deadline")
	}
}
