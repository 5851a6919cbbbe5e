package catalog

import (
	"context"
	"sync"
	"time"
)

// Handed is the state of a kind that another node has handed over to one that has just
// started. The zero value has none yet. It is safe for concurrent use.
type Handed[T any] struct {
	mutex sync.Mutex
	// decided is closed once there is a state, or none is to be expected.
	decided chan struct{}
	found   bool
	page    Page[T]
	told    time.Time
}

// Put hands over a whole state, as the store told it at the given time.
func (h *Handed[T]) Put(page Page[T], told time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.page, h.told, h.found = page, told, true
	h.decide()
}

// Abandon lets those go on that wait: no other node answers.
func (h *Handed[T]) Abandon() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.decide()
}

// decide ends the present wait; the mutex is held.
func (h *Handed[T]) decide() {
	decided := h.channel()
	select {
	case <-decided:
	default:
		close(decided)
	}
}

// Take returns the state as soon as there is one, and forgets it; false if there will be none
// or ctx ends first.
func (h *Handed[T]) Take(ctx context.Context) (page Page[T], told time.Time, found bool) {
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
	page, told, found = h.page, h.told, h.found
	h.page, h.found, h.decided = Page[T]{}, false, nil
	return page, told, found
}

// channel returns the channel of the present wait; the mutex is held.
func (h *Handed[T]) channel() chan struct{} {
	if h.decided == nil {
		h.decided = make(chan struct{})
	}
	return h.decided
}
