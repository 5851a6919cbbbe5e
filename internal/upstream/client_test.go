package upstream_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/platform"
	"github.com/driftstage/driftstage/platform/standin"
)

const answerBody = "0123456789abcdef0123456789abcdef"

func startServer(t *testing.T, options standin.ServerOptions) *standin.Server {
	t.Helper()
	options.ID = "i-1"
	if options.Body == nil {
		options.Body = []byte(answerBody)
	}
	server, err := standin.NewServer(options)
	is.New(t).NoErr(err)
	t.Cleanup(server.Close)
	return server
}

// firstThen uses the behavior for the first request and answers all others.
func firstThen(behavior standin.Behavior) func(int) standin.Behavior {
	return func(n int) standin.Behavior {
		if n == 0 {
			return behavior
		}
		return standin.Respond
	}
}

func newClient() *upstream.Client { return upstream.NewClient(platform.Names().Headers) }

func call(server *standin.Server, id, body string) upstream.Call {
	head := "GET /path?q=1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Identifier: " + id + "\r\n"
	if body != "" {
		head = strings.Replace(head, "GET", "POST", 1) + "Content-Length: " + lengthOf(body) + "\r\n"
	}
	return upstream.Call{
		Request:   &upstream.Request{ID: id, Head: []byte(head), Body: []byte(body)},
		ServerID:  "i-1",
		Address:   server.Address(),
		Deadline:  time.Now().Add(time.Second),
		IdleLimit: -1,
	}
}

func lengthOf(body string) string { return strconv.Itoa(len(body)) }

func TestReplyKinds(t *testing.T) {
	for _, test := range []struct {
		name     string
		behavior standin.Behavior
		kind     upstream.Kind
		verdict  verdict.Verdict
		// reused is set if the next request uses the same connection.
		reused bool
	}{
		{"answer", standin.Respond, upstream.Answered, verdict.Ran, true},
		{"shed", standin.Shed, upstream.Refused, verdict.NotRun, true},
		{"server error", standin.Fail, upstream.Answered, verdict.Ran, true},
		{"lost answer", standin.RunWithoutResponse, upstream.Expired, verdict.MayHaveRun, false},
		{"reset of a new connection", standin.ResetAfterRun, upstream.Reset, verdict.MayHaveRun, false},
		{"truncated", standin.TruncateBody, upstream.Lost, verdict.MayHaveRun, false},
		{"not HTTP", standin.SendGarbage, upstream.Malformed, verdict.MayHaveRun, false},
		{"duplicated", standin.DuplicateResponse, upstream.Answered, verdict.Ran, false},
		{"without length", standin.Unframed, upstream.Answered, verdict.Ran, false},
		{"without length, reset", standin.UnframedReset, upstream.Reset, verdict.MayHaveRun, false},
		{"after an answer to another request", standin.WrongResponseFirst, upstream.Answered, verdict.Ran, true},
		{"content encoding", standin.Encoded, upstream.Malformed, verdict.Ran, false},
		{"without seal", standin.Unsealed, upstream.Malformed, verdict.Ran, false},
		{"closed after the answer", standin.CloseAfter, upstream.Answered, verdict.Ran, false},
		// Only the header says that a request has not run, whatever the status implies.
		{"refused after it ran", standin.RefuseAfterRun, upstream.Malformed, verdict.MayHaveRun, false},
		{"misdirected after it ran", standin.MisdirectAfterRun, upstream.WrongServer, verdict.MayHaveRun, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := startServer(t, standin.ServerOptions{Behave: firstThen(test.behavior)})
			client := newClient()
			first := call(server, "id-1", "")
			first.Deadline = time.Now().Add(300 * time.Millisecond)
			reply := client.Do(t.Context(), first)
			is.Equal(reply.Kind, test.kind)
			is.Equal(reply.Verdict, test.verdict)
			if test.kind == upstream.Answered {
				is.Equal(string(reply.Body), answerBody)
				is.Equal(reply.Seal, server.Seal("id-1"))
			}
			next := client.Do(t.Context(), call(server, "id-2", ""))
			is.Equal(next.Kind, upstream.Answered) // no bytes of the first answer remain
			is.Equal(next.Seal, server.Seal("id-2"))
			is.Equal(server.Opened() == 1, test.reused)
		})
	}
}

func TestWrongServerAtAddress(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{})
	wrong := call(server, "id-1", "")
	wrong.ServerID = "i-gone"
	reply := newClient().Do(t.Context(), wrong)
	is.Equal(reply.Kind, upstream.WrongServer)
	is.Equal(reply.Verdict, verdict.NotRun)
	is.Equal(len(server.Runs()), 0)
}

// An attempt is marked as unsent only if nothing was written.
func TestUnsentAttempts(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{})
	answered := call(server, "id-1", "")
	reply := newClient().Do(t.Context(), answered)
	is.True(!reply.Unsent)
	notPermitted := call(server, "id-2", "")
	notPermitted.MaySend = func() bool { return false }
	reply = newClient().Do(t.Context(), notPermitted)
	is.True(reply.Unsent)
	expired := call(server, "id-3", "")
	expired.Deadline = time.Now()
	reply = newClient().Do(t.Context(), expired)
	is.True(reply.Unsent)
	broken := startServer(t, standin.ServerOptions{Behave: firstThen(standin.ResetAfterRun)})
	reply = newClient().Do(t.Context(), call(broken, "id-4", ""))
	is.Equal(reply.Kind, upstream.Reset)
	is.True(!reply.Unsent)
}

