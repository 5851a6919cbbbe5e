package catalog

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// followPeer takes changes from another node. It returns false if the store must be called now:
// there is no peer to follow, no peer answers, or this node has to check whether the store is
// available.
func (f *Follower[T]) followPeer(ctx context.Context) bool {
	if f.relay == nil {
		return false
	}
	for range maxPeersTried {
		source := f.relay.Source()
		if source == nil {
			return false
		}
		start := time.Now()
		wait, probe := f.peerWait()
		if f.watchPeer(ctx, source, wait) {
			return !probe
		}
		if !f.backoff.Failing() || time.Since(start) > maxRefusalTime {
			return false
		}
	}
	return false
}

// peerWait returns how long a peer may wait for changes, and whether the store is to be called as
// well: if the store is briefly unavailable, the nodes that read it must not all wait for each
// other.
func (f *Follower[T]) peerWait() (wait time.Duration, probe bool) {
	if wait, transient := f.backoff.TransientFailure(time.Now()); transient && f.relay.IsReader() {
		return min(wait, relayWait), true
	}
	return relayWait, false
}

// watchPeer takes changes from one peer. It returns false if the peer does not answer or if its
// answer does not continue the known state.
func (f *Follower[T]) watchPeer(ctx context.Context, source Watcher[T], wait time.Duration) bool {
	request := WatchRequest{After: f.revision, Wait: wait, CatchUpWait: f.catchUpWait()}
	ctx, cancel := context.WithTimeout(ctx, max(relayWait, request.CatchUpWait)+relayGrace)
	defer cancel()
	start := time.Now()
	changes, err := callUntilRecovered(ctx, f.backoff.Recovered(), func(ctx context.Context) (Changes[T], error) {
		return source.Watch(ctx, request)
	})
	if err != nil {
		return false
	}
	f.eras.Observe(changes.Revision.Era())
	if !f.accepts(changes) {
		return false
	}
	if changes.Full {
		f.replace(changes)
	} else {
		f.endOutage()
		f.apply(changes)
	}
	f.listed = true
	f.setFreshAt(start.Add(-changes.FreshAge))
	return true
}

// confirm asks the node that reads the store without lag whether this node's state is current, and
// applies the changes that it lacks. It returns false if this node has to read the store without lag
// itself: there is no such node, it does not answer, or its own state may have been outdated for too long.
func (f *Follower[T]) confirm(ctx context.Context) bool {
	if f.relay == nil {
		return false
	}
	source := f.relay.Confirmer()
	if source == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, relayGrace)
	defer cancel()
	after, start := f.revision, time.Now()
	changes, err := source.Watch(ctx, WatchRequest{After: after})
	if err != nil {
		return false
	}
	f.eras.Observe(changes.Revision.Era())
	if changes.Full || changes.FreshAge > maxConfirmedAge || !f.accepts(changes) {
		return false
	}
	f.apply(changes)
	f.setFreshAt(start.Add(-changes.FreshAge))
	f.relay.Publish(after, changes, f.freshAt)
	return true
}

// catchUpWait returns how long a peer with outdated data may wait to catch up.
func (f *Follower[T]) catchUpWait() time.Duration {
	if f.fromEarlierEra() {
		return restoredDelay
	}
	return f.backoff.CatchUpWait(time.Now())
}

// accepts reports whether changes from a peer continue the known state.
func (f *Follower[T]) accepts(changes Changes[T]) bool {
	switch {
	case changes.Revision.Era() < f.eras.Latest(), changes.FreshAge > MaxFreshAge:
		return false
	case changes.Full:
		return changes.Revision >= f.revision
	}
	return changes.Revision.Era() == f.revision.Era()
}

// replace takes the full state from a peer.
func (f *Follower[T]) replace(full Changes[T]) {
	items := make([]T, len(full.Changes))
	for index, change := range full.Changes {
		items[index] = change.Value
	}
	f.reportUnreadable(full.DecodeFailures)
	f.setState(items, full.Revision)
	f.recordProgress(time.Now().Add(-full.Age))
	klog.InfoS("state taken over from another node", "feed", f.name, "objects", len(items), "revision", f.revision.Number())
}

// hasFollowers reports whether other nodes follow this one.
func (f *Follower[T]) hasFollowers() bool {
	return f.relay != nil && f.relay.HasFollowers()
}
