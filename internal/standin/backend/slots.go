package backend

import (
	"context"
	"errors"
	"sync/atomic"
)

var errShed = errors.New("slots and queue are full")

// slots are the places of one server: running, and a bounded number waiting.
type slots struct {
	places  chan struct{}
	waiting atomic.Int64
	queue   int64
}

func newSlots(count, queue int) *slots {
	return &slots{places: make(chan struct{}, count), queue: int64(queue)}
}

// acquire takes a slot. It returns errShed when the queue is full, or the
// error of ctx when that ended first.
func (slots *slots) acquire(ctx context.Context) error {
	select {
	case slots.places <- struct{}{}:
		return nil
	default:
	}
	if slots.waiting.Add(1) > slots.queue {
		slots.waiting.Add(-1)
		return errShed
	}
	defer slots.waiting.Add(-1)
	select {
	case slots.places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (slots *slots) release() {
	<-slots.places
}

func (slots *slots) running() int {
	return len(slots.places)
}
