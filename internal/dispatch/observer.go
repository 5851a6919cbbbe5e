package dispatch

import (
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/upstream"
)

// Observer counts what happens to requests. Its methods do not block.
type Observer interface {
	// RequestFinished is told each final answer. Gather is set for requests to
	// all shards.
	RequestFinished(gather bool, outcome *exchange.Outcome, elapsed time.Duration)
	// RequestAbandoned is told that a caller hung up before its answer.
	RequestAbandoned(gather bool)
	// AttemptEnded is told each end of an attempt that was still wanted.
	AttemptEnded(reason exchange.Reason, kind upstream.Kind)
	// RequestHeld is told that a request waits before anything is sent for it.
	RequestHeld(hold exchange.Hold)
	// SendDeferred is told that a send had to wait.
	SendDeferred(cause endpoints.Availability)
}

// NoObserver counts nothing.
type NoObserver struct{}

// RequestFinished implements Observer.
func (NoObserver) RequestFinished(bool, *exchange.Outcome, time.Duration) {}

// RequestAbandoned implements Observer.
func (NoObserver) RequestAbandoned(bool) {}

// AttemptEnded implements Observer.
func (NoObserver) AttemptEnded(exchange.Reason, upstream.Kind) {}

// RequestHeld implements Observer.
func (NoObserver) RequestHeld(exchange.Hold) {}

// SendDeferred implements Observer.
func (NoObserver) SendDeferred(endpoints.Availability) {}
