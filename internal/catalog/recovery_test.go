package catalog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// manyNodes is enough nodes for the maximum delays.
const manyNodes = 300

// startFeeds runs two followers that share a backoff.
func startFeeds(ctx context.Context, backoff *Backoff) (feeds []*memoryFeed, sinks []*memorySink) {
	for range 2 {
		feed, sink := newMemoryFeed(), &memorySink{}
		feed.set("main", "one")
		follower := NewFollower("test", feed, sink, noopObserver{})
		follower.UseBackoff(backoff)
		go follower.Run(ctx)
		feeds, sinks = append(feeds, feed), append(sinks, sink)
	}
	return feeds, sinks
}

// A store that has discarded its history has answered: no delay precedes the list.
func TestNoDelayBeforeRelist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var backoff Backoff
		backoff.SetCallers(manyNodes)
		feeds, sinks := startFeeds(ctx, &backoff)
		time.Sleep(10 * time.Second)
		for _, feed := range feeds {
			feed.configure(func() { feed.fail = true })
			feed.set("other", "one")
		}
		time.Sleep(10 * time.Second)
		for _, feed := range feeds {
			feed.set("main", "two")
			feed.discardHistory()
			feed.configure(func() { feed.fail = false })
		}
		backoff.RetryNow(time.Now())
		time.Sleep(abandonGrace)
		for _, sink := range sinks {
			is.Equal(sink.get(), "two")
		}
		is.True(!backoff.Failing())
	})
}

// A store that discards its history right after each list is not listed without a delay.
func TestRelistsAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed := newMemoryFeed()
		feed.set("main", "one")
		feed.discardHistory()
		feed.configure(func() { feed.first = 1000 })
		go NewFollower("test", feed, &memorySink{}, noopObserver{}).Run(ctx)
		time.Sleep(10 * time.Second)
		feed.configure(func() { is.True(feed.lists <= 10*int(time.Second/(initialBackoff/2))) })
	})
}

// The first feed that gets an answer ends the delays of the other feeds and cancels their calls that
// hang.
func TestFirstAnswerEndsWaitOfAllFeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var backoff Backoff
		backoff.SetCallers(manyNodes)
		feeds, sinks := startFeeds(ctx, &backoff)
		time.Sleep(time.Second)
		for _, feed := range feeds {
			feed.set("other", "one")
			feed.configure(func() { feed.hang = true })
		}
		time.Sleep(20 * time.Second)
		for _, feed := range feeds {
			feed.set("main", "two")
			feed.configure(func() { feed.hang = false })
		}
		for sinks[0].get() != "two" && sinks[1].get() != "two" {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(abandonGrace)
		is.Equal(sinks[0].get(), "two")
		is.Equal(sinks[1].get(), "two")
	})
}

func TestOnlyHangingCallIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recovered := make(chan struct{})
		close(recovered)
		callTaking := func(delay time.Duration) func(context.Context) (int, error) {
			return func(ctx context.Context) (int, error) {
				sleep(ctx, delay)
				return 7, ctx.Err()
			}
		}
		got, err := callUntilRecovered(t.Context(), recovered, callTaking(abandonGrace/2))
		is.NoErr(err)
		is.Equal(got, 7)
		_, err = callUntilRecovered(t.Context(), recovered, callTaking(time.Hour))
		is.True(errors.Is(err, errAbandoned))
		got, err = callUntilRecovered(t.Context(), make(chan struct{}), callTaking(time.Hour))
		is.NoErr(err)
		is.Equal(got, 7)
	})
}

