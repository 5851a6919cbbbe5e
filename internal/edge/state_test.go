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

// fakeMeter is a meter that reports a fixed duration of overload.
type fakeMeter time.Duration

func (m fakeMeter) OverloadedFor() time.Duration { return time.Duration(m) }

func TestOverloadedNodeIsNotReady(t *testing.T) {
	for _, test := range []struct {
		overloadedFor time.Duration
		ready, sheds  bool
	}{
		{0, true, false},
		{time.Millisecond, false, false}, // the platform has not noticed yet
		{shedDelay + time.Millisecond, false, true},
	} {
		is := is.New(t)
		state := &state{directory: endpoints.New(endpoints.Topology{}, nil), loadMeter: fakeMeter(test.overloadedFor), synced: make(chan struct{})}
		table, err := routing.NewTable(1, routing.Limits{}, nil, nil)
		is.NoErr(err)
		state.adoptTable(table)
		state.serversKnown.Store(true)
		is.Equal(state.ready(), test.ready)
		is.Equal(state.shedsConnections(), test.sheds)
	}
}

// A node that reaches no other zone is not ready; it is ready again once it reaches one.
func TestIsolatedNodeIsNotReady(t *testing.T) {
	is := is.New(t)
	topology := endpoints.Topology{Self: endpoints.Locality{Zone: "own"}, Regions: map[string]string{"own": "r", "other": "r"}}
	state := &state{directory: endpoints.New(topology, nil), loadMeter: fakeMeter(0), synced: make(chan struct{})}
	table, err := routing.NewTable(1, routing.Limits{}, nil, nil)
	is.NoErr(err)
	state.adoptTable(table)
	state.serversKnown.Store(true)
	is.True(state.ready())
	now := time.Now().Add(-time.Minute)
	for _, id := range []string{"a", "b", "c"} {
		state.directory.Put(endpoints.Server{ID: id, Service: id, Zone: "other"}, now)
		choice, found := state.directory.Choose(endpoints.Criteria{Service: id, Estimate: endpoints.NewEstimate(time.Millisecond)}, now)
		is.Equal(found, endpoints.Chosen)
		state.directory.ZoneUnreachable(choice.Endpoint, now.Add(time.Second))
	}
	is.Equal(state.notReadyReason(), "no other zone is in reach")
	state.directory.MarkReachable("other", time.Now())
	is.True(state.ready())
}

// A server whose entry becomes undecodable is not used until the entry is valid again, but it is
// not treated as crashed.
func TestUnreadableEntryIsUnusable(t *testing.T) {
	is := is.New(t)
	state := &state{directory: endpoints.New(endpoints.Topology{}, nil), client: upstream.NewClient(upstream.Headers{}), loadMeter: fakeMeter(0), synced: make(chan struct{})}
	sink := serverSink{state}
	valid := catalog.Change[endpoints.Server]{Name: "i-1", Value: endpoints.Server{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "z"}}
	sink.Replace(nil, true) // while the list is incomplete, missing entries may merely have expired
	sink.Apply(valid)
	is.True(state.directory.HasServer("s", nil))
	sink.Apply(catalog.Change[endpoints.Server]{Name: "i-1", Removed: true, Unreadable: true})
	is.True(!state.directory.HasServer("s", nil))
	sink.Apply(valid)
	is.True(state.directory.HasServer("s", nil))
}

// When a server has restarted under the same ID, the connections to its previous process are closed
// and their requests end, as after a crash.
func TestRestartedServerGetsNoOldConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	answer := "HTTP/1.1 200 OK\r\nA: r\r\nS: seal\r\nContent-Length: 0\r\n\r\n"
	go func() { _ = http.Serve(listener, hijackHandler(answer)) }()
	t.Cleanup(func() { _ = listener.Close() })
	client := upstream.NewClient(upstream.Headers{AttemptID: "A", Deadline: "D", ExpectedInstance: "E", NotExecuted: "N", Seal: "S", Load: "L"})
	state := &state{directory: endpoints.New(endpoints.Topology{}, client), client: client, loadMeter: fakeMeter(0), synced: make(chan struct{})}
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
	is.Equal(client.IdleCount(), 1)
	server.Born = 200
	is.True(!client.HasIdle(server.Incarnation()))
	serverSink{state}.Apply(catalog.Change[endpoints.Server]{Name: "i-1", Value: server})
	is.Equal(client.IdleCount(), 0)
}

// hijackHandler writes the same bytes to the connection of each request and keeps it open.
func hijackHandler(answer string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		connection, _, err := writer.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = connection.Write([]byte(answer))
		}
	})
}
