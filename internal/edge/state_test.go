package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/upstream"
)

// busyFor is a load that has lasted for a time.
type busyFor time.Duration

func (b busyFor) BusyFor() time.Duration { return time.Duration(b) }

func TestOverloadedNodeIsNotReady(t *testing.T) {
	for _, test := range []struct {
		busy         time.Duration
		ready, sheds bool
	}{
		{0, true, false},
		{time.Millisecond, false, false}, // the platform has not noticed yet
		{noticeOverload + time.Millisecond, false, true},
	} {
		is := is.New(t)
		state := &state{directory: endpoints.New(endpoints.Topology{}, nil), load: busyFor(test.busy), knows: make(chan struct{})}
		table, err := routing.NewTable(1, routing.Limits{}, nil, nil)
		is.NoErr(err)
		state.adopt(table)
		state.serversKnown.Store(true)
		is.Equal(state.ready(), test.ready)
		is.Equal(state.shedsCallers(), test.sheds)
	}
}

// A node that hears of no other zone sends its callers elsewhere, and takes them again.
func TestNodeThatIsCutOffIsNotReady(t *testing.T) {
	is := is.New(t)
	topology := endpoints.Topology{Own: endpoints.Locality{Zone: "own"}, Regions: map[string]string{"own": "r", "other": "r"}}
	state := &state{directory: endpoints.New(topology, nil), load: busyFor(0), knows: make(chan struct{})}
	table, err := routing.NewTable(1, routing.Limits{}, nil, nil)
	is.NoErr(err)
	state.adopt(table)
	state.serversKnown.Store(true)
	is.True(state.ready())
	now := time.Now().Add(-time.Minute)
	for _, id := range []string{"a", "b", "c"} {
		state.directory.Put(endpoints.Server{ID: id, Service: id, Zone: "other"}, now)
		choice, found := state.directory.Choose(endpoints.Criteria{Service: id, Estimate: endpoints.NewEstimate(time.Millisecond)}, now)
		is.Equal(found, endpoints.Chosen)
		state.directory.ZoneUnreachable(choice.Endpoint, now.Add(time.Second))
	}
	is.Equal(state.reason(), "no other zone is in reach")
	state.directory.MarkReachable("other", time.Now())
	is.True(state.ready())
}

// An entry that can't be understood any more is of no use, and back once it is mended; that its
// server has ended is not concluded from it.
func TestSpoiltEntryNamesNoServer(t *testing.T) {
	is := is.New(t)
	state := &state{directory: endpoints.New(endpoints.Topology{}, nil), client: upstream.NewClient(upstream.Headers{}), load: busyFor(0), knows: make(chan struct{})}
	sink := serverSink{state}
	sound := catalog.Change[endpoints.Server]{Name: "i-1", Value: endpoints.Server{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "z"}}
	sink.Replace(nil, true) // entries that go while the list settles may only have run out
	sink.Apply(sound)
	is.True(state.directory.HasServer("s", nil))
	sink.Apply(catalog.Change[endpoints.Server]{Name: "i-1", Removed: true, Unreadable: true})
	is.True(!state.directory.HasServer("s", nil))
	sink.Apply(sound)
	is.True(state.directory.HasServer("s", nil))
}

// What is asked of a server that has started again under its id ends as after a crash: the
// connections to the earlier process are closed.
func TestServerBornAnewGetsNoOldConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	answer := "HTTP/1.1 200 OK\r\nA: r\r\nS: seal\r\nContent-Length: 0\r\n\r\n"
	go func() { _ = http.Serve(listener, hijacked(answer)) }()
	t.Cleanup(func() { _ = listener.Close() })
	client := upstream.NewClient(upstream.Headers{AttemptID: "A", Deadline: "D", ExpectedInstance: "E", NotExecuted: "N", Seal: "S", Load: "L"})
	state := &state{directory: endpoints.New(endpoints.Topology{}, client), client: client, load: busyFor(0), knows: make(chan struct{})}
	server := endpoints.Server{ID: "i-1", Born: 100, Service: "s", Address: listener.Addr().String(), Zone: "z"}
	serverSink{state}.Apply(catalog.Change[endpoints.Server]{Name: "i-1", Value: server})
	reply := client.Do(t.Context(), upstream.Call{
		Request:     &upstream.Request{ID: "r", Head: []byte("GET / HTTP/1.1\r\nHost: h\r\nA: r\r\n")},
		ServerID:    server.ID,
		Incarnation: server.Incarnation(),
		Address:     server.Address,
		Deadline:    time.Now().Add(5 * time.Second),
		IdleLimit:   1,
	})
	is.Equal(reply.Kind, upstream.Answered)
	is.Equal(client.Idle(), 1)
	server.Born = 200
	is.True(!client.HasIdle(server.Incarnation()))
	serverSink{state}.Apply(catalog.Change[endpoints.Server]{Name: "i-1", Value: server})
	is.Equal(client.Idle(), 0)
}

// hijacked answers each request on a connection with the same bytes, and keeps it open.
func hijacked(answer string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		connection, _, err := writer.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = connection.Write([]byte(answer))
		}
	})
}
