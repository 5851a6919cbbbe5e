package catalog

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// initialBackoff is the delay after a failed call to the store. It doubles up to maxBackoff, or
	// up to maxInitialListBackoff until the first list has succeeded: requests wait for that list.
	initialBackoff        = 100 * time.Millisecond
	maxBackoff            = 800 * time.Millisecond
	maxInitialListBackoff = 400 * time.Millisecond
	// backoffPerNode bounds the load of many nodes on a failing store: the maximum delay grows by
	// it for each node, up to maxSharedBackoff. maxSharedBackoff plus the time of a watch that hangs
	// is below the shortest time in which a deployment expects a node to recover from an outage (5 s,
	// contactMs of the smaller deployments).
	backoffPerNode   = 25 * time.Millisecond
	maxSharedBackoff = 2400 * time.Millisecond
	// catchUpWaitPerNode times the number of nodes, up to maxCatchUpWait, is the longest time for
	// which a follower waits for a peer whose data is outdated. Each follower waits for a random
	// part of it; otherwise all of them would call the store at the same time after a short outage.
	catchUpWaitPerNode = 1200 * time.Microsecond
	maxCatchUpWait     = 1200 * time.Millisecond
	// maxSleep bounds a wait for the next call: another feed or another node may have reached the
	// store in the meantime.
	maxSleep = 300 * time.Millisecond
	// outageThreshold is how long calls must have failed before the first answer cancels those in
	// flight: a single failed call says nothing about the others.
	outageThreshold = time.Second
	// disconnectedAfter is how long a node must have received no data of the store to count as
	// disconnected. It is longer than other nodes take to notice that they are not up to date
	// (maxContactAge).
	disconnectedAfter = 2 * time.Second
	// failuresAfterRecovery is the maximum of the failure count once the store seems to be reachable
	// again: the delays grow again from the second one on.
	failuresAfterRecovery = 2
	// maxDataAge is the maximum age of the latest data of the store for the node to count as up
	// to date. It exceeds the age of what a follower receives from a node (relayWait plus the age
	// of that node's data).
	maxDataAge = 1500 * time.Millisecond
)

// Backoff spaces the calls to a failing store for all feeds of a node together: one call probes the
// store on behalf of all of them. The zero value adds no delay. It is safe for concurrent use.
type Backoff struct {
	mutex    sync.Mutex
	callers  int
	failures int
	nextAt   time.Time
	// failingSince is when the first of the failed calls ended. dataAt is when the store returned
	// the latest known data, to this node or to the node that it follows.
	failingSince, dataAt time.Time
	// recovered is closed when the store seems to be reachable again.
	recovered chan struct{}
}

// SetCallers sets the number of nodes that may call the store.
func (b *Backoff) SetCallers(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.callers = count
}

// Reserve returns how long to wait before the next call, or zero if the caller is to make that
// call. The other callers wait for its result.
func (b *Backoff) Reserve(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.failures == 0 {
		return 0
	}
	if wait := b.nextAt.Sub(now); wait > 0 {
		return wait
	}
	b.nextAt = now.Add(b.delay())
	return 0
}

// Failed records that a call has failed.
func (b *Backoff) Failed(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.failures == 0 {
		b.failingSince = now
	}
	b.failures++
	b.nextAt = now.Add(b.delay())
}

// Succeeded records that the store has answered: all feeds may call it immediately.
func (b *Backoff) Succeeded(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.failures > 0 && now.Sub(b.failingSince) >= outageThreshold {
		b.signalRecovery()
	}
	b.failures = 0
}

// StoreRestored records that the store was restored from a backup: all feeds read it again
// immediately.
func (b *Backoff) StoreRestored() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures = 0
	b.signalRecovery()
}

// RetryNow records a sign that the store is reachable again: the next call does not wait, and the
// delays after it start short. It does nothing if the latest call succeeded.
func (b *Backoff) RetryNow(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.failures > 0 {
		b.retryNow(now)
	}
}

func (b *Backoff) retryNow(now time.Time) {
	b.failures = min(b.failures, failuresAfterRecovery)
	b.nextAt = now
	b.signalRecovery()
}

// signalRecovery ends all waits for the next call and cancels the calls in flight, so that new ones
// are made.
func (b *Backoff) signalRecovery() {
	if b.recovered != nil {
		close(b.recovered)
		b.recovered = nil
	}
}

// Recovered returns a channel that is closed when the store seems to be reachable again. Calls sent
// before that may hang for longer than a new call takes.
func (b *Backoff) Recovered() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.recovered == nil {
		b.recovered = make(chan struct{})
	}
	return b.recovered
}

// DataReceived records that a feed holds the data that the store had at the time asOf. If the node
// was disconnected, its other feeds take this as a sign that the store is reachable again.
func (b *Backoff) DataReceived(asOf, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.disconnected(now) {
		b.retryNow(now)
	}
	if asOf.After(b.dataAt) {
		b.dataAt = asOf
	}
}

// UpToDate reports whether the node holds recent data of the store.
func (b *Backoff) UpToDate(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return now.Sub(b.dataAt) < maxDataAge
}

// Failing reports whether the latest call to the store has failed.
func (b *Backoff) Failing() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.failures > 0
}

// TransientFailure returns how long to wait before the next call, and true, if calls began to fail
// so recently that the store may only have been unavailable for a moment.
func (b *Backoff) TransientFailure(now time.Time) (wait time.Duration, transient bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.transientFailure(now) {
		return 0, false
	}
	return max(b.nextAt.Sub(now), 0), true
}

func (b *Backoff) transientFailure(now time.Time) bool {
	return b.failures > 0 && now.Sub(b.failingSince) < outageThreshold
}

// CatchUpWait returns how long to wait for a peer whose data is outdated: a random time if no call
// has failed, until this node's next call if calls have just begun to fail, and not at all once
// they have failed for outageThreshold. A store that some nodes cannot reach may be reachable for
// others, which have to be found.
func (b *Backoff) CatchUpWait(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	longest := min(time.Duration(b.callers)*catchUpWaitPerNode, maxCatchUpWait)
	switch {
	case b.transientFailure(now):
		return min(max(b.nextAt.Sub(now), 0), longest)
	case b.failures == 0 && longest > 0:
		return rand.N(longest)
	}
	return 0
}

// Disconnected reports whether calls to the store have failed for a while and no other node has
// provided data instead.
func (b *Backoff) Disconnected(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.disconnected(now)
}

func (b *Backoff) disconnected(now time.Time) bool {
	return b.failures > 0 && now.Sub(b.failingSince) >= disconnectedAfter && now.Sub(b.dataAt) >= disconnectedAfter
}

func (b *Backoff) delay() time.Duration {
	longest := min(max(maxBackoff, time.Duration(b.callers)*backoffPerNode), maxSharedBackoff)
	return backoffDelay(b.failures, longest)
}

// backoffDelay returns the delay after a number of consecutive failed calls (at least one). It is
// random, so that nodes whose calls failed at the same time do not retry at the same time.
func backoffDelay(failures int, longest time.Duration) time.Duration {
	delay := min(initialBackoff<<min(failures-1, 10), longest)
	return delay/2 + rand.N(delay/2)
}
