package catalog

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pageSize is the maximum number of objects on a page.
const pageSize = 3

// memoryFeed is a feed in memory with injectable faults.
type memoryFeed struct {
	mutex    sync.Mutex
	changed  chan struct{}
	revision Revision
	items    map[string]string
	changes  []Change[string]
	// first is the revision of the first change kept.
	first Revision
	// hang makes calls block until their deadline, fail makes them fail.
	hang, fail bool
	// staleBehind is the number of revisions by which stale watches lag.
	staleBehind Revision
	// delay is the time that each page takes.
	delay time.Duration
	// lists, fresh and stale count the pages listed and the watches that must not or may be stale.
	lists int
	fresh int
	stale int
}

func newMemoryFeed() *memoryFeed {
	return &memoryFeed{changed: make(chan struct{}), items: make(map[string]string), first: 1}
}

func (m *memoryFeed) set(name, value string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.setLocked(name, value)
}

// setLocked is set for a caller that holds the mutex.
func (m *memoryFeed) setLocked(name, value string) {
	m.revision++
	m.items[name] = value
	m.changes = append(m.changes, Change[string]{Name: name, Value: value})
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryFeed) discardHistory() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.discardHistoryLocked()
}

// discardHistoryLocked is discardHistory for a caller that holds the mutex.
func (m *memoryFeed) discardHistoryLocked() {
	m.changes = nil
	m.first = m.revision + 1
}

// setAndDiscardHistory sets an object to each value in turn and discards the history, all in one
// critical section: a watch that is woken by a change finds the history gone.
func (m *memoryFeed) setAndDiscardHistory(name string, values ...string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, value := range values {
		m.setLocked(name, value)
	}
	m.discardHistoryLocked()
}

func (m *memoryFeed) configure(change func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change()
}

var errStore = errors.New("the store is unavailable")

func (m *memoryFeed) fault(ctx context.Context) error {
	m.mutex.Lock()
	hang, fail := m.hang, m.fail
	m.mutex.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if fail {
		return errStore
	}
	return nil
}

func (m *memoryFeed) List(ctx context.Context, after string) (Page[string], error) {
	if err := m.fault(ctx); err != nil {
		return Page[string]{}, err
	}
	m.mutex.Lock()
	delay := m.delay
	m.mutex.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return Page[string]{}, ctx.Err()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lists++
	page := Page[string]{Revision: m.revision}
	for _, name := range slices.Sorted(maps.Keys(m.items)) {
		switch {
		case name <= after:
		case len(page.Items) == pageSize:
			return page, nil
		default:
			page.Items = append(page.Items, m.items[name])
			page.Next = name
		}
	}
	page.Next = ""
	return page, nil
}

func (m *memoryFeed) Watch(ctx context.Context, request WatchRequest) (Changes[string], error) {
	m.count(request.Stale)
	expired := time.After(request.Wait)
	for {
		if err := m.fault(ctx); err != nil {
			return Changes[string]{}, err
		}
		changes, changed, err := m.since(request)
		if err != nil || len(changes.Changes) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-expired:
			return Changes[string]{Revision: request.After}, nil
		case <-ctx.Done():
			return Changes[string]{}, ctx.Err()
		}
	}
}

func (m *memoryFeed) count(stale bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if stale {
		m.stale++
	} else {
		m.fresh++
	}
}

func (m *memoryFeed) since(request WatchRequest) (Changes[string], chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if request.After+1 < m.first {
		return Changes[string]{}, nil, ErrHistoryGone
	}
	last := m.revision
	if request.Stale {
		last = max(last, m.staleBehind) - m.staleBehind
	}
	changes := Changes[string]{Revision: max(last, request.After)}
	for revision := request.After + 1; revision <= last; revision++ {
		changes.Changes = append(changes.Changes, m.changes[revision-m.first])
	}
	return changes, m.changed, nil
}

// memorySink holds the latest value that it received.
type memorySink struct {
	mutex    sync.Mutex
	last     string
	size     int
	replaced int
	// afterOutage is the argument of the latest Replace.
	afterOutage bool
	resumed     int
}

func (m *memorySink) Resumed() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.resumed++
}

func (m *memorySink) Replace(items []string, afterOutage bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.replaced++
	m.afterOutage = afterOutage
	m.size = len(items)
	if len(items) > 0 {
		m.last = items[0]
	}
}

func (m *memorySink) Apply(change Change[string]) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.last = change.Value
}

func (m *memorySink) get() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.last
}

// lists returns the number of lists that the sink has received, and whether the latest one came
// after an outage.
func (m *memorySink) lists() (int, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.replaced, m.afterOutage
}

