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

// patience bounds waits that end at once unless something is broken.
const patience = 10 * time.Second

type loadHandler func(context.Context, *message.LoadRequest) (*message.LoadReply, error)

// echo answers with one load that names the service asked for.
func echo(_ context.Context, request *message.LoadRequest) (*message.LoadReply, error) {
	return &message.LoadReply{Loads: []message.ServerLoad{{Server: request.Service}}}, nil
}

func startServer(t *testing.T, options ServerOptions, handler loadHandler) (*Server, string) {
	t.Helper()
	server := NewServer(options)
	Handle(server, handler)
	return server, listenLoopback(t, server)
}

// listenLoopback serves until the end of the test and returns the address.
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// failureOf asserts that err is a verdict.Error and returns it.
func failureOf(t *testing.T, err error) *verdict.Error {
	t.Helper()
	var failure *verdict.Error
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is no *verdict.Error", err)
	}
	return failure
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, ServerOptions{}, echo)
	client := startClient(t, ClientOptions{})
	var group sync.WaitGroup
	names := make([]string, 500)
	for index := range names {
		group.Go(func() {
			request := &message.LoadRequest{Service: "service-" + string(rune('a'+index%26))}
			var reply message.LoadReply
			if err := client.Call(testContext(t), address, request, &reply); err != nil {
				names[index] = err.Error()
				return
			}
			if reply.Loads[0].Server != request.Service {
				names[index] = "got the reply of " + reply.Loads[0].Server
			}
		})
	}
	group.Wait()
	for _, name := range names {
		is.Equal(name, "")
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
		network, err := listener.Accept()
		if err != nil {
			return
		}
		reader := newFrameReader(network)
		_ = exchangeHello(network, reader, "", patience)
		_, _ = reader.read()
		_ = network.Close()
	}()
	client := startClient(t, ClientOptions{})
	failure := failureOf(t, client.Call(testContext(t), listener.Addr().String(), &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Verdict, verdict.MayHaveRun)
	is.Equal(failure.Code, verdict.CodeLost)
}

// TestSilentPeerIsLost stands for a cut link or a frozen peer: TCP says nothing.
func TestSilentPeerIsLost(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		network, err := listener.Accept()
		if err != nil {
			return
		}
		_ = exchangeHello(network, newFrameReader(network), "", patience)
		_, _ = io.Copy(io.Discard, network)
	}()
	client := startClient(t, ClientOptions{PingInterval: 10 * time.Millisecond, SilenceLimit: 40 * time.Millisecond})
	failure := failureOf(t, client.Call(testContext(t), listener.Addr().String(), &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Code, verdict.CodeLost)
	is.Equal(failure.Verdict, verdict.MayHaveRun)
}

// TestPingKeepsSlowReplyAlive is the counterpart: a slow peer that pongs is kept.
func TestPingKeepsSlowReplyAlive(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, ServerOptions{}, func(ctx context.Context, request *message.LoadRequest) (*message.LoadReply, error) {
		time.Sleep(2 * time.Second)
		return echo(ctx, request)
	})
	client := startClient(t, ClientOptions{PingInterval: 200 * time.Millisecond, SilenceLimit: time.Second})
	is.NoErr(client.Call(testContext(t), address, &message.LoadRequest{Service: "s"}, &message.LoadReply{}))
}

func TestCancelReachesTheHandler(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	cancelled := make(chan struct{})
	_, address := startServer(t, ServerOptions{}, func(ctx context.Context, _ *message.LoadRequest) (*message.LoadReply, error) {
		close(entered)
		<-ctx.Done()
		close(cancelled)
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
	case <-cancelled:
	case <-time.After(patience):
		t.Fatal("handler was not cancelled")
	}
}

// TestCancelledWhileQueuedIsNotRunAndNeverWritten: the writer must drop the
// frame of a call that was answered as NotRun.
func TestCancelledWhileQueuedIsNotRunAndNeverWritten(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	c := newConnection(near, ClientOptions{}.withDefaults())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	failure := failureOf(t, c.call(ctx, &message.LoadRequest{}, &message.LoadReply{}))
	is.Equal(failure.Verdict, verdict.NotRun)
	go func() { c.fail(c.writer.run()) }()
	c.writer.close()
	written, err := io.ReadAll(far)
	is.NoErr(err)
	is.Equal(len(written), 0)
}

func TestShutdownCutsNoRequestUnderWay(t *testing.T) {
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
	is.Equal(failure.Verdict, verdict.NotRun) // new work is refused
	close(release)
	is.NoErr(<-result) // work under way is answered
	is.NoErr(<-stopped)
}

func TestGarbageAndHalfOpenConnectionsAreClosed(t *testing.T) {
	_, address := startServer(t, ServerOptions{HelloTimeout: 50 * time.Millisecond}, echo)
	oversized := append(helloOf(""), (&frame{kind: frameRequest}).appendTo(nil)...)
	oversized[len(oversized)-4] = 0xff
	unknownKind := append(helloOf(""), (&frame{kind: 99}).appendTo(nil)...)
	for name, sent := range map[string][]byte{
		"nothing":      nil,
		"http":         []byte("GET / HTTP/1.1\r\n\r\n"),
		"oversized":    oversized,
		"unknown kind": unknownKind,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			network, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer network.Close()
			_, err = network.Write(sent)
			is.NoErr(err)
			is.NoErr(network.SetReadDeadline(time.Now().Add(patience)))
			_, err = io.Copy(io.Discard, network)
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

// TestOtherClusterIsRefused: an address that changed hands must not let the
// processes of two systems talk to each other.
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
