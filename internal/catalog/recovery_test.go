package catalog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// manyNodes makes the pauses of a node as long as they get.
const manyNodes = 300

// feedsOfANode runs two followers that share their pauses.
func feedsOfANode(ctx context.Context, backoff *Backoff) (feeds []*memoryFeed, sinks []*memorySink) {
	for range 2 {
		feed, sink := newMemoryFeed(), &memorySink{}
		feed.set("main", "one")
		follower := NewFollower("test", feed, sink, uncounted{})
		follower.ShareBackoff(backoff)
		go follower.Run(ctx)
		feeds, sinks = append(feeds, feed), append(sinks, sink)
	}
	return feeds, sinks
}

// A store that has forgotten its history has answered: nothing waits for the list.
func TestForgottenHistoryIsListedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var backoff Backoff
		backoff.SetCallers(manyNodes)
		feeds, sinks := feedsOfANode(ctx, &backoff)
		time.Sleep(10 * time.Second)
		for _, feed := range feeds {
			feed.configure(func() { feed.fail = true })
			feed.set("other", "one")
		}
		time.Sleep(10 * time.Second)
		for _, feed := range feeds {
			feed.set("main", "two")
			feed.forget()
			feed.configure(func() { feed.fail = false })
		}
		backoff.Wake(time.Now())
		time.Sleep(answerGrace)
		for _, sink := range sinks {
			is.Equal(sink.get(), "two")
		}
		is.True(!backoff.Failing())
	})
}

// A store that forgets at once what it has just listed is not listed without a pause.
func TestStoreThatAlwaysForgetsIsNotListedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed := newMemoryFeed()
		feed.set("main", "one")
		feed.forget()
		feed.configure(func() { feed.first = 1000 })
		go NewFollower("test", feed, &memorySink{}, uncounted{}).Run(ctx)
		time.Sleep(10 * time.Second)
		feed.configure(func() { is.True(feed.lists <= 10*int(time.Second/(firstPause/2))) })
	})
}

// The first feed that is answered lets the others ask at once, also those whose call
// was sent before and hangs.
func TestFirstAnswerEndsTheWaitOfAllFeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var backoff Backoff
		backoff.SetCallers(manyNodes)
		feeds, sinks := feedsOfANode(ctx, &backoff)
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
		time.Sleep(answerGrace)
		is.Equal(sinks[0].get(), "two")
		is.Equal(sinks[1].get(), "two")
	})
}

func TestCallIsGivenUpOnlyWhenItHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		woken := make(chan struct{})
		close(woken)
		taking := func(pause time.Duration) func(context.Context) (int, error) {
			return func(ctx context.Context) (int, error) {
				sleep(ctx, pause)
				return 7, ctx.Err()
			}
		}
		got, err := abandonable(t.Context(), woken, taking(answerGrace/2))
		is.NoErr(err)
		is.Equal(got, 7)
		_, err = abandonable(t.Context(), woken, taking(time.Hour))
		is.True(errors.Is(err, errAbandoned))
		got, err = abandonable(t.Context(), make(chan struct{}), taking(time.Hour))
		is.NoErr(err)
		is.Equal(got, 7)
	})
}

func TestNodeIsLostWhenNobodyTellsAnything(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var backoff Backoff
	is.True(!backoff.Lost(now))
	is.True(!backoff.InTouch(now))
	backoff.Heard(now, now)
	is.True(backoff.InTouch(now.Add(contactAge / 2)))
	is.True(!backoff.InTouch(now.Add(contactAge)))
	is.True(!backoff.Lost(now.Add(time.Hour))) // no call has failed
	backoff.Failed(now)
	is.True(!backoff.Lost(now.Add(lostAfter / 2)))
	is.True(backoff.Lost(now.Add(lostAfter)))
	backoff.Heard(now.Add(lostAfter/2), now.Add(lostAfter/2)) // by another node
	is.True(!backoff.Lost(now.Add(lostAfter)))
	backoff.Succeeded(now.Add(lostAfter))
	is.True(!backoff.Lost(now.Add(time.Hour)))
}

// After a sign that the store is back one call is made at once, and if it fails the
// pauses begin short.
func TestSignLetsOneCallBeMadeAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var backoff Backoff
	backoff.SetCallers(manyNodes)
	backoff.Wake(now)
	is.True(!backoff.Failing()) // nothing fails: no sign is needed
	for range 20 {
		backoff.Failed(now)
	}
	is.True(backoff.Reserve(now) >= longestSharedPause/2)
	woken := backoff.Woken()
	backoff.Wake(now)
	<-woken
	is.Equal(backoff.Reserve(now), time.Duration(0))
	wait := backoff.Reserve(now)
	is.True(wait > 0)
	is.True(wait <= 2*firstPause)
}

// What one feed hears after a silence is such a sign for the others of the node.
func TestHearingAnythingAfterSilenceIsASign(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var backoff Backoff
	backoff.SetCallers(manyNodes)
	for range 20 {
		backoff.Failed(now)
	}
	woken := backoff.Woken()
	backoff.Heard(now, now.Add(lostAfter/2))
	is.True(backoff.Reserve(now.Add(lostAfter/2)) > 0) // not lost yet
	now = now.Add(2 * lostAfter)
	backoff.Heard(now, now)
	<-woken
	is.Equal(backoff.Reserve(now), time.Duration(0))
}

// handingOver is another node that tells the whole state at a revision.
type handingOver struct {
	memoryRelay
	revision Revision
}

func (h *handingOver) Source() Watcher[string] { return h }

func (h *handingOver) Watch(ctx context.Context, request WatchRequest) (Changes[string], error) {
	if request.After != h.revision {
		return Changes[string]{Changes: []Change[string]{{Value: "handed over"}, {Value: "b"}}, Revision: h.revision, Whole: true}, nil
	}
	sleep(ctx, request.Wait)
	return Changes[string]{Revision: request.After}, ctx.Err()
}

// ranFor runs the follower for a time, looks at what has become of its world, and
// returns when it has ended.
func ranFor(t *testing.T, follower *Follower[string], length time.Duration, look func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		follower.Run(ctx)
		close(ended)
	}()
	time.Sleep(length)
	look()
	cancel()
	<-ended
}

func TestWholeStateIsTakenFromAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed, sink := newMemoryFeed(), &memorySink{}
		feed.set("main", "one")
		follower := NewFollower("test", feed, sink, uncounted{})
		follower.Share(&handingOver{revision: 50})
		ranFor(t, follower, time.Minute, func() {
			feed.configure(func() { is.Equal(feed.lists+feed.fresh+feed.stale, 1) })
		})
		is.Equal(sink.get(), "handed over")
		is.Equal(sink.size, 2)
		is.Equal(sink.replaced, 2) // the first list, and this one
		is.Equal(follower.revision, Revision(50))
	})
}

// A node that itself is behind hands nothing over.
func TestOlderStateIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed, sink := newMemoryFeed(), &memorySink{}
		for range 60 {
			feed.set("main", "one")
		}
		follower := NewFollower("test", feed, sink, uncounted{})
		follower.Share(&handingOver{revision: 50})
		ranFor(t, follower, 10*time.Second, func() {})
		is.Equal(sink.get(), "one")
		is.Equal(sink.replaced, 1)
		is.Equal(follower.revision, Revision(60))
	})
}
