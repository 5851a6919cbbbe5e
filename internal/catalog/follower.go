package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"
)

const (
	// watchWait is how long a watch waits for changes.
	watchWait = 3 * time.Second
	// watchGrace is how much longer than watchWait a watch may take before it times out.
	watchGrace = 900 * time.Millisecond
	// freshInterval is the time after which a node whose state no other node confirms reads the store
	// without lag again. The reads in between may lag, by seconds, and cost a tenth.
	freshInterval = 1200 * time.Millisecond
	// maxConfirmedAge is the maximum age of a confirmation by another node. It exceeds the time from one
	// read without lag of that node to the end of its next one, freshInterval plus relayWait.
	maxConfirmedAge = 2 * time.Second
	// startupLag is how long after its start a node reads the store with lag only, unless another node
	// confirms its state: it learns of the other nodes in this time, and need not be current earlier.
	startupLag = 4500 * time.Millisecond
	// MaxFreshAge is the maximum time since the state of a node was current for other nodes to follow
	// it: maxConfirmedAge and the longest time between two confirmations.
	MaxFreshAge = 2800 * time.Millisecond
	// relayWait replaces watchWait if other nodes follow this one: it bounds the age of the data
	// that they receive.
	relayWait = 600 * time.Millisecond
	// relayGrace is how much longer than its wait a peer may take to answer before it times out.
	relayGrace   = 400 * time.Millisecond
	relayTimeout = relayWait + relayGrace
	// maxPeersTried is how many peers are tried in a row while the store does not answer, as long
	// as each one refuses within maxRefusalTime because its data is outdated too.
	maxPeersTried  = 2
	maxRefusalTime = 100 * time.Millisecond
	// failuresBeforeRelist is the number of failed calls after which the state is listed again, in
	// case the store answers but cannot continue from the known revision.
	failuresBeforeRelist = 12
	// relistDelay plus a random part of relistJitter is how long a node waits for a peer to provide
	// the state before it repeats a long list itself.
	relistDelay  = 2 * time.Second
	relistJitter = 4 * time.Second
	// restoredDelay and restoredJitter replace them after a restore of the store.
	restoredDelay  = 300 * time.Millisecond
	restoredJitter = 700 * time.Millisecond
	// minRelistInterval is the minimum time between two lists that do not count as failures: a
	// store that discards its history right after a list is not listed continuously.
	minRelistInterval = time.Second
)

// Observer is notified of calls to the store and of objects that cannot be decoded. Its methods do
// not block.
type Observer interface {
	// StoreCalled is called at the end of each call for the feed.
	StoreCalled(feed string, err error)
	// StateFresh is called with the time before which no change of the feed is missing, whenever it
	// changes; zero if it is unknown.
	StateFresh(feed string, freshAt time.Time)
	// ObjectUnreadable is called for each object of the feed that cannot be decoded.
	ObjectUnreadable(feed string, failure DecodeFailure)
}

// Follower keeps a sink current from a feed. It lists once, then watches. After a failed call it
// continues from the known revision, and lists again if the store no longer has the history since
// then.
type Follower[T any] struct {
	name     string
	feed     Feed[T]
	sink     Sink[T]
	observer Observer
	revision Revision
	listed   bool
	// listedAt is when the store was listed last. relistAt is the latest time for the next list.
	listedAt, relistAt time.Time
	failures           int
	// outcome is that of the latest call.
	outcome Outcome
	// outage is set from a failed call to the store until a call to the store or a peer succeeds.
	outage bool
	// startedAt is when Run was called.
	startedAt time.Time
	// freshAt is the latest time before which no change is missing from the state.
	freshAt time.Time
	// relay may be nil: then only the store is called.
	relay Relay[T]
	// handover may be nil: then only the store is listed.
	handover *Handover[T]
	// batchDelay returns the delay after a number of changes, in which further changes accumulate;
	// nil for none.
	batchDelay func(changes int) time.Duration
	// batchDelayEnd ends such a delay when it is closed.
	batchDelayEnd <-chan struct{}
	// nextReadAt is when the delay after the latest changes ends.
	nextReadAt time.Time
	// backoff spaces the calls to a failing store.
	backoff *Backoff
	// eras tracks the latest era, to reject answers of earlier ones.
	eras *EraTracker
}

// NewFollower returns a follower; the name is used in logs.
func NewFollower[T any](name string, feed Feed[T], sink Sink[T], observer Observer) *Follower[T] {
	return &Follower[T]{name: name, feed: feed, sink: sink, observer: observer, backoff: &Backoff{}, eras: &EraTracker{}}
}

// UseRelay sets the relay by which the nodes reduce the load on the store.
func (f *Follower[T]) UseRelay(relay Relay[T]) { f.relay = relay }

// UseHandover lets a follower that has just started take a long list from another node.
func (f *Follower[T]) UseHandover(handover *Handover[T]) { f.handover = handover }

