package owner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const (
	testService = "search"
	testServer  = "s0"
)

// pipe is a connection whose sending side can be closed separately; closed is closed
// when that happens.
type pipe struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (pipe *pipe) CloseWrite() error {
	pipe.once.Do(func() { close(pipe.closed) })
	return nil
}

// testbed is a manager with one in-memory server; it can be used in a synctest bubble.
type testbed struct {
	manager *Manager
	service atomic.Pointer[config.Service]
	leaving atomic.Bool
	// skew is added to the clock; a jump simulates a pause of the process.
	skew atomic.Int64

	// serviceTime is the time that the server works on a request. The server
	// continues after the sender has closed unless stopsOnClose is set.
	serviceTime  time.Duration
	stopsOnClose bool
	headers      atomic.Pointer[string]
	executed     atomic.Int32
	// shedsLeft is how many further requests the server sheds.
	shedsLeft  atomic.Int32
	running    atomic.Int32
	maxRunning atomic.Int32
}

func newTestbed(spec v1.Server) *testbed {
	tb := &testbed{serviceTime: 50 * time.Millisecond}
	tb.configure(1, spec)
	none := ""
	tb.headers.Store(&none)
	tb.manager = NewManager(Options{Services: tb, Machines: tb, Dial: tb.dial, Now: func() time.Time {
		return time.Now().Add(time.Duration(tb.skew.Load()))
	}})
	return tb
}

func (tb *testbed) configure(revision int64, servers ...v1.Server) {
	spec := &v1.QueryServiceSpec{Path: "/query", Servers: servers, Limits: v1.Limits{Queue: 100}}
	tb.service.Store(&config.Service{Name: testService, Revision: revision, Spec: spec})
}

func (tb *testbed) Service(string) (*config.Service, bool) { return tb.service.Load(), true }
func (tb *testbed) Services() []*config.Service            { return []*config.Service{tb.service.Load()} }
func (tb *testbed) Leaving(string) bool                    { return tb.leaving.Load() }

func (tb *testbed) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	conn := &pipe{Conn: near, closed: make(chan struct{})}
	go tb.serve(far, conn.closed)
	return conn, nil
}

func (tb *testbed) serve(conn net.Conn, closed <-chan struct{}) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		if string(request.URI().Path()) == "/load" {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if tb.shedsLeft.Add(-1) >= 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nDriftstage-Not-Run: true\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := string(request.Header.Peek("Driftstage-Request-Id"))
		if !tb.work(closed) {
			return
		}
		body := fmt.Sprintf(`{"requestId":%q,"snapshot":41,"parts":[{"shard":0,"body":1}]}`, id)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nDriftstage-Request-Id: %s\r\nDriftstage-Snapshot: 41\r\nDriftstage-Shards: 0\r\n%sContent-Length: %d\r\n\r\n%s",
			id, *tb.headers.Load(), len(body), body)
		if err != nil {
			return
		}
	}
}

// work simulates one execution and reports whether the sender is still connected.
func (tb *testbed) work(closed <-chan struct{}) bool {
	tb.executed.Add(1)
	running := tb.running.Add(1)
	defer tb.running.Add(-1)
	for highest := tb.maxRunning.Load(); running > highest; highest = tb.maxRunning.Load() {
		tb.maxRunning.CompareAndSwap(highest, running)
	}
	timer := time.NewTimer(tb.serviceTime)
	defer timer.Stop()
	if tb.stopsOnClose {
		select {
		case <-closed:
			return false
		case <-timer.C:
			return true
		}
	}
	<-timer.C
	select {
	case <-closed:
		return false
	default:
		return true
	}
}

var lastAttempt atomic.Int64

func (tb *testbed) execute(ctx context.Context, remaining time.Duration) *message.SubReply {
	id := lastAttempt.Add(1)
	return tb.manager.Execute(ctx, &message.SubRequest{
		RequestID:       fmt.Sprint("r", id),
		AttemptID:       id,
		Service:         testService,
		Revision:        1,
		Server:          testServer,
		Shards:          []int{0},
		Partitions:      1,
		Snapshot:        41,
		RemainingMicros: remaining.Microseconds(),
	})
}

// start executes an attempt in the background and returns the channel of its reply.
func (tb *testbed) start(ctx context.Context, remaining time.Duration) <-chan *message.SubReply {
	replies := make(chan *message.SubReply, 1)
	go func() { replies <- tb.execute(ctx, remaining) }()
	synctest.Wait()
	return replies
}

