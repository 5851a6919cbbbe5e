package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/dispatch"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/membudget"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/upstream"
)

// testServer is a server whose requests are answered with the same body.
type testServer struct {
	*Server
	address string
	body    []byte
	// work is how long a request takes.
	work time.Duration

	mutex      sync.Mutex
	dispatched int
	reached    []Limit
}

func (s *testServer) Do(context.Context, dispatch.Request) *exchange.Outcome {
	time.Sleep(s.work)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dispatched++
	return &exchange.Outcome{Status: exchange.StatusAnswered, Replies: []upstream.Reply{{Status: http.StatusOK, Body: s.body}}}
}

func (s *testServer) LimitReached(limit Limit, _ Action, _ net.Addr) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reached = append(s.reached, limit)
}

func (s *testServer) limitsReached() []Limit {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Limit(nil), s.reached...)
}

func startTestServer(t *testing.T, limits ClientLimits, body []byte) *testServer {
	t.Helper()
	is := is.New(t)
	table, err := routing.NewTable(1, routing.Limits{MaximumHeaderBytes: 1 << 14, MaximumBodyBytes: 1 << 18, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}, nil,
		[]routing.Route{{Name: "r", Host: "a.example", PathPrefix: "/", Timeout: time.Second, Target: time.Second, Split: []routing.WeightedService{{Service: "s", Weight: 1}}}})
	is.NoErr(err)
	synced := make(chan struct{})
	close(synced)
	s := &testServer{body: body}
	limits.Observer = s
	names := Names{}
	names.AttemptID, names.Deadline, names.ExpectedInstance = "X-Id", "X-Deadline", "X-Expected"
	s.Server = New(Options{Names: names, Table: func() *routing.Table { return table }, Synced: synced, Dispatcher: s, Overloaded: func() bool { return false }, Clients: limits})
	listening, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listening.Close() })
	s.address = listening.Addr().String()
	go func() { _ = s.Serve(listening) }()
	return s
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

func requestBytes(fields, body string) string {
	return "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Id: id\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// exchangeOn sends a request and reads its answer.
func exchangeOn(t *testing.T, conn net.Conn, request string) *http.Response {
	t.Helper()
	_, err := io.WriteString(conn, request)
	is.New(t).NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.New(t).NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.New(t).NoErr(err)
	return response
}

func awaitTrue(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true")
		}
	}
}

// Guards against a request that runs although it was refused for lack of memory, and against a
// refusal that does not say when to come back.
func TestRequestIsRefusedForLackOfMemory(t *testing.T) {
	is := is.New(t)
	budget := membudget.New(membudget.Megabyte)
	s := startTestServer(t, ClientLimits{Memory: budget, WriteTimeout: time.Second}, []byte("body"))
	large := requestBytes("", strings.Repeat("b", 1<<18))
	is.Equal(exchangeOn(t, s.dial(t), large).StatusCode, http.StatusOK)
	awaitTrue(t, func() bool { return budget.Held() == 0 })

	other, err := budget.Open()
	is.NoErr(err)
	is.NoErr(other.TryUse(700 << 10))
	response := exchangeOn(t, s.dial(t), requestBytes("", strings.Repeat("b", 1<<18)))
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(s.dispatched, 1)
	is.Equal(s.limitsReached(), []Limit{LimitMemory})
	is.Equal(exchangeOn(t, s.dial(t), requestBytes("", "small")).StatusCode, http.StatusOK)
	other.Close()
	awaitTrue(t, func() bool { return budget.Held() == 0 })
}

// Guards against bodies that are not accounted for because their head arrived with the request before
// them.
func TestBodyOfPipelinedRequestIsAccountedFor(t *testing.T) {
	is := is.New(t)
	budget := membudget.New(4 * membudget.Megabyte)
	s := startTestServer(t, ClientLimits{Memory: budget, WriteTimeout: time.Second}, []byte("body"))
	conn := s.dial(t)
	large := requestBytes("", strings.Repeat("b", 1<<18))
	_, err := io.WriteString(conn, requestBytes("", "")+large[:len(large)-(1<<17)])
	is.NoErr(err)
	awaitTrue(t, func() bool { return budget.Held() >= bodyCopies<<18 })
	_, err = io.WriteString(conn, large[len(large)-(1<<17):])
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	awaitTrue(t, func() bool { return budget.Held() == 0 })
}