// noopObserver ignores all calls.
type noopObserver struct{}

func (noopObserver) StateFresh(string, time.Time) {}

func (noopObserver) ObjectUnreadable(string, DecodeFailure) {}

func (noopObserver) StoreCalled(string, error) {}

func runFollower(t *testing.T, test func(is *is.I, feed *memoryFeed, sink *memorySink)) {
	synctest.Test(t, func(t *testing.T) {
		feed, sink := newMemoryFeed(), &memorySink{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed.set("main", "one")
		go NewFollower("test", feed, sink, noopObserver{}).Run(ctx)
		synctest.Wait()
		test(is.New(t), feed, sink)
	})
}

func TestChangesAreAppliedImmediately(t *testing.T) {
	runFollower(t, func(is *is.I, feed *memoryFeed, sink *memorySink) {
		is.Equal(sink.get(), "one")
		feed.set("main", "two")
		synctest.Wait()
		is.Equal(sink.get(), "two")
		feed.configure(func() { is.Equal(feed.lists, 1) })
	})
}

func TestRelistAfterHistoryGone(t *testing.T) {
	runFollower(t, func(is *is.I, feed *memoryFeed, sink *memorySink) {
		feed.configure(func() { feed.fail = true })
		time.Sleep(2 * watchWait)
		feed.set("main", "two")
		feed.discardHistory()
		feed.configure(func() { feed.fail = false })
		time.Sleep(2 * maxBackoff)
		is.Equal(sink.get(), "two")
	})
}

// While the store is unavailable, only stale watches check whether it has recovered. After that,
// changes continue from the known revision without a list.
func TestStaleWatchesProbeUnavailableStore(t *testing.T) {
	runFollower(t, func(is *is.I, feed *memoryFeed, sink *memorySink) {
		var fresh, stale int
		feed.configure(func() { feed.fail, fresh, stale = true, feed.fresh, feed.stale })
		time.Sleep(watchWait + 3*time.Second) // fewer than failuresBeforeRelist calls
		feed.set("main", "two")
		feed.configure(func() {
			is.True(feed.stale >= stale+4)
			is.True(feed.fresh <= fresh+1) // the call in flight when the outage began
			feed.fail = false
		})
		time.Sleep(maxBackoff)
		is.Equal(sink.get(), "two")
		feed.configure(func() { is.Equal(feed.lists, 1) })
		is.Equal(sink.resumed, 1)
	})
}

// The watch that ends an outage may be stale, so it is followed by one that may not.
func TestFreshWatchAfterOutage(t *testing.T) {
	runFollower(t, func(is *is.I, feed *memoryFeed, sink *memorySink) {
		feed.configure(func() { feed.fail = true })
		time.Sleep(watchWait + time.Second)
		feed.set("main", "two")
		feed.configure(func() { feed.fail, feed.staleBehind = false, 1 })
		time.Sleep(maxBackoff)
		is.Equal(sink.get(), "two")
	})
}

// Replace reports whether there was an outage of the store, in which objects may have expired. A
// store that has only discarded its history was available all the time.
func TestReplaceReportsOutage(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(feed *memoryFeed)
		want  bool
	}{
		{"history gone", func(*memoryFeed) {}, false},
		{"store unavailable", func(feed *memoryFeed) {
			feed.configure(func() { feed.fail = true })
			time.Sleep(2 * watchWait)
			feed.configure(func() { feed.fail = false })
		}, true},
	} {
		runFollower(t, func(is *is.I, feed *memoryFeed, sink *memorySink) {
			lists, outage := sink.lists()
			is.Equal(lists, 1)
			is.True(!outage) // the first list, without any fault
			test.fault(feed)
			feed.setAndDiscardHistory("main", "two", "three")
			time.Sleep(3 * watchWait)
			lists, outage = sink.lists()
			is.Equal(lists, 2)
			is.Equal(outage, test.want)
		})
	}
}

// A node without any state sends another list while one hangs: a store that has recovered answers
// the newer call.
func TestFirstListIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed, sink := newMemoryFeed(), &memorySink{}
		feed.set("main", "one")
		feed.configure(func() { feed.hang = true })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go NewFollower("test", feed, sink, noopObserver{}).Run(ctx)
		time.Sleep(firstListInterval / 2)
		feed.configure(func() { feed.hang = false })
		time.Sleep(firstListInterval)
		is.Equal(sink.get(), "one") // the first call hangs until pageTimeout
	})
}

