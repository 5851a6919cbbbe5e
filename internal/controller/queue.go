package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// backoff returns a capped exponential delay with jitter: half to all of it.
func backoff(failures int) time.Duration {
	full := min(firstBackoff<<min(failures, 16), maxBackoff)
	return full/2 + rand.N(full/2+1)
}

// queue is a work queue of names. A name is processed by one worker at a time; a
// name added during that is processed again afterwards. A failed name is processed
// again after its backoff, and not earlier, however often it is added.
type queue struct {
	mutex    sync.Mutex
	waiting  map[string]bool
	working  map[string]bool
	delayed  map[string]bool
	failures map[string]int
	// ready is signalled when a name may be available.
	ready chan struct{}
}

func newQueue() *queue {
	return &queue{
		waiting:  make(map[string]bool),
		working:  make(map[string]bool),
		delayed:  make(map[string]bool),
		failures: make(map[string]int),
		ready:    make(chan struct{}, 1),
	}
}

func (queue *queue) add(names ...string) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	for _, name := range names {
		queue.waiting[name] = true
	}
	queue.signal()
}

func (queue *queue) signal() {
	select {
	case queue.ready <- struct{}{}:
	default:
	}
}

// get waits for a name; it returns false when ctx ends.
func (queue *queue) get(ctx context.Context) (string, bool) {
	for {
		if name, found := queue.tryGet(); found {
			return name, true
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-queue.ready:
		}
	}
}

func (queue *queue) tryGet() (string, bool) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	for name := range queue.waiting {
		if queue.working[name] || queue.delayed[name] {
			continue
		}
		delete(queue.waiting, name)
		queue.working[name] = true
		queue.signal() // there may be more names for another worker
		return name, true
	}
	return "", false
}

// done marks a name as processed; the calling worker gets the next name itself.
// After a failure the name is queued again, with a longer delay for each
// consecutive failure.
func (queue *queue) done(name string, err error) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	delete(queue.working, name)
	if err == nil {
		delete(queue.failures, name)
		return
	}
	queue.delayed[name] = true
	time.AfterFunc(backoff(queue.failures[name]), func() { queue.retry(name) })
	queue.failures[name]++
}

func (queue *queue) retry(name string) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	delete(queue.delayed, name)
	queue.waiting[name] = true
	queue.signal()
}
