package catalog

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// longFeed returns a feed whose list has the given number of pages.
func longFeed(pages int) *memoryFeed {
	feed := newMemoryFeed()
	for index := range pages * pageSize {
		feed.set(fmt.Sprintf("object-%04d", index), fmt.Sprint("value-", index))
	}
	return feed
}

// Nodes that start together each read a bounded part of a long list: what they read from the store
// in total grows with their number, not with the product of nodes and objects.
func TestLongListIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const nodes, pages = 60, 50
		feed := longFeed(pages)
		full := Page[string]{Revision: feed.revision} // no other goroutine runs yet
		for index := range pages * pageSize {
			full.Items = append(full.Items, fmt.Sprint("value-", index))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sinks, handovers := make([]memorySink, nodes), make([]Handover[string], nodes)
		for index := range nodes {
			follower := NewFollower("test", feed, &sinks[index], noopObserver{})
			follower.UseHandover(&handovers[index])
			go follower.Run(ctx)
		}
		time.Sleep(time.Second)
		is.Equal(feed.listed(), nodes*maxOwnPages)
		for index := range handovers {
			handovers[index].Put(full, time.Now())
		}
		time.Sleep(time.Second)
		is.Equal(feed.listed(), nodes*maxOwnPages)
		for index := range sinks {
			is.Equal(sinks[index].count(), pages*pageSize)
		}
		feed.set("object-new", "newest")
		time.Sleep(time.Second)
		is.Equal(sinks[0].latest(), "newest") // changes continue from the revision of the handover
	})
}

func TestLongListIsReadWithoutHandover(t *testing.T) {
	const pages = 12
	for _, test := range []struct {
		name   string
		change func(*Handover[string])
		within time.Duration
	}{
		{"no peer answers", func(handover *Handover[string]) { handover.Abandon() }, time.Second},
		{"outdated handover", func(handover *Handover[string]) {
			handover.Put(Page[string]{Revision: 1, Items: []string{"old"}}, time.Now().Add(-maxHandoverAge-time.Second))
		}, time.Second},
		{"no handover in time", func(*Handover[string]) {}, handoverWait + handoverJitter + time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed := longFeed(pages)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var sink memorySink
				var handover Handover[string]
				follower := NewFollower("test", feed, &sink, noopObserver{})
				follower.UseHandover(&handover)
				test.change(&handover)
				go follower.Run(ctx)
				time.Sleep(test.within)
				is.Equal(sink.count(), pages*pageSize)
				is.Equal(feed.listed(), pages)
			})
		})
	}
}

// A node that has listed before reads the store again: the state of another node may be older.
func TestNoHandoverAfterFirstList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := longFeed(2 * maxOwnPages)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var sink memorySink
		var handover Handover[string]
		handover.Abandon()
		follower := NewFollower("test", feed, &sink, noopObserver{})
		follower.UseHandover(&handover)
		go follower.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(feed.listed(), 2*maxOwnPages)
		handover.Put(Page[string]{Revision: 1, Items: []string{"old"}}, time.Now())
		feed.discardHistory()
		feed.setAndDiscardHistory("one", "more")
		time.Sleep(5 * time.Second)
		is.Equal(sink.count(), 2*maxOwnPages*pageSize+1)
	})
}

// listed returns the number of pages that have been listed.
func (m *memoryFeed) listed() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lists
}

// count returns the size of the latest list.
func (m *memorySink) count() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.size
}

// latest returns the first object of the latest list or, if it came later, the latest change.
func (m *memorySink) latest() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.last
}