// A call that hangs times out early enough for changes to be applied within five seconds after the
// end of the fault.
func TestHangingStoreIsRetriedInTime(t *testing.T) {
	const recoveryBound = 5 * time.Second
	for delay := time.Duration(0); delay < 6*time.Second; delay += 250 * time.Millisecond {
		runFollower(t, func(is *is.I, feed *memoryFeed, sink *memorySink) {
			time.Sleep(delay)
			feed.configure(func() { feed.hang = true })
			time.Sleep(4500 * time.Millisecond)
			feed.set("main", "two")
			feed.configure(func() { feed.hang = false })
			time.Sleep(recoveryBound)
			is.Equal(sink.get(), "two")
		})
	}
}

// staleReadBound is below the time within which a configuration must be in force, and a draining
// server must get no more requests (3 s).
const staleReadBound = 2500 * time.Millisecond

// Guards against nodes that go on with an old configuration, or send to draining servers: a store
// whose answers to reads that may be stale lag for good keeps a change from them until their next
// current read.
func TestStaleReadsDoNotDelayChanges(t *testing.T) {
	for _, test := range []struct {
		name  string
		relay *memoryRelay
	}{
		{"alone", nil},
		{"followed by others", &memoryRelay{followed: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.relay == nil {
				runFollower(t, checkStaleReads)
			} else {
				runWithRelay(t, test.relay, checkStaleReads)
			}
		})
	}
}

func checkStaleReads(is *is.I, feed *memoryFeed, sink *memorySink) {
	feed.configure(func() { feed.staleBehind = 1 })
	time.Sleep(time.Minute)
	feed.configure(func() {
		// A call without lag costs ten times as much as one with lag.
		is.True(feed.fresh <= int(time.Minute/(freshInterval+relayWait)))
	})
	for _, value := range []string{"two", "three", "four"} {
		feed.set("main", value)
		time.Sleep(staleReadBound)
		is.Equal(sink.get(), value)
		time.Sleep(1234 * time.Millisecond)
	}
}

// A store that answers slowly is read page by page, however long all pages together take.
func TestSlowStoreIsReadPageByPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed, sink := newMemoryFeed(), &memorySink{}
		for number := range 10 * pageSize {
			feed.set(fmt.Sprintf("name-%02d", number), "value")
		}
		feed.configure(func() { feed.delay = pageTimeout * 9 / 10 })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go NewFollower("test", feed, sink, noopObserver{}).Run(ctx)
		time.Sleep(10 * pageTimeout)
		sink.mutex.Lock()
		defer sink.mutex.Unlock()
		is.Equal(sink.size, 10*pageSize)
	})
}

// A store whose calls hung is read again soon after it answers.
func TestRecoveryAfterHang(t *testing.T) {
	for hang := 4 * time.Second; hang < 12*time.Second; hang += 300 * time.Millisecond {
		runFollower(t, func(is *is.I, feed *memoryFeed, sink *memorySink) {
			feed.configure(func() { feed.hang = true })
			feed.set("main", "two")
			time.Sleep(hang)
			feed.configure(func() { feed.hang = false })
			time.Sleep(pageTimeout + maxBackoff + time.Millisecond)
			is.Equal(sink.get(), "two")
		})
	}
}

func TestOutdatedListIsRejected(t *testing.T) {
	is := is.New(t)
	feed, sink := newMemoryFeed(), &memorySink{}
	follower := NewFollower("test", feed, sink, noopObserver{})
	feed.set("main", "new")
	is.NoErr(follower.list(t.Context()))
	feed.configure(func() { feed.revision, feed.items["main"] = 0, "old" })
	is.True(follower.list(t.Context()) != nil)
	is.Equal(sink.get(), "new")
}

// staleListFeed counts the lists that may be stale.
type staleListFeed struct {
	*memoryFeed
	staleLists int
}

// ListStale implements StaleLister.
func (c *staleListFeed) ListStale(ctx context.Context, after string) (Page[string], error) {
	c.configure(func() { c.staleLists++ })
	return c.List(ctx, after)
}

func (c *staleListFeed) staleListCount() (count int) {
	c.configure(func() { count = c.staleLists })
	return count
}

func TestOnlyFirstListMayBeStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := &staleListFeed{memoryFeed: newMemoryFeed()}
		feed.set("a", "1")
		follower := NewFollower("test", feed, &memorySink{}, noopObserver{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go follower.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(feed.staleListCount(), 1)
		feed.configure(func() { feed.fail = true })
		time.Sleep(5 * time.Second)
		feed.set("b", "2")
		feed.discardHistory()
		feed.configure(func() { feed.fail = false })
		time.Sleep(5 * time.Second)
		is.Equal(feed.staleListCount(), 1)
		feed.configure(func() { is.True(feed.lists >= 2) }) // the history was discarded
	})
}
