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

// backoff is a capped exponential time with jitter: half to all of it.
func backoff(failures int) time.Duration {
	full := min(firstBackoff<<min(failures, 16), maxBackoff)
	return full/2 + rand.N(full/2+1)
}

// queue holds names that need work. A name is in the hands of one worker at a
// time; one added meanwhile comes again afterwards. One that failed comes again
// after its backoff, and not before, however often it is added.
type queue struct {
	mutex    sync.Mutex
	waiting  map[string]bool
	working  map[string]bool
	delayed  map[string]bool
	failures map[string]int
	// ready is signalled when a name may be taken.
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

// take waits for a name; it returns false when ctx ends.
func (queue *queue) take(ctx context.Context) (string, bool) {
	for {
		if name, found := queue.tryTake(); found {
			return name, true
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-queue.ready:
		}
	}
}

func (queue *queue) tryTake() (string, bool) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	for name := range queue.waiting {
		if queue.working[name] || queue.delayed[name] {
			continue
		}
		delete(queue.waiting, name)
		queue.working[name] = true
		queue.signal() // there may be more for another worker
		return name, true
	}
	return "", false
}

// done gives a name back; the worker that calls it takes the next one itself.
// After a failure it comes again by itself, later with
// each failure in a row.
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
