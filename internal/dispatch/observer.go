package dispatch

import (
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/upstream"
)

// Observer counts events of requests, for example as metrics. Its methods must not block.
type Observer interface {
	// RequestFinished is called for each final answer. Gather is set for requests to
	// all shards.
	RequestFinished(gather bool, outcome *exchange.Outcome, elapsed time.Duration)
	// RequestAbandoned is called for a request that is given up before its answer.
	RequestAbandoned(gather bool)
	// AttemptEnded is called for each attempt that ends before its request does.
	AttemptEnded(reason exchange.Reason, kind upstream.Kind)
	// RequestHeld is called when a request is held before anything is sent for it.
	RequestHeld(hold exchange.Hold)
	// SendDeferred is called when a send is deferred.
	SendDeferred(cause endpoints.Availability)
}

// NopObserver ignores all events.
type NopObserver struct{}

// RequestFinished implements Observer.
func (NopObserver) RequestFinished(bool, *exchange.Outcome, time.Duration) {}

// RequestAbandoned implements Observer.
func (NopObserver) RequestAbandoned(bool) {}

// AttemptEnded implements Observer.
func (NopObserver) AttemptEnded(exchange.Reason, upstream.Kind) {}

// RequestHeld implements Observer.
func (NopObserver) RequestHeld(exchange.Hold) {}

// SendDeferred implements Observer.
func (NopObserver) SendDeferred(endpoints.Availability) {}