// UseBackoff lets the followers of a node's feeds space their calls together.
func (f *Follower[T]) UseBackoff(backoff *Backoff) { f.backoff = backoff }

// UseEraTracker lets the followers of a node's feeds track the same era.
func (f *Follower[T]) UseEraTracker(eras *EraTracker) { f.eras = eras }

// SetBatchDelay sets the delay after a number of changes, in which further changes accumulate: one
// call for all of them costs as much as one for each. The delay ends early once ended is closed.
func (f *Follower[T]) SetBatchDelay(delay func(changes int) time.Duration, ended <-chan struct{}) {
	f.batchDelay, f.batchDelayEnd = delay, ended
}

// Run follows the feed until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	f.startedAt = time.Now()
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// step makes one call, or waits until the next one is due.
func (f *Follower[T]) step(ctx context.Context) {
	f.listed = f.listed && !f.fromEarlierEra()
	if f.revision > 0 && !f.mustReadRestored() && f.followPeer(ctx) {
		return
	}
	recovered := f.backoff.Recovered()
	if f.defersList() {
		sleepUntil(ctx, maxSleep, recovered)
		return
	}
	if wait := time.Until(f.nextReadAt); wait > 0 {
		f.sleepForBatch(ctx, min(wait, maxSleep))
		return
	}
	if wait := f.backoffWait(); wait > 0 {
		sleepUntil(ctx, min(wait, maxSleep), recovered)
		return
	}
	err := f.call(ctx)
	if ctx.Err() != nil {
		return
	}
	f.observer.StoreCalled(f.name, err)
	if errors.Is(err, errAbandoned) || errors.Is(err, ErrNewEra) {
		return
	}
	f.logResult(err)
	f.recordResult(ctx, err)
}

// fromEarlierEra reports whether the store was restored after the known state was read.
func (f *Follower[T]) fromEarlierEra() bool {
	return f.revision > 0 && f.revision.Era() < f.eras.Latest()
}

// mustReadRestored reports whether this node must read a restored store before it follows others.
func (f *Follower[T]) mustReadRestored() bool {
	return f.fromEarlierEra() && !f.backoff.Failing() && (f.relay == nil || f.relay.IsReader())
}

// defersList reports whether this node leaves a list that is due to the nodes that it follows, which
// list soon and pass on the changes: if the store discards its history, the nodes must not all list
// it at once.
func (f *Follower[T]) defersList() bool {
	restored := f.fromEarlierEra()
	if f.listed || f.handover == nil && !restored || f.mustReadRestored() || f.revision == 0 || f.relay == nil {
		f.relistAt = time.Time{}
		return false
	}
	if f.relistAt.IsZero() {
		delay, jitter := relistDelay, relistJitter
		if restored {
			delay, jitter = restoredDelay, restoredJitter
		}
		f.relistAt = time.Now().Add(delay + rand.N(jitter))
	}
	return time.Now().Before(f.relistAt) && f.relay.Source() != nil
}

// backoffWait returns how long to wait before the next call to the store.
func (f *Follower[T]) backoffWait() time.Duration {
	if f.revision == 0 {
		return 0
	}
	return f.backoff.Reserve(time.Now())
}

// recordResult updates the backoff with the result of a call to the store. A node without any state
// yet uses its own delay, because requests wait for the first list.
func (f *Follower[T]) recordResult(ctx context.Context, err error) {
	historyGone := errors.Is(err, ErrHistoryGone)
	if err == nil || historyGone && time.Since(f.listedAt) >= minRelistInterval {
		f.backoff.Succeeded(time.Now())
		return
	}
	// The store was available if it has only discarded its history.
	f.outage = f.outage || !historyGone
	if f.relay != nil {
		f.relay.StoreFailed()
	}
	if f.revision == 0 {
		sleep(ctx, backoffDelay(f.failures, maxInitialListBackoff))
		return
	}
	f.backoff.Failed(time.Now())
}

