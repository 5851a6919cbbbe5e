package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/routing"
)

// put is the change that a server was written.
func put(id string) catalog.Change[endpoints.Server] {
	return catalog.Change[endpoints.Server]{Name: id, Value: endpoints.Server{ID: id, Service: "s", Slots: 3, Draining: true}}
}

func told(revision catalog.Revision, changes ...catalog.Change[endpoints.Server]) catalog.Changes[endpoints.Server] {
	return catalog.Changes[endpoints.Server]{Changes: changes, Revision: revision}
}

func TestPublisherAnswersAtOnceWhenSomethingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var publisher Publisher[endpoints.Server]
		publisher.Publish(5, told(7), true)
		go func() {
			time.Sleep(200 * time.Millisecond)
			publisher.Publish(7, told(9, put("a")), false)
		}()
		begun := time.Now()
		got, err := publisher.answer(t.Context(), question{after: 7, wait: time.Second, oldest: time.Second})
		is.NoErr(err)
		is.Equal(time.Since(begun), 200*time.Millisecond)
		is.Equal(got.Revision, catalog.Revision(9))
		is.Equal(got.Age, time.Duration(0))
		is.Equal(got.FreshAge, 200*time.Millisecond)
		is.Equal(len(got.Changes), 1)
		is.True(publisher.Followed())
		time.Sleep(followedFor)
		is.True(!publisher.Followed())
	})
}

// A node that has lost the store tells so as soon as what it knows is too old, not
// at the end of the wait.
func TestPublisherThatHearsNothingSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var publisher Publisher[endpoints.Server]
		publisher.Publish(5, told(7), true)
		begun := time.Now()
		_, err := publisher.answer(t.Context(), question{after: 7, wait: time.Hour, oldest: time.Second})
		is.True(errors.Is(err, errNotReading))
		is.True(time.Since(begun) < time.Second+10*time.Millisecond)
		_, err = publisher.answer(t.Context(), question{after: 7, wait: time.Hour, oldest: time.Second})
		is.True(errors.Is(err, errNotReading))
	})
}

func TestPublisherThatNeverReadIsNotFollowed(t *testing.T) {
	var publisher Publisher[endpoints.Server]
	_, err := publisher.answer(t.Context(), question{wait: time.Second, oldest: time.Hour})
	is.New(t).True(errors.Is(err, errNotReading))
}

// linked returns a link that reads and the source by which another one follows it.
func linked[T any](t *testing.T, codec Codec[T]) (reader *Link[T], source catalog.Watcher[T], selector *Selector) {
	t.Helper()
	reader = NewLink("kind", codec, NewSelector(members.Member{Name: "reader"}, inRegion))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := NewServer(Asker{}, func() (Snapshot, bool) { return Snapshot{}, false }, reader)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { listener.Close() })
	selector = NewSelector(members.Member{Name: "own"}, inRegion)
	selector.SetMembers([]members.Member{{Name: "reader", Zone: "near", Address: listener.Addr().String()}})
	selector.StoreFailed(time.Now())
	return reader, NewLink("kind", codec, selector).Source(), selector
}

func TestServersArriveAtFollowers(t *testing.T) {
	is := is.New(t)
	reader, source, selector := linked(t, PlainCodec[endpoints.Server]{})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reader.Publish(5, told(7, put("a"), catalog.Change[endpoints.Server]{Name: "b", Removed: true}), true)
	got, err := source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Second})
	is.NoErr(err)
	is.Equal(got.Revision, catalog.Revision(7))
	is.Equal(got.Changes, []catalog.Change[endpoints.Server]{put("a"), {Name: "b", Removed: true}})
	got, err = source.Watch(ctx, catalog.WatchRequest{After: 7, Wait: 20 * time.Millisecond})
	is.NoErr(err)
	is.Equal(len(got.Changes), 0)
	_, err = source.Watch(ctx, catalog.WatchRequest{After: 2, Wait: time.Second})
	is.True(errors.Is(err, catalog.ErrHistoryGone))
	_, found := selector.Pick(time.Now())
	is.True(!found) // it is passed over for a while
}

