package catalog

import (
	"context"
	"errors"
	"time"
)

const (
	// pageTimeout bounds the read of one page.
	pageTimeout = time.Second
	// firstListInterval is the pause after which a node that knows nothing yet reads
	// again beside a call that hangs, firstListCalls the most reads at a time.
	firstListInterval = 300 * time.Millisecond
	firstListCalls    = 4
)

// list reads the whole state and hands it to the sink.
func (f *Follower[T]) list(ctx context.Context) error {
	begun := time.Now()
	read, err := f.readPages(ctx)
	if err != nil {
		return err
	}
	if read.Revision < f.revision {
		return errors.New("the list is older than what is known")
	}
	f.tell(read.Flaws)
	f.sink.Replace(read.Items, f.outage)
	f.outage = false
	f.revision, f.listed, f.listedAt = read.Revision, true, begun
	f.freshAt = begun
	f.noteReached(begun)
	return nil
}

// readPages returns all objects with the revision of the first page: what changes
// while the others are read is seen again by the watch from there.
func (f *Follower[T]) readPages(ctx context.Context) (Page[T], error) {
	whole, err := f.firstPage(ctx)
	for err == nil && whole.Next != "" {
		var page Page[T]
		page, err = f.readPage(ctx, whole.Next)
		whole.Items = append(whole.Items, page.Items...)
		whole.Flaws = append(whole.Flaws, page.Flaws...)
		whole.Next = page.Next
	}
	return whole, err
}

// firstPage reads the first page. Callers wait for what a node reads that has just
// started, so that it does not wait for one call that hangs.
func (f *Follower[T]) firstPage(ctx context.Context) (Page[T], error) {
	read := func(ctx context.Context) (Page[T], error) { return f.readPage(ctx, "") }
	if f.revision > 0 {
		return read(ctx)
	}
	return overlapped(ctx, firstListInterval, firstListCalls, read)
}

func (f *Follower[T]) readPage(ctx context.Context, after string) (Page[T], error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return abandonable(ctx, f.backoff.Woken(), func(ctx context.Context) (Page[T], error) {
		return f.lister()(ctx, after)
	})
}

// lister returns the call that reads a page. What a node knows must not go back, so that
// only a node that knows nothing takes a list that may lag.
func (f *Follower[T]) lister() func(context.Context, string) (Page[T], error) {
	if feed, cheap := f.feed.(StaleLister[T]); cheap && f.revision == 0 {
		return feed.ListStale
	}
	return f.feed.List
}
