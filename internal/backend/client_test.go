package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// answer writes raw bytes in reply to one request and reports whether the connection stays open.
type answer func(conn net.Conn) bool

// serve runs a server that replies to the requests of all connections with the given
// answers in order, repeating the last one. It counts the requests that it read.
func serve(t *testing.T, answers ...answer) (string, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var received atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConnection(conn, answers, &received)
		}
	}()
	return listener.Addr().String(), &received
}

func serveConnection(conn net.Conn, answers []answer, received *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		turn := min(int(received.Add(1)), len(answers)) - 1
		if !answers[turn](conn) {
			return
		}
	}
}

// raw returns an answer with a status line, headers, and a body with Content-Length.
func raw(status int, headers, body string) answer {
	return func(conn net.Conn) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		return true
	}
}

const goodHeaders = "Driftstage-Request-Id: r1\r\nDriftstage-Snapshot: 41\r\nDriftstage-Shards: 0,3\r\nDriftstage-Snapshots-Held: 40,41\r\n"

const goodBody = `{"requestId":"r1","snapshot":41,"parts":[{"shard":3,"body":[3]},{"shard":0,"body":{"a":1}}]}`

func request() *Request {
	return &Request{
		RequestID:  "r1",
		Shards:     []v1.ShardID{0, 3},
		Partitions: 8,
		Snapshot:   41,
		Body:       []byte("query"),
		Deadline:   time.Now().Add(5 * time.Second),
	}
}

func TestReplies(t *testing.T) {
	cut := func(conn net.Conn) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 1000\r\n\r\n%s", goodHeaders, goodBody)
		return false
	}
	unterminated := func(conn net.Conn) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s\r\n%s", goodHeaders, goodBody)
		return false
	}
	const notRun = "Driftstage-Not-Run: true\r\n"
	tests := map[string]struct {
		answer  answer
		verdict verdict.Verdict
		code    verdict.Code
	}{
		"whole":              {raw(200, goodHeaders, goodBody), verdict.Ran, ""},
		"shed":               {raw(503, notRun+"Retry-After: 2\r\n", ""), verdict.NotRun, verdict.CodeShed},
		"draining":           {raw(503, notRun+"Driftstage-Draining: true\r\n", ""), verdict.NotRun, verdict.CodeDraining},
		"version not held":   {raw(412, notRun+"Driftstage-Snapshots-Held: 42\r\n", ""), verdict.NotRun, verdict.CodeVersionNotHeld},
		"refusal of another": {raw(503, notRun+"Driftstage-Request-Id: r0\r\n", ""), verdict.MayHaveRun, verdict.CodeBadReply},
		"error":              {raw(503, "", ""), verdict.MayHaveRun, verdict.CodeInternal},
		"closed":             {func(net.Conn) bool { return false }, verdict.MayHaveRun, verdict.CodeLost},
		"cut off":            {cut, verdict.Ran, verdict.CodeBadReply},
		"no end told":        {unterminated, verdict.Ran, verdict.CodeBadReply},
		"no request id":      {raw(200, strings.Replace(goodHeaders, "Driftstage-Request-Id: r1\r\n", "", 1), goodBody), verdict.MayHaveRun, verdict.CodeBadReply},
		"other request id":   {raw(200, strings.Replace(goodHeaders, "r1", "r2", 1), goodBody), verdict.MayHaveRun, verdict.CodeBadReply},
		"body of another":    {raw(200, goodHeaders, strings.Replace(goodBody, "r1", "r2", 1)), verdict.MayHaveRun, verdict.CodeBadReply},
		"other snapshot":     {raw(200, strings.Replace(goodHeaders, ": 41", ": 42", 1), strings.Replace(goodBody, "41", "42", 1)), verdict.Ran, verdict.CodeBadReply},
		"header snapshot":    {raw(200, strings.Replace(goodHeaders, ": 41", ": 42", 1), goodBody), verdict.Ran, verdict.CodeBadReply},
		"two snapshots":      {raw(200, goodHeaders, strings.Replace(goodBody, "41", "42", 1)), verdict.Ran, verdict.CodeBadReply},
		"other shards":       {raw(200, strings.Replace(goodHeaders, "0,3", "0,2", 1), goodBody), verdict.Ran, verdict.CodeBadReply},
		"part missing":       {raw(200, goodHeaders, `{"requestId":"r1","snapshot":41,"parts":[{"shard":0,"body":1}]}`), verdict.Ran, verdict.CodeBadReply},
		"part twice":         {raw(200, goodHeaders, strings.Replace(goodBody, `"shard":3`, `"shard":0`, 1)), verdict.Ran, verdict.CodeBadReply},
		"not JSON":           {raw(200, goodHeaders, goodBody[:40]), verdict.Ran, verdict.CodeBadReply},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, received := serve(t, test.answer)
			client := NewClient(Options{Address: address, Path: "/query", Connections: 2})
			defer client.Close()
			var ends atomic.Int32
			result := client.Do(t.Context(), request(), func() { ends.Add(1) })
			is.Equal(received.Load(), int32(1)) // never sent twice
			is.Equal(ends.Load(), int32(1))
			if test.code == "" {
				is.True(result.Failure == nil)
				is.Equal(result.Parts, []Part{{0, []byte(`{"a":1}`)}, {3, []byte(`[3]`)}})
				is.Equal(result.SnapshotsHeld, []int64{40, 41})
				return
			}
			is.Equal(result.Parts, nil)
			is.Equal(result.Failure.Verdict, test.verdict)
			is.Equal(result.Failure.Code, test.code)
		})
	}
}

