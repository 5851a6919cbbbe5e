package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// testTimeout fails a test that hangs.
const testTimeout = 10 * time.Second

type loadHandler func(context.Context, *message.LoadRequest) (*message.LoadReply, error)

// echo answers with one load whose server is the requested service.
func echo(_ context.Context, request *message.LoadRequest) (*message.LoadReply, error) {
	return &message.LoadReply{Loads: []message.ServerLoad{{Server: request.Service}}}, nil
}

func startServer(t *testing.T, options ServerOptions, handler loadHandler) (*Server, string) {
	t.Helper()
	server := NewServer(options)
	Handle(server, handler)
	return server, listenLoopback(t, server)
}

// listenLoopback serves on a loopback address until the end of the test and returns the
// address.
func listenLoopback(t testing.TB, server *Server) string {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return listener.Addr().String()
}

func startClient(t *testing.T, options ClientOptions) *Client {
	client := NewClient(options)
	t.Cleanup(client.Close)
	return client
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// failureOf returns err as a *verdict.Error or fails the test.
func failureOf(t *testing.T, err error) *verdict.Error {
	t.Helper()
	var failure *verdict.Error
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is not a *verdict.Error", err)
	}
	return failure
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, ServerOptions{}, echo)
	client := startClient(t, ClientOptions{})
	var group sync.WaitGroup
	failures := make([]string, 500)
	for index := range failures {
		group.Go(func() {
			request := &message.LoadRequest{Service: "service-" + string(rune('a'+index%26))}
			var reply message.LoadReply
			if err := client.Call(testContext(t), address, request, &reply); err != nil {
				failures[index] = err.Error()
				return
			}
			if reply.Loads[0].Server != request.Service {
				failures[index] = "got the reply of " + reply.Loads[0].Server
			}
		})
	}
	group.Wait()
	for _, failure := range failures {
		is.Equal(failure, "")
	}
}

func TestHandlerFailureKeepsItsVerdict(t *testing.T) {
	is := is.New(t)
	want := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeShed, Message: "full", RetryAfter: 20 * time.Millisecond}
	_, address := startServer(t, ServerOptions{}, func(context.Context, *message.LoadRequest) (*message.LoadReply, error) {
		return nil, want
	})
	client := startClient(t, ClientOptions{})
	err := client.Call(testContext(t), address, &message.LoadRequest{}, &message.LoadReply{})
	is.Equal(failureOf(t, err), want)
}

func TestUnreachablePeerIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := startClient(t, ClientOptions{})
	failure := failureOf(t, client.Call(testContext(t), address, &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Verdict, verdict.NotRun)
	is.Equal(failure.Code, verdict.CodeUnreachable)
}

func TestConnectionLostAfterWriteMayHaveRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := newFrameReader(conn)
		_ = exchangeHello(conn, reader, "", testTimeout)
		_, _ = reader.read()
		_ = conn.Close()
	}()
	client := startClient(t, ClientOptions{})
	failure := failureOf(t, client.Call(testContext(t), listener.Addr().String(), &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Verdict, verdict.MayHaveRun)
	is.Equal(failure.Code, verdict.CodeLost)
}

// Guards against calls that hang when the peer is frozen or the network drops all packets:
// TCP reports no error then.
func TestUnresponsivePeerIsLost(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = exchangeHello(conn, newFrameReader(conn), "", testTimeout)
		_, _ = io.Copy(io.Discard, conn)
	}()
	client := startClient(t, ClientOptions{PingInterval: 10 * time.Millisecond, PingTimeout: 40 * time.Millisecond})
	failure := failureOf(t, client.Call(testContext(t), listener.Addr().String(), &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Code, verdict.CodeLost)
	is.Equal(failure.Verdict, verdict.MayHaveRun)
}

// A slow peer that answers pings is not disconnected.
func TestPingKeepsSlowReplyAlive(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, ServerOptions{}, func(ctx context.Context, request *message.LoadRequest) (*message.LoadReply, error) {
		time.Sleep(2 * time.Second)
		return echo(ctx, request)
	})
	client := startClient(t, ClientOptions{PingInterval: 200 * time.Millisecond, PingTimeout: time.Second})
	is.NoErr(client.Call(testContext(t), address, &message.LoadRequest{Service: "s"}, &message.LoadReply{}))
}

