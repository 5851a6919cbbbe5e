package backend

import (
	"context"
	"errors"
	"sync/atomic"
)

var errShed = errors.New("slots and queue are full")

// slots is the concurrency limit of one server, with a bounded queue.
type slots struct {
	sem     chan struct{}
	waiting atomic.Int64
	queue   int64
}

func newSlots(count, queue int) *slots {
	return &slots{sem: make(chan struct{}, count), queue: int64(queue)}
}

// acquire takes a slot, waiting in the queue if necessary. It returns errShed if
// the queue is full, or the error of ctx if that ends first.
func (slots *slots) acquire(ctx context.Context) error {
	select {
	case slots.sem <- struct{}{}:
		return nil
	default:
	}
	if slots.waiting.Add(1) > slots.queue {
		slots.waiting.Add(-1)
		return errShed
	}
	defer slots.waiting.Add(-1)
	select {
	case slots.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (slots *slots) release() {
	<-slots.sem
}

func (slots *slots) running() int {
	return len(slots.sem)
}