// All followers ask for the same: it is encoded once, and large answers are
// compressed.
func TestAnswersAreEncodedOnce(t *testing.T) {
	is := is.New(t)
	reader, source, _ := linked(t, PlainCodec[endpoints.Server]{})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var many []catalog.Change[endpoints.Server]
	for number := range 100 {
		many = append(many, put(fmt.Sprint("server-", number)))
	}
	reader.Publish(5, told(7, many...), true)
	request := catalog.WatchRequest{After: 5, Wait: time.Second}
	got, err := source.Watch(ctx, request)
	is.NoErr(err)
	is.Equal(got.Changes, many)
	is.True(len(reader.latest.body) < 2000) // 100 bytes and more each
	kept := &reader.latest.body[0]
	_, err = source.Watch(ctx, request)
	is.NoErr(err)
	is.Equal(&reader.latest.body[0], kept)
	reader.Publish(7, told(9, put("next")), true)
	got, err = source.Watch(ctx, request)
	is.NoErr(err)
	is.Equal(len(got.Changes), 101)
}

func TestConfigurationsArriveAtFollowers(t *testing.T) {
	is := is.New(t)
	reader, source, _ := linked(t, TableCodec{})
	route := routing.Route{Name: "r", Host: "a.example", PathPrefix: "/a/", Shards: []string{"s", "u"}, Timeout: time.Second, Repeatable: true}
	table, err := routing.NewTable(3, routing.Limits{MaximumBodyBytes: 5}, []routing.Service{{Name: "s", MaximumConnections: 4}}, []routing.Route{route})
	is.NoErr(err)
	reader.Publish(5, catalog.Changes[*routing.Table]{Revision: 7, Changes: []catalog.Change[*routing.Table]{{Name: "main", Value: table}}}, true)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	got, err := source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Second})
	is.NoErr(err)
	is.Equal(got.Changes[0].Value.Document(), table.Document())
}

func TestNodeThatDoesNotAnswerIsNotNoted(t *testing.T) {
	is := is.New(t)
	reader, source, selector := linked(t, PlainCodec[endpoints.Server]{})
	link := source.(interface {
		owner() *Link[endpoints.Server]
	}).owner()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Millisecond})
	is.True(err != nil) // it has read nothing yet
	is.Equal(link.followed, "")
	reader.Publish(5, told(7), true)
	_, err = source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Millisecond})
	is.NoErr(err)
	is.Equal(link.followed, "reader")
	selector.SetMembers(nil)
	is.True(link.Source() == nil)
	is.Equal(link.followed, "")
}

func (s source[T]) owner() *Link[T] { return s.link }

func TestWrongQuestionsAreRejected(t *testing.T) {
	for _, query := range []string{"", "after=x&wait=1s&age=1s", "after=1&wait=1&age=1s", "after=1&wait=1s", "after=-1&wait=1s&age=1s"} {
		is := is.New(t)
		_, source, _ := linked(t, PlainCodec[endpoints.Server]{})
		address := source.(interface{ address() string }).address()
		status, _, err := newClient(address, 1).Get(nil, "http://"+address+changesPath+"kind?"+query)
		is.NoErr(err)
		is.Equal(status, 400)
	}
}

func (s source[T]) address() string { return s.member.Address }

// A node that follows from a revision that the reader no longer remembers gets the whole
// state, if it asks for it.
func TestWholeStateIsHandedOver(t *testing.T) {
	is := is.New(t)
	reader, source, selector := linked(t, PlainCodec[endpoints.Server]{})
	state := []endpoints.Server{{ID: "a", Service: "s", Slots: 3}, {ID: "b", Service: "s"}}
	reader.HandOver(func() []endpoints.Server { return state })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reader.Publish(5, told(7, put("a")), true)
	for _, after := range []catalog.Revision{2, 3} {
		got, err := source.Watch(ctx, catalog.WatchRequest{After: after, Wait: time.Second})
		is.NoErr(err)
		is.True(got.Whole)
		is.Equal(got.Revision, catalog.Revision(7))
		is.Equal(len(got.Changes), 2)
		is.Equal(got.Changes[0].Value, state[0])
		is.Equal(got.Changes[1].Value, state[1])
	}
	got, err := source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Second})
	is.NoErr(err)
	is.True(!got.Whole) // the changes are enough
	is.Equal(got.Changes, []catalog.Change[endpoints.Server]{put("a")})
	_, err = reader.publisher.answer(ctx, question{after: 2, wait: time.Second, oldest: time.Hour})
	is.True(errors.Is(err, catalog.ErrHistoryGone)) // one that did not ask for the whole
	state = nil
	reader.Publish(8, told(9), true) // forgets what was before
	got, err = source.Watch(ctx, catalog.WatchRequest{After: 2, Wait: time.Second})
	is.NoErr(err)
	is.True(got.Whole)
	is.Equal(len(got.Changes), 0)
	_, found := selector.Again("reader", time.Now())
	is.True(found) // it goes on being followed while the store fails
	selector.Failed("reader", time.Now())
	_, found = selector.Again("reader", time.Now())
	is.True(!found)
}