// bubble runs a test in a synctest bubble and closes the connections at its end.
func bubble(t *testing.T, spec v1.Server, test func(*testing.T, *is.I, *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(spec)
		test(t, is.New(t), tb)
		tb.configure(1<<40, v1.Server{Name: "other"})
		tb.manager.updateServers(time.Now())
		time.Sleep(time.Minute)
	})
}

func testServerSpec(slots, connections int) v1.Server {
	return v1.Server{Name: testServer, Address: "127.0.0.1:1", Slots: slots, Connections: connections}
}

func wasNotRun(reply *message.SubReply, code verdict.Code) bool {
	return verdict.Verdict(reply.Verdict) == verdict.NotRun && verdict.Code(reply.Code) == code
}

func TestInFlightNeverExceedsWindow(t *testing.T) {
	bubble(t, testServerSpec(3, 5), func(t *testing.T, is *is.I, tb *testbed) {
		var group sync.WaitGroup
		for range 60 {
			group.Go(func() {
				reply := tb.execute(t.Context(), time.Minute)
				is.Equal(reply.Code, "")
				is.True(reply.Load.InFlight <= reply.Load.Window)
			})
		}
		group.Wait()
		is.Equal(tb.executed.Load(), int32(60))
		is.True(tb.maxRunning.Load() <= 4) // one of five connections is reserved for polls
		is.True(tb.maxRunning.Load() >= 3)
	})
}

func TestCancelledWhileQueuedIsNotRun(t *testing.T) {
	bubble(t, testServerSpec(1, 2), func(t *testing.T, is *is.I, tb *testbed) {
		first := tb.start(t.Context(), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		second := tb.start(ctx, time.Second)
		cancel()
		synctest.Wait()
		is.Equal(len(second), 1) // at once, not when a slot is free
		is.True(wasNotRun(<-second, verdict.CodeCanceled))
		is.Equal((<-first).Code, "")
		time.Sleep(time.Second)
		is.Equal(tb.executed.Load(), int32(1))
	})
}

// An attempt that the server shed is queued once more; a second shed refuses it.
func TestShedAttemptIsQueuedOnceMore(t *testing.T) {
	bubble(t, testServerSpec(2, 3), func(t *testing.T, is *is.I, tb *testbed) {
		tb.shedsLeft.Store(1)
		is.Equal(tb.execute(t.Context(), time.Second).Code, "")
		tb.shedsLeft.Store(2)
		is.True(wasNotRun(tb.execute(t.Context(), time.Second), verdict.CodeShed))
		is.Equal(tb.executed.Load(), int32(1))
	})
}

// A cancelled attempt holds its slot until the server has stopped running it.
func TestCancelledAttemptHoldsItsSlot(t *testing.T) {
	for name, stops := range map[string]bool{"server obeys": true, "server works on": false} {
		t.Run(name, func(t *testing.T) {
			bubble(t, testServerSpec(1, 3), func(t *testing.T, is *is.I, tb *testbed) {
				tb.stopsOnClose = stops
				ctx, cancel := context.WithCancel(t.Context())
				first := tb.start(ctx, time.Second)
				second := tb.start(t.Context(), time.Second)
				cancel()
				cancelled := <-first
				is.Equal(verdict.Verdict(cancelled.Verdict), verdict.MayHaveRun)
				synctest.Wait()
				is.Equal(tb.executed.Load() == 2, stops)
				is.Equal((<-second).Code, "")
				is.Equal(tb.maxRunning.Load(), int32(1))
			})
		})
	}
}

// A process that was paused past the deadline must not send its queued attempts.
func TestPausedWhileQueuedIsNotRun(t *testing.T) {
	bubble(t, testServerSpec(1, 2), func(t *testing.T, is *is.I, tb *testbed) {
		first := tb.start(t.Context(), 10*time.Second)
		second := tb.start(t.Context(), 300*time.Millisecond)
		tb.skew.Store(int64(time.Second))
		is.Equal((<-first).Code, "")
		is.True(wasNotRun(<-second, verdict.CodeDeadline))
		is.Equal(tb.executed.Load(), int32(1))
	})
}

// The remaining time of a request that was in a socket buffer while the process was
// paused is shortened by the pause.
func TestReadAfterPauseIsNotRun(t *testing.T) {
	bubble(t, testServerSpec(1, 2), func(t *testing.T, is *is.I, tb *testbed) {
		tb.manager.pauses.beat(tb.manager.options.Now())
		tb.skew.Store(int64(time.Second))
		is.True(wasNotRun(tb.execute(t.Context(), 500*time.Millisecond), verdict.CodeDeadline))
		is.Equal(tb.execute(t.Context(), 2*time.Second).Code, "")
		tb.manager.pauses.beat(tb.manager.options.Now())
		time.Sleep(pauseGrace)
		tb.manager.pauses.beat(tb.manager.options.Now())
		is.Equal(tb.execute(t.Context(), 500*time.Millisecond).Code, "")
		is.Equal(tb.executed.Load(), int32(2))
	})
}

// After the first draining signal from any source, a server gets no new attempts;
// queued attempts are refused, attempts in flight finish.
func TestDrainSignals(t *testing.T) {
	draining := "Driftstage-Draining: true\r\n"
	signals := map[string]func(*testbed){
		"reply":        func(tb *testbed) { tb.headers.Store(&draining) },
		"machine list": func(tb *testbed) { tb.leaving.Store(true) },
		"resource": func(tb *testbed) {
			spec := testServerSpec(1, 2)
			spec.Draining = true
			tb.configure(2, spec)
		},
		"gone from resource": func(tb *testbed) { tb.configure(2, v1.Server{Name: "other", Address: "127.0.0.1:2"}) },
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			bubble(t, testServerSpec(1, 2), func(t *testing.T, is *is.I, tb *testbed) {
				first := tb.start(t.Context(), 10*time.Second)
				second := tb.start(t.Context(), 10*time.Second)
				signal(tb)
				if name != "reply" {
					tb.manager.reconcile(t.Context())
					is.True(wasNotRun(<-second, verdict.CodeDraining))
				}
				is.Equal((<-first).Code, "")
				if name == "reply" {
					is.True(wasNotRun(<-second, verdict.CodeDraining))
				}
				is.True(wasNotRun(tb.execute(t.Context(), time.Second), verdict.CodeDraining))
				is.Equal(tb.executed.Load(), int32(1))
			})
		})
	}
}

