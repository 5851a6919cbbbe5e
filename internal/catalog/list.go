package catalog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"
)

const (
	// pageTimeout bounds the read of one page.
	pageTimeout = time.Second
	// firstListInterval is the time after which a node without any state sends another list while
	// earlier ones hang. maxFirstListCalls bounds the lists in flight.
	firstListInterval = 300 * time.Millisecond
	maxFirstListCalls = 4
	// maxOwnPages is how many pages of a long list a node that has just started reads before it
	// waits for another node to hand over all of it: what all nodes together read from the store
	// must not grow with the product of nodes and objects.
	maxOwnPages = 4
	// handoverWait plus a random part of handoverJitter is how long such a node waits: if no node
	// can hand over the list, only few nodes read it at first. maxHandoverAge is the maximum age of
	// the state handed over: the store must still have the history since then.
	handoverWait   = 3 * time.Second
	handoverJitter = 9 * time.Second
	maxHandoverAge = 10 * time.Second
)

// list reads the full state and passes it to the sink.
func (f *Follower[T]) list(ctx context.Context) error {
	start := time.Now()
	read, asOf, err := f.readPages(ctx)
	if err != nil {
		return err
	}
	if f.listsWithLag() {
		asOf = time.Time{}
	}
	if read.Revision < f.revision || read.Revision.Era() < f.eras.Latest() {
		return fmt.Errorf("%w: revision %d of era %d, known %d of era %d", ErrOutdated,
			read.Revision.Number(), read.Revision.Era(), f.revision.Number(), f.revision.Era())
	}
	f.reportUnreadable(read.DecodeFailures)
	publish := f.diffPublisher(read, asOf)
	f.setState(read.Items, read.Revision)
	publish()
	f.listed, f.listedAt = true, start
	f.setFreshAt(asOf)
	f.recordProgress(start)
	return nil
}

// setState passes a full state to the sink.
func (f *Follower[T]) setState(items []T, revision Revision) {
	sink, ok := f.sink.(RestoredSink[T])
	restored := f.revision > 0 && f.revision.EarlierEraThan(revision)
	if restored {
		klog.InfoS("state of a restored store", "feed", f.name, "objects", len(items), "era", revision.Era(), "revision", revision.Number(),
			"era_before", f.revision.Era(), "revision_before", f.revision.Number())
		f.eras.recordRestoredFeed(f.name, f.revision, revision, time.Now())
	}
	if restored && ok {
		sink.ReplaceRestored(items)
	} else {
		f.sink.Replace(items, f.outage || restored)
	}
	f.outage, f.revision = false, revision
}

// diffPublisher returns a function that publishes what the list changes; it is to be called once the
// sink holds the list. After an outage it publishes nothing: missing objects may only have expired,
// which nodes that take the full state detect themselves.
func (f *Follower[T]) diffPublisher(read Page[T], asOf time.Time) (publish func()) {
	if f.relay != nil && f.revision > 0 && f.revision.EarlierEraThan(read.Revision) {
		// No changes lead from one era to another: followers take the full state.
		return func() { f.relay.Publish(read.Revision, Changes[T]{Revision: read.Revision}, asOf) }
	}
	differ, ok := f.sink.(Differ[T])
	if !ok || f.relay == nil || f.revision == 0 || f.outage {
		return func() {}
	}
	changes := Changes[T]{Changes: differ.Diff(read.Items), Revision: read.Revision}
	after := f.revision
	return func() { f.relay.Publish(after, changes, asOf) }
}

// readPages returns all objects with the revision of the first page. Changes made while the other
// pages are read are returned again by the watch from that revision. The state is not older than
// asOf.
func (f *Follower[T]) readPages(ctx context.Context) (all Page[T], asOf time.Time, err error) {
	asOf = time.Now()
	all, err = f.firstPage(ctx)
	for pages := 1; err == nil && all.Next != ""; pages++ {
		if pages == maxOwnPages {
			if handedOver, asOf, found := f.awaitHandover(ctx); found {
				return handedOver, asOf, nil
			}
		}
		var page Page[T]
		page, err = f.readPage(ctx, all.Next)
		if err == nil && page.Revision.Era() != all.Revision.Era() {
			err = ErrNewEra
		}
		all.Items = append(all.Items, page.Items...)
		all.DecodeFailures = append(all.DecodeFailures, page.DecodeFailures...)
		all.Next = page.Next
	}
	return all, asOf, err
}

// awaitHandover waits for the state from another node. A node that already has a state reads the
// store instead.
func (f *Follower[T]) awaitHandover(ctx context.Context) (page Page[T], asOf time.Time, found bool) {
	if f.handover == nil || f.revision > 0 {
		return page, asOf, false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverWait+rand.N(handoverJitter))
	defer cancel()
	page, asOf, found = f.handover.Take(ctx)
	if !found || time.Since(asOf) > maxHandoverAge || page.Revision.Era() < f.eras.Latest() {
		return page, asOf, false
	}
	klog.InfoS("state handed over by another node", "feed", f.name, "objects", len(page.Items), "revision", page.Revision.Number())
	return page, asOf, true
}

// firstPage reads the first page. A node that has just started hedges the call, which may hang:
// requests wait for its first list.
func (f *Follower[T]) firstPage(ctx context.Context) (Page[T], error) {
	read := func(ctx context.Context) (Page[T], error) { return f.readPage(ctx, "") }
	if f.revision > 0 {
		return read(ctx)
	}
	return hedged(ctx, firstListInterval, maxFirstListCalls, read)
}

func (f *Follower[T]) readPage(ctx context.Context, after string) (Page[T], error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return callUntilRecovered(ctx, f.backoff.Recovered(), func(ctx context.Context) (Page[T], error) {
		return f.lister()(ctx, after)
	})
}

// lister returns the call that reads a page.
func (f *Follower[T]) lister() func(context.Context, string) (Page[T], error) {
	if f.listsWithLag() {
		return f.feed.(StaleLister[T]).ListStale
	}
	return f.feed.List
}

// listsWithLag reports whether the next list may lag behind the store. The known state must not go
// back in time, so only a node without any state uses such a list.
func (f *Follower[T]) listsWithLag() bool {
	_, ok := f.feed.(StaleLister[T])
	return ok && f.revision == 0
}