func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{})
	server.Close()
	reply := newClient().Do(t.Context(), call(server, "id-1", ""))
	is.Equal(reply.Kind, upstream.Unreachable)
	is.Equal(reply.Verdict, verdict.NotRun)
}

func TestCanceledAttemptClosesItsConnection(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{ServiceTime: 10 * time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	reply := newClient().Do(ctx, call(server, "id-1", ""))
	is.Equal(reply.Kind, upstream.Expired)
	is.Equal(reply.Verdict, verdict.MayHaveRun)
	is.True(time.Since(start) < 400*time.Millisecond)
	for deadline := time.Now().Add(400 * time.Millisecond); len(server.Runs()) == 0; {
		is.True(time.Now().Before(deadline)) // the server notices that its caller is gone
		time.Sleep(5 * time.Millisecond)
	}
	is.True(server.Runs()[0].Canceled)
}

func TestRequestArrivesUnchanged(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{})
	reply := newClient().Do(t.Context(), call(server, "id-1", "the body"))
	is.Equal(reply.Kind, upstream.Answered)
	run := server.Runs()[0]
	is.Equal(run.Method, "POST")
	is.Equal(run.URI, "/path?q=1")
	is.Equal(run.Host, "a.example")
	is.Equal(run.Body, "the body")
	is.Equal(run.ID, "id-1")
	is.Equal(run.Header.Get("X-Expected-Instance"), "i-1")
	remaining, err := strconv.Atoi(run.Header.Get("X-Request-Deadline"))
	is.NoErr(err)
	is.True(remaining > 500 && remaining <= 1000) // of one second
}

func TestEarlyAnswerToLargeBody(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{Behave: firstThen(standin.RespondEarly)})
	client := newClient()
	body := strings.Repeat("b", 4<<20)
	reply := client.Do(t.Context(), call(server, "id-1", body))
	is.Equal(reply.Kind, upstream.Answered)
	next := client.Do(t.Context(), call(server, "id-2", ""))
	is.Equal(next.Kind, upstream.Answered)
	for _, run := range server.Runs() {
		is.True(run.Body == "" || run.Body == body) // no other bytes in place of the body
	}
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{ServiceTime: 50 * time.Millisecond})
	client := newClient()
	const parallel = 6
	round := func() {
		done := make(chan upstream.Reply, parallel)
		for range parallel {
			go func() {
				bounded := call(server, "id", "")
				bounded.IdleLimit = 2
				done <- client.Do(t.Context(), bounded)
			}()
		}
		for range parallel {
			reply := <-done
			is.Equal(reply.Kind, upstream.Answered)
		}
	}
	round()
	is.Equal(server.Opened(), parallel)
	round()
	is.Equal(server.Opened(), 2*parallel-2) // two were kept
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{})
	client := newClient()
	reply := client.Do(t.Context(), call(server, "id-1", ""))
	is.Equal(reply.Kind, upstream.Answered)
	address := server.Address()
	server.Close()
	time.Sleep(20 * time.Millisecond)
	restarted, err := standin.NewServer(standin.ServerOptions{ID: "i-1", Body: []byte(answerBody), Address: address})
	is.NoErr(err)
	defer restarted.Close()
	reply = client.Do(t.Context(), call(restarted, "id-2", ""))
	is.Equal(reply.Kind, upstream.Answered)
}

func TestRefusalWithoutIDOnReusedConnection(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{Behave: func(n int) standin.Behavior {
		if n == 1 {
			return standin.ShedWithoutID
		}
		return standin.Respond
	}})
	client := newClient()
	reply := client.Do(t.Context(), call(server, "id-1", ""))
	is.Equal(reply.Kind, upstream.Answered)
	second := call(server, "id-2", "")
	second.Deadline = time.Now().Add(200 * time.Millisecond)
	reply = client.Do(t.Context(), second)
	is.Equal(reply.Verdict, verdict.MayHaveRun)
	is.True(reply.Kind != upstream.Refused)
}

// Guards against sending a request to a server that started to drain while the
// connection was being established.
func TestWithheldRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{})
	notPermitted := call(server, "id-1", "")
	notPermitted.MaySend = func() bool { return false }
	reply := newClient().Do(t.Context(), notPermitted)
	is.Equal(reply.Kind, upstream.NotPermitted)
	is.Equal(reply.Verdict, verdict.NotRun)
	is.Equal(len(server.Runs()), 0)
}

func TestBodyOnlyOmitsHeaders(t *testing.T) {
	is := is.New(t)
	server := startServer(t, standin.ServerOptions{})
	client := newClient()
	is.True(len(client.Do(t.Context(), call(server, "id-1", "")).Fields) > 0)
	bodyOnly := call(server, "id-2", "")
	bodyOnly.OmitHeaders = true
	reply := client.Do(t.Context(), bodyOnly)
	is.Equal(len(reply.Fields), 0)
	is.Equal(string(reply.Body), answerBody)
	is.Equal(reply.Seal, server.Seal("id-2"))
}