func TestStopFinishesAcceptedAttempts(t *testing.T) {
	bubble(t, testServerSpec(1, 2), func(t *testing.T, is *is.I, tb *testbed) {
		replies := []<-chan *message.SubReply{tb.start(t.Context(), time.Second), tb.start(t.Context(), time.Second)}
		stopped := make(chan error, 1)
		go func() { stopped <- tb.manager.Stop(t.Context()) }()
		synctest.Wait()
		refused := tb.execute(t.Context(), time.Second)
		is.True(wasNotRun(refused, verdict.CodeDraining))
		is.True(!refused.Load.Draining) // the node is stopping, not the server
		is.Equal(len(stopped), 0)
		for _, reply := range replies {
			is.Equal((<-reply).Code, "")
		}
		is.NoErr(<-stopped)
	})
}

func TestLoadsPollsUnknownVersions(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		_, _ = io.WriteString(ctx, `{"running":0,"slots":3,"snapshots":[40,41],"draining":false}`)
	}}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	tb := newTestbed(testServerSpec(3, 5))
	tb.manager.options.Dial = nil
	spec := testServerSpec(3, 5)
	spec.Address = listener.Addr().String()
	tb.configure(2, spec)
	request := &message.LoadRequest{Service: testService, Servers: []string{testServer, "unknown"}}
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		reply := tb.manager.Loads(request)
		is.Equal(len(reply.Loads), 1)
		if len(reply.Loads[0].SnapshotsHeld) > 0 {
			is.Equal(reply.Loads[0].SnapshotsHeld, []int64{40, 41})
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("versions never became known")
}

// The load endpoint lags: polled versions never replace newer ones reported by
// replies.
func TestLaggingPollKeepsNewerVersions(t *testing.T) {
	is := is.New(t)
	for _, step := range []struct {
		held, polled, want []int64
	}{
		{nil, []int64{40, 41}, []int64{40, 41}},
		{[]int64{40, 41}, []int64{41, 42}, []int64{41, 42}},
		{[]int64{44, 45}, []int64{40, 41}, []int64{44, 45}},
		{[]int64{44, 45}, nil, []int64{44, 45}},
	} {
		known := &server{held: step.held}
		known.observe(time.Now(), false, known.notOlder(step.polled))
		is.Equal(known.held, step.want)
	}
}
