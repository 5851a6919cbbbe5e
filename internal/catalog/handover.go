package catalog

import (
	"context"
	"sync"
	"time"
)

// Handover passes the full state of a kind from a peer to a follower that has just started. The zero
// value holds no state. It is safe for concurrent use.
type Handover[T any] struct {
	mutex sync.Mutex
	// decided is closed once there is a state, or none is to be expected.
	decided chan struct{}
	found   bool
	page    Page[T]
	asOf    time.Time
}

// Put provides the full state, as the store returned it at the given time.
func (h *Handover[T]) Put(page Page[T], asOf time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.page, h.asOf, h.found = page, asOf, true
	h.decide()
}

// Abandon ends the wait for a state without one: no other node answers.
func (h *Handover[T]) Abandon() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.decide()
}

// decide ends the current wait. The caller holds the mutex.
func (h *Handover[T]) decide() {
	decided := h.channel()
	select {
	case <-decided:
	default:
		close(decided)
	}
}

// Take waits for the state, returns it and removes it. It returns false if none is to be expected
// or ctx ends first.
func (h *Handover[T]) Take(ctx context.Context) (page Page[T], asOf time.Time, found bool) {
	h.mutex.Lock()
	decided := h.channel()
	h.mutex.Unlock()
	select {
	case <-ctx.Done():
		return Page[T]{}, time.Time{}, false
	case <-decided:
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	page, asOf, found = h.page, h.asOf, h.found
	h.page, h.found, h.decided = Page[T]{}, false, nil
	return page, asOf, found
}

// channel returns the channel of the current wait. The caller holds the mutex.
func (h *Handover[T]) channel() chan struct{} {
	if h.decided == nil {
		h.decided = make(chan struct{})
	}
	return h.decided
}
