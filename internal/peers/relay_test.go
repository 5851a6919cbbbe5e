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

// put returns the change for a written server.
func put(id string) catalog.Change[endpoints.Server] {
	return catalog.Change[endpoints.Server]{Name: id, Value: endpoints.Server{ID: id, Service: "s", Slots: 3, Draining: true}}
}

func changesAt(revision catalog.Revision, changes ...catalog.Change[endpoints.Server]) catalog.Changes[endpoints.Server] {
	return catalog.Changes[endpoints.Server]{Changes: changes, Revision: revision}
}

func TestPublisherAnswersImmediatelyOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var publisher Publisher[endpoints.Server]
		publisher.Publish(5, changesAt(7), time.Now())
		go func() {
			time.Sleep(200 * time.Millisecond)
			publisher.Publish(7, changesAt(9, put("a")), time.Time{})
		}()
		begun := time.Now()
		got, err := publisher.answer(t.Context(), watchQuery{after: 7, wait: time.Second, maxAge: time.Second})
		is.NoErr(err)
		is.Equal(time.Since(begun), 200*time.Millisecond)
		is.Equal(got.Revision, catalog.Revision(9))
		is.Equal(got.Age, time.Duration(0))
		is.Equal(got.FreshAge, 200*time.Millisecond)
		is.Equal(len(got.Changes), 1)
		is.True(publisher.HasFollowers())
		time.Sleep(followedFor)
		is.True(!publisher.HasFollowers())
	})
}

// A node that the store does not answer returns an error as soon as its data is too old, not
// at the end of the wait.
func TestPublisherRejectsStaleData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var publisher Publisher[endpoints.Server]
		publisher.Publish(5, changesAt(7), time.Now())
		begun := time.Now()
		_, err := publisher.answer(t.Context(), watchQuery{after: 7, wait: time.Hour, maxAge: time.Second})
		is.True(errors.Is(err, errStale))
		is.True(time.Since(begun) < time.Second+10*time.Millisecond)
		_, err = publisher.answer(t.Context(), watchQuery{after: 7, wait: time.Hour, maxAge: time.Second})
		is.True(errors.Is(err, errStale))
	})
}

func TestPublisherWithoutDataIsNotFollowed(t *testing.T) {
	var publisher Publisher[endpoints.Server]
	_, err := publisher.answer(t.Context(), watchQuery{wait: time.Second, maxAge: time.Hour})
	is.New(t).True(errors.Is(err, errStale))
}

// linked returns the relay of a reader, and the source and selector by which another node follows it.
func linked[T any](t *testing.T, codec Codec[T]) (reader *Relay[T], source catalog.Watcher[T], selector *Selector) {
	t.Helper()
	reader = NewRelay("kind", codec, NewSelector(members.Member{Name: "reader"}, inRegion))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := NewServer(Requester{}, func() (Snapshot, bool) { return Snapshot{}, false }, reader)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { listener.Close() })
	selector = NewSelector(members.Member{Name: "own"}, inRegion)
	selector.SetMembers([]members.Member{{Name: "reader", Zone: "near", Address: listener.Addr().String()}})
	selector.StoreFailed(time.Now())
	return reader, NewRelay("kind", codec, selector).Source(), selector
}

func TestFollowersReceiveServers(t *testing.T) {
	is := is.New(t)
	reader, source, selector := linked(t, PlainCodec[endpoints.Server]{})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reader.Publish(5, changesAt(7, put("a"), catalog.Change[endpoints.Server]{Name: "b", Removed: true}), time.Now())
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
	is.True(!found) // avoided for some time
}

// All followers request the same body: it is encoded once, and large bodies are
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
	reader.Publish(5, changesAt(7, many...), time.Now())
	request := catalog.WatchRequest{After: 5, Wait: time.Second}
	got, err := source.Watch(ctx, request)
	is.NoErr(err)
	is.Equal(got.Changes, many)
	is.True(len(reader.latest.body) < 2000) // at least 100 bytes each when uncompressed
	kept := &reader.latest.body[0]
	_, err = source.Watch(ctx, request)
	is.NoErr(err)
	is.Equal(&reader.latest.body[0], kept)
	reader.Publish(7, changesAt(9, put("next")), time.Now())
	got, err = source.Watch(ctx, request)
	is.NoErr(err)
	is.Equal(len(got.Changes), 101)
}

