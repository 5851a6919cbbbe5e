package catalog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestBackoffAllowsOneCallAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var backoff Backoff
	is.Equal(backoff.Reserve(now), time.Duration(0))
	is.Equal(backoff.Reserve(now), time.Duration(0)) // no delay without a failure
	backoff.Failed(now)
	is.True(backoff.Reserve(now) > 0)
	now = now.Add(initialBackoff)
	is.Equal(backoff.Reserve(now), time.Duration(0))
	is.True(backoff.Reserve(now) > 0) // another feed waits for the result of this call
	backoff.Succeeded(now)
	is.Equal(backoff.Reserve(now), time.Duration(0))
}

func TestBackoffGrowsWithNodeCount(t *testing.T) {
	for _, test := range []struct {
		nodes   int
		longest time.Duration
	}{{0, maxBackoff}, {9, maxBackoff}, {64, 1600 * time.Millisecond}, {1000, maxSharedBackoff}} {
		is := is.New(t)
		var backoff Backoff
		backoff.SetCallers(test.nodes)
		now := time.Unix(100, 0)
		for range 20 {
			backoff.Failed(now)
		}
		wait := backoff.Reserve(now)
		is.True(wait >= test.longest/2)
		is.True(wait <= test.longest)
	}
}

// With many nodes, each node rarely calls an unavailable store, once for both feeds, and still
// receives the changes soon after it recovers.
func TestFeedsShareBackoffDuringOutage(t *testing.T) {
	const outage = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var backoff Backoff
		backoff.SetCallers(100)
		var feeds []*memoryFeed
		var sinks []*memorySink
		for range 2 {
			feed, sink := newMemoryFeed(), &memorySink{}
			feed.set("main", "one")
			follower := NewFollower("test", feed, sink, noopObserver{})
			follower.UseBackoff(&backoff)
			go follower.Run(ctx)
			feeds, sinks = append(feeds, feed), append(sinks, sink)
		}
		synctest.Wait()
		for _, feed := range feeds {
			feed.configure(func() { feed.fail, feed.stale, feed.fresh = true, 0, 0 })
			feed.set("other", "one") // ends the watch in flight
		}
		time.Sleep(outage)
		calls := 0
		for _, feed := range feeds {
			feed.configure(func() { calls += feed.lists - 1 + feed.stale + feed.fresh })
		}
		is.True(calls <= int(outage/(maxSharedBackoff/2))+8) // the first delays are shorter
		for _, feed := range feeds {
			feed.set("main", "two")
			feed.configure(func() { feed.fail = false })
		}
		time.Sleep(maxSharedBackoff + maxSleep)
		for _, sink := range sinks {
			is.Equal(sink.get(), "two")
		}
	})
}

// Guards against nodes that cannot reach the store and wait for each other, so that none of them
// finds a node that still has current data.
func TestNoCatchUpWaitDuringOutage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var backoff Backoff
	backoff.SetCallers(300)
	is.True(backoff.CatchUpWait(now) <= maxCatchUpWait)
	backoff.Failed(now)
	is.True(backoff.CatchUpWait(now) > 0)
	for after := outageThreshold; after < 10*time.Second; after += 700 * time.Millisecond {
		backoff.Failed(now.Add(after))
		is.Equal(backoff.CatchUpWait(now.Add(after)), time.Duration(0))
	}
}