func TestCancelReachesTheHandler(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	canceled := make(chan struct{})
	_, address := startServer(t, ServerOptions{}, func(ctx context.Context, _ *message.LoadRequest) (*message.LoadReply, error) {
		close(entered)
		<-ctx.Done()
		close(canceled)
		return nil, ctx.Err()
	})
	client := startClient(t, ClientOptions{})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-entered
		cancel()
	}()
	failure := failureOf(t, client.Call(ctx, address, &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Verdict, verdict.MayHaveRun)
	is.Equal(failure.Code, verdict.CodeCanceled)
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Fatal("handler was not canceled")
	}
}

// Guards against running a request that its caller was told has not run: the writer must
// drop the frame of a call that was canceled while queued.
func TestCanceledWhileQueuedIsNotRunAndNeverWritten(t *testing.T) {
	is := is.New(t)
	clientConn, serverConn := net.Pipe()
	defer serverConn.Close()
	c := newConnection(clientConn, ClientOptions{}.withDefaults())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	failure := failureOf(t, c.call(ctx, &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Verdict, verdict.NotRun)
	go func() { c.fail(c.writer.run()) }()
	c.writer.close()
	written, err := io.ReadAll(serverConn)
	is.NoErr(err)
	is.Equal(len(written), 0)
}

func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	release := make(chan struct{})
	server, address := startServer(t, ServerOptions{}, func(ctx context.Context, request *message.LoadRequest) (*message.LoadReply, error) {
		close(entered)
		<-release
		return echo(ctx, request)
	})
	client := startClient(t, ClientOptions{})
	result := make(chan error, 1)
	go func() {
		result <- client.Call(testContext(t), address, &message.LoadRequest{Service: "s"}, &message.LoadReply{})
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(testContext(t)) }()
	for !server.isStopping() {
		time.Sleep(time.Millisecond)
	}
	failure := failureOf(t, client.Call(testContext(t), address, &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Verdict, verdict.NotRun) // new requests are refused
	close(release)
	is.NoErr(<-result) // the request in flight is answered
	is.NoErr(<-stopped)
}

func TestMalformedAndHalfOpenConnectionsAreClosed(t *testing.T) {
	_, address := startServer(t, ServerOptions{HelloTimeout: 50 * time.Millisecond}, echo)
	oversized := append(newHello(""), (&frame{kind: frameRequest}).appendTo(nil)...)
	oversized[len(oversized)-4] = 0xff
	unknownKind := append(newHello(""), (&frame{kind: 99}).appendTo(nil)...)
	for name, sent := range map[string][]byte{
		"nothing":      nil,
		"http":         []byte("GET / HTTP/1.1\r\n\r\n"),
		"oversized":    oversized,
		"unknown kind": unknownKind,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(sent)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
			_, err = io.Copy(io.Discard, conn)
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the server closed it
		})
	}
}

func TestUnknownRequestTypeIsRefused(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, ServerOptions{}, echo)
	client := startClient(t, ClientOptions{})
	failure := failureOf(t, client.Call(testContext(t), address, &message.ConfigPush{}, &message.Acknowledgement{}))
	is.Equal(failure.Verdict, verdict.NotRun)
	is.Equal(failure.Code, verdict.CodeInvalid)
}

// Guards against connections between two clusters after an address has moved from one to
// the other.
func TestOtherClusterIsRefused(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, ServerOptions{Cluster: "one"}, echo)
	same := startClient(t, ClientOptions{Cluster: "one"})
	is.NoErr(same.Call(testContext(t), address, &message.LoadRequest{}, &message.LoadReply{}))
	other := startClient(t, ClientOptions{Cluster: "two"})
	failure := failureOf(t, other.Call(testContext(t), address, &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Verdict, verdict.NotRun)
	is.Equal(failure.Code, verdict.CodeUnreachable)
}