// The memory of each request of a connection is returned, also of pipelined ones.
func TestMemoryIsReturned(t *testing.T) {
	is := is.New(t)
	budget := membudget.New(membudget.Megabyte)
	s := startTestServer(t, ClientLimits{Memory: budget, WriteTimeout: time.Second}, []byte(strings.Repeat("a", 10<<10)))
	conn := s.dial(t)
	const count = 100 // more than the budget has allowances
	go func() { _, _ = io.WriteString(conn, strings.Repeat(requestBytes("", "body"), count)) }()
	reader := bufio.NewReader(conn)
	for range count {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	awaitTrue(t, func() bool { return budget.Held() == 0 && s.Writing() == 0 })
	is.Equal(exchangeOn(t, conn, requestBytes("", "")).StatusCode, http.StatusOK)
}

// Guards against an answer that is held for as long as its client likes.
func TestAnswerMustBeReadInTime(t *testing.T) {
	is := is.New(t)
	budget := membudget.New(64 * membudget.Megabyte)
	s := startTestServer(t, ClientLimits{Memory: budget, WriteTimeout: 100 * time.Millisecond}, make([]byte, 32<<20))
	conn := s.dial(t)
	_, err := io.WriteString(conn, requestBytes("X-Deadline: 100\r\n", ""))
	is.NoErr(err)
	awaitTrue(t, func() bool { return len(s.limitsReached()) == 1 })
	is.Equal(s.limitsReached(), []Limit{LimitWriteTimeout})
	awaitTrue(t, func() bool { return budget.Held() == 0 && s.Writing() == 0 })
}

// Guards against an answer that is dropped although its client reads at once: it is ready only after
// the time that the client has for reading, as on a route whose timeout is longer than that.
func TestLateAnswerCanBeRead(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, ClientLimits{WriteTimeout: 100 * time.Millisecond}, []byte("body"))
	s.work = 300 * time.Millisecond
	is.Equal(exchangeOn(t, s.dial(t), requestBytes("X-Deadline: 100\r\n", "")).StatusCode, http.StatusOK)
	is.Equal(len(s.limitsReached()), 0)
}

// Guards against clients that keep others out by connections on which they say nothing: the one that
// has been idle for the longest time gives way, first one that never carried a request.
func TestIdleConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, ClientLimits{Connections: 3, WriteTimeout: time.Second}, []byte("body"))
	used, silent, later := s.dial(t), s.dial(t), net.Conn(nil)
	is.Equal(exchangeOn(t, used, requestBytes("", "")).StatusCode, http.StatusOK)
	awaitTrue(t, func() bool { return s.Connections() == 2 })
	later = s.dial(t)
	awaitTrue(t, func() bool { return s.Connections() == 3 })
	is.Equal(exchangeOn(t, s.dial(t), requestBytes("", "")).StatusCode, http.StatusOK)
	_, err := silent.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(exchangeOn(t, used, requestBytes("", "")).StatusCode, http.StatusOK)
	is.Equal(exchangeOn(t, later, requestBytes("", "")).StatusCode, http.StatusOK)
	is.Equal(s.limitsReached(), []Limit{LimitConnections})
}

// An idle connection is closed without an answer, whether it has carried a request or not.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t, ClientLimits{WriteTimeout: time.Second}, []byte("body"))
	used, silent := s.dial(t), s.dial(t)
	is.Equal(exchangeOn(t, used, requestBytes("", "")).StatusCode, http.StatusOK)
	awaitTrue(t, func() bool { return s.Connections() == 2 })
	awaitTrue(t, func() bool { s.CloseIdle(); return s.Connections() == 0 })
	for _, conn := range []net.Conn{used, silent} {
		count, err := conn.Read(make([]byte, 1))
		is.Equal(count, 0)
		is.Equal(err, io.EOF)
	}
}

// Guards against a request whose connection is closed as an idle one because it has only just been
// read.
func TestRequestThatHasJustArrivedIsAnswered(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer func() { _ = here.Close() }()
	conn := &connection{Conn: there, limits: func() routing.Limits { return defaultLimits }, clientLimits: &ClientLimits{}, open: newConnections()}
	is.True(conn.open.add(conn, 0))
	go func() { _, _ = io.WriteString(here, "G") }()
	count, err := conn.receive(make([]byte, 1)) // not marked as being read yet
	is.NoErr(err)
	is.Equal(count, 1)
	conn.open.closeIdle()
	conn.markReading()
	go func() { _, _ = io.Copy(io.Discard, here) }()
	_, err = conn.Write([]byte("answer"))
	is.NoErr(err)
}

// The end of a head is found in whatever parts it arrives.
func TestHeadArrivesInParts(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for first := range len(head) {
		for second := first; second < len(head); second++ {
			var r reading
			for _, part := range []string{head[:first], head[first:second], head[second : len(head)-1]} {
				r.received([]byte(part))
			}
			if r.headEnded {
				t.Fatalf("the head has ended without its last byte, in parts of %d and %d", first, second)
			}
			r.received([]byte(head[len(head)-1:]))
			if !r.headEnded {
				t.Fatalf("the head has not ended, in parts of %d and %d", first, second)
			}
		}
	}
}
