package catalog

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// firstPause is the pause after a failed call to the store; it doubles up to
	// longestPause, or to longestFirstPause as long as nothing is known: callers wait
	// for that.
	firstPause        = 100 * time.Millisecond
	longestPause      = 800 * time.Millisecond
	longestFirstPause = 400 * time.Millisecond
	// pausePerCaller bounds what many nodes ask of a store that fails: the longest pause
	// grows by it with each node, up to longestSharedPause, which together with a watch
	// that hangs stays below the shortest time that the users give a node after an
	// outage (5 s, contactMs of their smaller deployments).
	pausePerCaller     = 25 * time.Millisecond
	longestSharedPause = 2400 * time.Millisecond
	// longestSleep bounds a wait for the next call: another feed may have found the
	// store in the meantime, or another node.
	longestSleep = 300 * time.Millisecond
)

// Backoff spaces the calls to a store that fails, for all feeds of a node together: one
// call tells for all of them whether the store is back. The zero value makes no pause.
// It is safe for concurrent use.
type Backoff struct {
	mutex    sync.Mutex
	callers  int
	failures int
	nextAt   time.Time
}

// SetCallers sets how many nodes call the store.
func (b *Backoff) SetCallers(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.callers = count
}

// Reserve returns how long the next call has to wait; zero if the caller is to make it.
// The others wait for its result.
func (b *Backoff) Reserve(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.failures == 0 {
		return 0
	}
	if wait := b.nextAt.Sub(now); wait > 0 {
		return wait
	}
	b.nextAt = now.Add(b.pause())
	return 0
}

// Failed notes that a call has failed.
func (b *Backoff) Failed(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures++
	b.nextAt = now.Add(b.pause())
}

// Succeeded notes that the store has answered.
func (b *Backoff) Succeeded() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures = 0
}

func (b *Backoff) pause() time.Duration {
	longest := min(max(longestPause, time.Duration(b.callers)*pausePerCaller), longestSharedPause)
	return pauseAfter(b.failures, longest)
}

// pauseAfter returns the pause after so many failed calls in a row, one at least. It
// spreads the calls of nodes for which the store failed together.
func pauseAfter(failures int, longest time.Duration) time.Duration {
	pause := min(firstPause<<min(failures-1, 10), longest)
	return pause/2 + rand.N(pause/2)
}