// call makes one call to the store.
func (f *Follower[T]) call(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// endOutage records that changes continue after an outage.
func (f *Follower[T]) endOutage() {
	if !f.outage {
		return
	}
	f.outage = false
	f.sink.Resumed()
	// The answer that ended the outage may have been stale, so the next watch must not be.
	f.setFreshAt(time.Time{})
}

// setFreshAt sets the time before which no change is missing from the state; zero if it is unknown.
func (f *Follower[T]) setFreshAt(freshAt time.Time) {
	f.freshAt = freshAt
	f.observer.StateFresh(f.name, freshAt)
}

// reportUnreadable reports objects that cannot be decoded to the observer.
func (f *Follower[T]) reportUnreadable(failures []DecodeFailure) {
	for _, failure := range failures {
		f.observer.ObjectUnreadable(f.name, failure)
	}
}

func (f *Follower[T]) apply(changes Changes[T]) {
	f.reportUnreadable(changes.DecodeFailures)
	for _, change := range changes.Changes {
		f.sink.Apply(change)
	}
	f.revision = max(f.revision, changes.Revision)
	f.recordProgress(time.Now().Add(-changes.Age))
}

// recordProgress reports how current the sink is, to the backoff and to a sink that implements
// RevisionSink.
func (f *Follower[T]) recordProgress(asOf time.Time) {
	f.backoff.DataReceived(asOf, time.Now())
	if sink, ok := f.sink.(RevisionSink); ok {
		sink.ReachedRevision(f.revision, asOf)
	}
}

func (f *Follower[T]) watch(ctx context.Context) error {
	request := f.nextWatch(ctx)
	start := time.Now()
	changes, err := f.callWatch(ctx, request)
	if err != nil {
		f.listed = !errors.Is(err, ErrHistoryGone) && !errors.Is(err, ErrNewEra) && (f.failures+1)%failuresBeforeRelist != 0
		return err
	}
	f.endOutage()
	f.apply(changes)
	if !request.Stale {
		f.setFreshAt(freshAsOf(request, start, changes))
	}
	if f.relay != nil {
		f.relay.Publish(request.After, changes, f.freshAt)
	}
	if len(changes.Changes) > 0 && f.batchDelay != nil {
		f.delayNextRead(f.batchDelay(len(changes.Changes)))
	}
	return nil
}

// delayNextRead delays the next read of the store. A node that has just started has to be current
// after startupLag, so a longer delay ends then. Until the read, it follows another node as soon as
// there is one.
func (f *Follower[T]) delayNextRead(delay time.Duration) {
	untilCurrent := time.Until(f.startedAt.Add(startupLag))
	f.nextReadAt = time.Now().Add(min(delay, max(untilCurrent, maxSleep)))
}

// sleepForBatch sleeps for a part of the delay between two reads, which ends early once batchDelayEnd
// is closed.
func (f *Follower[T]) sleepForBatch(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.batchDelayEnd:
		f.nextReadAt = time.Time{}
	case <-time.After(delay):
	}
}

// freshAsOf returns the time before which no change is missing from the answer to a watch that could
// not be stale: an answer without changes was given when the wait was over.
func freshAsOf[T any](request WatchRequest, start time.Time, changes Changes[T]) time.Time {
	if len(changes.Changes) > 0 {
		return start
	}
	return start.Add(request.Wait)
}

// nextWatch returns the next request. While the store may still be unreachable, it is one that does
// not wait and may be stale, which is cheaper.
func (f *Follower[T]) nextWatch(ctx context.Context) WatchRequest {
	request := WatchRequest{After: f.revision, Stale: true}
	if f.outage || f.backoff.Failing() {
		return request
	}
	confirmed := f.confirm(ctx)
	request.After = f.revision
	startup := startupLag - time.Since(f.startedAt)
	age := time.Since(f.freshAt)
	switch {
	case confirmed:
		request.Wait = relayWait
	case startup > 0:
		request.Wait = min(startup, f.watchDuration())
	case age < freshInterval:
		request.Wait = min(relayWait, freshInterval-age)
	case age > maxConfirmedAge:
		request.Stale = false
	default:
		request.Stale, request.Wait = false, f.watchDuration()
	}
	return request
}

// watchDuration returns how long a watch waits for changes.
func (f *Follower[T]) watchDuration() time.Duration {
	if f.hasFollowers() {
		return relayWait
	}
	return watchWait
}

func (f *Follower[T]) callWatch(ctx context.Context, request WatchRequest) (Changes[T], error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait+watchGrace)
	defer cancel()
	return callUntilRecovered(ctx, f.backoff.Recovered(), func(ctx context.Context) (Changes[T], error) {
		return f.feed.Watch(ctx, request)
	})
}

// logResult logs when the store becomes unavailable, when the kind of failure changes, and when the
// store is available again.
func (f *Follower[T]) logResult(err error) {
	outcome := OutcomeOf(err)
	switch {
	case err == nil && f.failures > 0:
		klog.InfoS("store regained", "feed", f.name, "failures", f.failures, "revision", f.revision.Number())
		f.failures = 0
	case err != nil:
		switch {
		case f.failures == 0:
			klog.InfoS("store lost", "feed", f.name, "cause", err.Error(), "revision", f.revision.Number())
		case outcome != f.outcome:
			klog.InfoS("store still lost", "feed", f.name, "cause", err.Error(), "failures", f.failures, "revision", f.revision.Number())
		}
		f.failures++
	}
	f.outcome = outcome
}

// sleep returns after the delay, or when ctx ends.
func sleep(ctx context.Context, delay time.Duration) { sleepUntil(ctx, delay, nil) }

// sleepUntil returns after the delay, or when ctx ends or signal is closed.
func sleepUntil(ctx context.Context, delay time.Duration, signal <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-signal:
	case <-time.After(delay):
	}
}