// A part must not change when the next reply is read from its connection.
func TestPartsOutliveConnectionBuffers(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t,
		raw(200, goodHeaders, goodBody),
		raw(200, goodHeaders, strings.NewReplacer(`"a"`, `"b"`, "[3]", "[9]").Replace(goodBody)))
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	first := client.Do(t.Context(), request(), func() {})
	second := client.Do(t.Context(), request(), func() {})
	is.Equal(string(first.Parts[0].Body), `{"a":1}`)
	is.Equal(string(second.Parts[0].Body), `{"b":1}`)
}

// The second copy of a duplicated reply must not be used for the next request.
func TestDuplicateReplyIsNotUsedForNextRequest(t *testing.T) {
	is := is.New(t)
	twice := func(conn net.Conn) bool {
		raw(200, goodHeaders, goodBody)(conn)
		return raw(200, goodHeaders, goodBody)(conn)
	}
	second := strings.NewReplacer("r1", "r2")
	address, _ := serve(t, twice, raw(200, second.Replace(goodHeaders), second.Replace(goodBody)))
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	is.Equal(client.Do(t.Context(), request(), func() {}).Failure, nil)
	next := request()
	next.RequestID = "r2"
	result := client.Do(t.Context(), next, func() {})
	is.True(result.Failure == nil || result.Failure.Code == verdict.CodeBadReply)
}

// A late copy of an attempt's refusal must not be used for the next attempt of the
// same request, which may have run.
func TestLateRefusalIsNotUsedForNextAttempt(t *testing.T) {
	is := is.New(t)
	refusal := "Driftstage-Request-Id: r1\r\nDriftstage-Attempt-Id: 1\r\nDriftstage-Not-Run: true\r\n"
	late := func(conn net.Conn) bool {
		raw(503, refusal, "")(conn)
		return raw(200, "Driftstage-Attempt-Id: 2\r\n"+goodHeaders, goodBody)(conn)
	}
	address, _ := serve(t, raw(503, refusal, ""), late)
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	first := client.Do(t.Context(), request(), func() {})
	is.Equal(first.Failure.Verdict, verdict.NotRun)
	second := client.Do(t.Context(), request(), func() {})
	is.Equal(second.Failure.Verdict, verdict.MayHaveRun)
	is.Equal(second.Failure.Code, verdict.CodeBadReply)
}

func TestUnreachableIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	result := client.Do(t.Context(), request(), func() {})
	is.Equal(result.Failure.Verdict, verdict.NotRun)
	is.Equal(result.Failure.Code, verdict.CodeUnreachable)
}

func TestIdleConnectionClosedByServerIsReplaced(t *testing.T) {
	is := is.New(t)
	once := func(conn net.Conn) bool { return !raw(200, goodHeaders, goodBody)(conn) }
	address, received := serve(t, once)
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	for count := range 3 {
		result := client.Do(t.Context(), request(), func() {})
		is.Equal(result.Failure, nil)
		is.Equal(received.Load(), int32(count+1))
		time.Sleep(20 * time.Millisecond) // wait until the server's close has arrived
	}
}

// Cancellation closes the sending side at once; until the server closes the
// connection, the attempt has not ended and the connection counts against the limit.
func TestCancellationReachesServer(t *testing.T) {
	is := is.New(t)
	seen := make(chan struct{})
	finish := make(chan struct{})
	waits := func(conn net.Conn) bool {
		_, err := conn.Read(make([]byte, 1))
		if err == io.EOF {
			close(seen)
		}
		<-finish
		return false
	}
	address, received := serve(t, waits)
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		for received.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	result := client.Do(ctx, request(), func() { close(ended) })
	is.Equal(result.Failure.Verdict, verdict.MayHaveRun)
	is.Equal(result.Failure.Code, verdict.CodeCanceled)
	<-seen
	refused := client.Do(t.Context(), request(), func() {})
	is.Equal(refused.Failure.Code, verdict.CodeOverloaded) // the connection still counts
	is.Equal(refused.Failure.Verdict, verdict.NotRun)
	select {
	case <-ended:
		t.Fatal("ended before the server closed")
	default:
	}
	close(finish)
	<-ended
}

func TestDeadlineEndsAttempt(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, func(conn net.Conn) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	late := request()
	late.Deadline = time.Now().Add(30 * time.Millisecond)
	ended := false
	result := client.Do(t.Context(), late, func() { ended = true })
	is.Equal(result.Failure.Verdict, verdict.MayHaveRun)
	is.Equal(result.Failure.Code, verdict.CodeDeadline)
	is.True(ended)
	past := request()
	past.Deadline = time.Now().Add(-time.Millisecond)
	is.Equal(client.Do(t.Context(), past, func() {}).Failure.Verdict, verdict.NotRun)
}

func TestLoad(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, raw(200, "", `{"running":2,"slots":3,"snapshots":[40,41],"draining":true}`))
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	load, err := client.Load(t.Context(), time.Now().Add(5*time.Second))
	is.NoErr(err)
	is.Equal(load, Load{Running: 2, Slots: 3, Snapshots: []int64{40, 41}, Draining: true})
}