func TestNodeIsDisconnectedWithoutData(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var backoff Backoff
	is.True(!backoff.Disconnected(now))
	is.True(!backoff.UpToDate(now))
	backoff.DataReceived(now, now)
	is.True(backoff.UpToDate(now.Add(maxDataAge / 2)))
	is.True(!backoff.UpToDate(now.Add(maxDataAge)))
	is.True(!backoff.Disconnected(now.Add(time.Hour))) // no call has failed
	backoff.Failed(now)
	is.True(!backoff.Disconnected(now.Add(disconnectedAfter / 2)))
	is.True(backoff.Disconnected(now.Add(disconnectedAfter)))
	backoff.DataReceived(now.Add(disconnectedAfter/2), now.Add(disconnectedAfter/2)) // from another node
	is.True(!backoff.Disconnected(now.Add(disconnectedAfter)))
	backoff.Succeeded(now.Add(disconnectedAfter))
	is.True(!backoff.Disconnected(now.Add(time.Hour)))
}

// After a sign that the store has recovered one call is made immediately. If it fails, the delays
// start short.
func TestRecoverySignAllowsOneCall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var backoff Backoff
	backoff.SetCallers(manyNodes)
	backoff.RetryNow(now)
	is.True(!backoff.Failing()) // no effect: no call has failed
	for range 20 {
		backoff.Failed(now)
	}
	is.True(backoff.Reserve(now) >= maxSharedBackoff/2)
	recovered := backoff.Recovered()
	backoff.RetryNow(now)
	<-recovered
	is.Equal(backoff.Reserve(now), time.Duration(0))
	wait := backoff.Reserve(now)
	is.True(wait > 0)
	is.True(wait <= 2*initialBackoff)
}

// Data that one feed receives while the node is disconnected is a sign for its other feeds that the
// store has recovered.
func TestDataWhileDisconnectedIsRecoverySign(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var backoff Backoff
	backoff.SetCallers(manyNodes)
	for range 20 {
		backoff.Failed(now)
	}
	recovered := backoff.Recovered()
	backoff.DataReceived(now, now.Add(disconnectedAfter/2))
	is.True(backoff.Reserve(now.Add(disconnectedAfter/2)) > 0) // not disconnected yet
	now = now.Add(2 * disconnectedAfter)
	backoff.DataReceived(now, now)
	<-recovered
	is.Equal(backoff.Reserve(now), time.Duration(0))
}

// fullStateRelay is a peer that returns the full state at a revision.
type fullStateRelay struct {
	memoryRelay
	revision Revision
}

func (h *fullStateRelay) Source() Watcher[string] { return h }

func (h *fullStateRelay) Watch(ctx context.Context, request WatchRequest) (Changes[string], error) {
	if request.After != h.revision {
		return Changes[string]{Changes: []Change[string]{{Value: "handed over"}, {Value: "b"}}, Revision: h.revision, Full: true}, nil
	}
	sleep(ctx, request.Wait)
	return Changes[string]{Revision: request.After}, ctx.Err()
}

// runFor runs the follower for a time, calls check, and returns when the follower has ended.
func runFor(t *testing.T, follower *Follower[string], duration time.Duration, check func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		follower.Run(ctx)
		close(ended)
	}()
	time.Sleep(duration)
	check()
	cancel()
	<-ended
}

func TestFullStateFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed, sink := newMemoryFeed(), &memorySink{}
		feed.set("main", "one")
		follower := NewFollower("test", feed, sink, noopObserver{})
		follower.UseRelay(&fullStateRelay{revision: 50})
		runFor(t, follower, time.Minute, func() {
			feed.configure(func() { is.Equal(feed.lists+feed.fresh+feed.stale, 1) })
		})
		is.Equal(sink.get(), "handed over")
		is.Equal(sink.size, 2)
		is.Equal(sink.replaced, 2) // the first list, and the full state
		is.Equal(follower.revision, Revision(50))
	})
}

// A peer whose state is older is not followed.
func TestOutdatedPeerIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed, sink := newMemoryFeed(), &memorySink{}
		for range 60 {
			feed.set("main", "one")
		}
		follower := NewFollower("test", feed, sink, noopObserver{})
		follower.UseRelay(&fullStateRelay{revision: 50})
		runFor(t, follower, 10*time.Second, func() {})
		is.Equal(sink.get(), "one")
		is.Equal(sink.replaced, 1)
		is.Equal(follower.revision, Revision(60))
	})
}