func TestFollowersReceiveConfigurations(t *testing.T) {
	is := is.New(t)
	reader, source, _ := linked(t, TableCodec{})
	route := routing.Route{Name: "r", Host: "a.example", PathPrefix: "/a/", Shards: []string{"s", "u"}, Timeout: time.Second, Repeatable: true}
	table, err := routing.NewTable(3, routing.Limits{MaximumBodyBytes: 5}, []routing.Service{{Name: "s", MaximumConnections: 4}}, []routing.Route{route})
	is.NoErr(err)
	reader.Publish(5, catalog.Changes[*routing.Table]{Revision: 7, Changes: []catalog.Change[*routing.Table]{{Name: "main", Value: table}}}, time.Now())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	got, err := source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Second})
	is.NoErr(err)
	is.Equal(got.Changes[0].Value.Document(), table.Document())
}

func TestUnresponsiveNodeIsNotRecordedAsFollowed(t *testing.T) {
	is := is.New(t)
	reader, source, selector := linked(t, PlainCodec[endpoints.Server]{})
	relay := source.(interface {
		owner() *Relay[endpoints.Server]
	}).owner()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Millisecond})
	is.True(err != nil) // the reader has read nothing yet
	is.Equal(relay.followed, "")
	reader.Publish(5, changesAt(7), time.Now())
	_, err = source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Millisecond})
	is.NoErr(err)
	is.Equal(relay.followed, "reader")
	selector.SetMembers(nil)
	is.True(relay.Source() == nil)
	is.Equal(relay.followed, "")
}

func (s source[T]) owner() *Relay[T] { return s.relay }

func TestInvalidQueriesAreRejected(t *testing.T) {
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

// A follower whose revision is older than the changes kept by the reader gets the full state
// if it requests it.
func TestFullStateIsServed(t *testing.T) {
	is := is.New(t)
	reader, source, selector := linked(t, PlainCodec[endpoints.Server]{})
	state := []endpoints.Server{{ID: "a", Service: "s", Slots: 3}, {ID: "b", Service: "s"}}
	reader.ServeState(func() []endpoints.Server { return state })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reader.Publish(5, changesAt(7, put("a")), time.Now())
	for _, after := range []catalog.Revision{2, 3} {
		got, err := source.Watch(ctx, catalog.WatchRequest{After: after, Wait: time.Second})
		is.NoErr(err)
		is.True(got.Full)
		is.Equal(got.Revision, catalog.Revision(7))
		is.Equal(len(got.Changes), 2)
		is.Equal(got.Changes[0].Value, state[0])
		is.Equal(got.Changes[1].Value, state[1])
	}
	got, err := source.Watch(ctx, catalog.WatchRequest{After: 5, Wait: time.Second})
	is.NoErr(err)
	is.True(!got.Full) // the changes suffice
	is.Equal(got.Changes, []catalog.Change[endpoints.Server]{put("a")})
	_, err = reader.publisher.answer(ctx, watchQuery{after: 2, wait: time.Second, maxAge: time.Hour})
	is.True(errors.Is(err, catalog.ErrHistoryGone)) // the full state was not requested
	state = nil
	reader.Publish(8, changesAt(9), time.Now()) // drops the earlier changes
	got, err = source.Watch(ctx, catalog.WatchRequest{After: 2, Wait: time.Second})
	is.NoErr(err)
	is.True(got.Full)
	is.Equal(len(got.Changes), 0)
	_, found := selector.Resume("reader", time.Now())
	is.True(found) // still followed while the store fails
	selector.Failed("reader", time.Now())
	_, found = selector.Resume("reader", time.Now())
	is.True(!found)
}
