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

// pipe is a connection whose sending side can be closed alone.
type pipe struct {
	net.Conn
	once sync.Once
	gone chan struct{}
}

func (pipe *pipe) CloseWrite() error {
	pipe.once.Do(func() { close(pipe.gone) })
	return nil
}

// rig is a manager with one server, in memory: it fits into a synctest bubble.
type rig struct {
	manager *Manager
	service atomic.Pointer[config.Service]
	leaving atomic.Bool
	// skew is added to the clock; a jump of it is a pause of the process.
	skew atomic.Int64

	// takes is the time that the server works on a request; it works on after the
	// sender has gone unless obeys is set.
	takes    time.Duration
	obeys    bool
	headers  atomic.Pointer[string]
	executed atomic.Int32
	// sheds is how many requests the server refuses first.
	sheds   atomic.Int32
	running atomic.Int32
	highest atomic.Int32
}

func newRig(spec v1.Server) *rig {
	rig := &rig{takes: 50 * time.Millisecond}
	rig.configure(1, spec)
	none := ""
	rig.headers.Store(&none)
	rig.manager = NewManager(Options{Services: rig, Machines: rig, Dial: rig.dial, Now: func() time.Time {
		return time.Now().Add(time.Duration(rig.skew.Load()))
	}})
	return rig
}

func (rig *rig) configure(revision int64, servers ...v1.Server) {
	spec := &v1.QueryServiceSpec{Path: "/query", Servers: servers, Limits: v1.Limits{Queue: 100}}
	rig.service.Store(&config.Service{Name: testService, Revision: revision, Spec: spec})
}

func (rig *rig) Service(string) (*config.Service, bool) { return rig.service.Load(), true }
func (rig *rig) Services() []*config.Service            { return []*config.Service{rig.service.Load()} }
func (rig *rig) Leaving(string) bool                    { return rig.leaving.Load() }

func (rig *rig) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	conn := &pipe{Conn: near, gone: make(chan struct{})}
	go rig.serve(far, conn.gone)
	return conn, nil
}

func (rig *rig) serve(conn net.Conn, gone <-chan struct{}) {
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
		if rig.sheds.Add(-1) >= 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nDriftstage-Not-Run: true\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := string(request.Header.Peek("Driftstage-Request-Id"))
		if !rig.work(gone) {
			return
		}
		body := fmt.Sprintf(`{"requestId":%q,"snapshot":41,"parts":[{"shard":0,"body":1}]}`, id)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nDriftstage-Request-Id: %s\r\nDriftstage-Snapshot: 41\r\nDriftstage-Shards: 0\r\n%sContent-Length: %d\r\n\r\n%s",
			id, *rig.headers.Load(), len(body), body)
		if err != nil {
			return
		}
	}
}

// work takes its time and tells whether the sender is still there.
func (rig *rig) work(gone <-chan struct{}) bool {
	rig.executed.Add(1)
	running := rig.running.Add(1)
	defer rig.running.Add(-1)
	for highest := rig.highest.Load(); running > highest; highest = rig.highest.Load() {
		rig.highest.CompareAndSwap(highest, running)
	}
	timer := time.NewTimer(rig.takes)
	defer timer.Stop()
	if rig.obeys {
		select {
		case <-gone:
			return false
		case <-timer.C:
			return true
		}
	}
	<-timer.C
	select {
	case <-gone:
		return false
	default:
		return true
	}
}

var lastAttempt atomic.Int64

func (rig *rig) execute(ctx context.Context, remaining time.Duration) *message.SubReply {
	id := lastAttempt.Add(1)
	return rig.manager.Execute(ctx, &message.SubRequest{
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

// start executes in the background and returns where the reply comes.
func (rig *rig) start(ctx context.Context, remaining time.Duration) <-chan *message.SubReply {
	replies := make(chan *message.SubReply, 1)
	go func() { replies <- rig.execute(ctx, remaining) }()
	synctest.Wait()
	return replies
}

// bubble runs a test in fake time and closes the connections at its end.
func bubble(t *testing.T, spec v1.Server, test func(*testing.T, *is.I, *rig)) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRig(spec)
		test(t, is.New(t), rig)
		rig.configure(1<<40, v1.Server{Name: "other"})
		rig.manager.takeUp(time.Now())
		time.Sleep(time.Minute)
	})
}

func serverSpecOf(slots, connections int) v1.Server {
	return v1.Server{Name: testServer, Address: "127.0.0.1:1", Slots: slots, Connections: connections}
}

func wasNotRun(reply *message.SubReply, code verdict.Code) bool {
	return verdict.Verdict(reply.Verdict) == verdict.NotRun && verdict.Code(reply.Code) == code
}

func TestServerNeverGetsMoreThanItsWindow(t *testing.T) {
	bubble(t, serverSpecOf(3, 5), func(t *testing.T, is *is.I, rig *rig) {
		var group sync.WaitGroup
		for range 60 {
			group.Go(func() {
				reply := rig.execute(t.Context(), time.Minute)
				is.Equal(reply.Code, "")
				is.True(reply.Load.InFlight <= reply.Load.Window)
			})
		}
		group.Wait()
		is.Equal(rig.executed.Load(), int32(60))
		is.True(rig.highest.Load() <= 4) // one of five connections is for polls
		is.True(rig.highest.Load() >= 3)
	})
}

func TestCancelledWhileQueuedIsNotRun(t *testing.T) {
	bubble(t, serverSpecOf(1, 2), func(t *testing.T, is *is.I, rig *rig) {
		first := rig.start(t.Context(), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		second := rig.start(ctx, time.Second)
		cancel()
		synctest.Wait()
		is.Equal(len(second), 1) // at once, not when its turn would come
		is.True(wasNotRun(<-second, verdict.CodeCanceled))
		is.Equal((<-first).Code, "")
		time.Sleep(time.Second)
		is.Equal(rig.executed.Load(), int32(1))
	})
}

// An attempt that the server shed is queued once more, and then refused.
func TestShedAttemptIsQueuedOnceMore(t *testing.T) {
	bubble(t, serverSpecOf(2, 3), func(t *testing.T, is *is.I, rig *rig) {
		rig.sheds.Store(1)
		is.Equal(rig.execute(t.Context(), time.Second).Code, "")
		rig.sheds.Store(2)
		is.True(wasNotRun(rig.execute(t.Context(), time.Second), verdict.CodeShed))
		is.Equal(rig.executed.Load(), int32(1))
	})
}

// An attempt that was given up counts until its server has ended it.
func TestGivenUpAttemptHoldsItsSlot(t *testing.T) {
	for name, obeys := range map[string]bool{"server obeys": true, "server works on": false} {
		t.Run(name, func(t *testing.T) {
			bubble(t, serverSpecOf(1, 3), func(t *testing.T, is *is.I, rig *rig) {
				rig.obeys = obeys
				ctx, cancel := context.WithCancel(t.Context())
				first := rig.start(ctx, time.Second)
				second := rig.start(t.Context(), time.Second)
				cancel()
				given := <-first
				is.Equal(verdict.Verdict(given.Verdict), verdict.MayHaveRun)
				synctest.Wait()
				is.Equal(rig.executed.Load() == 2, obeys)
				is.Equal((<-second).Code, "")
				is.Equal(rig.highest.Load(), int32(1))
			})
		})
	}
}

// A process that was stopped past the deadline must not send on what it had queued.
func TestPausedWhileQueuedIsNotRun(t *testing.T) {
	bubble(t, serverSpecOf(1, 2), func(t *testing.T, is *is.I, rig *rig) {
		first := rig.start(t.Context(), 10*time.Second)
		second := rig.start(t.Context(), 300*time.Millisecond)
		rig.skew.Store(int64(time.Second))
		is.Equal((<-first).Code, "")
		is.True(wasNotRun(<-second, verdict.CodeDeadline))
		is.Equal(rig.executed.Load(), int32(1))
	})
}

// A request that lay in a socket buffer while the process was stopped has lost
// the time of the pause.
func TestReadAfterPauseIsNotRun(t *testing.T) {
	bubble(t, serverSpecOf(1, 2), func(t *testing.T, is *is.I, rig *rig) {
		rig.manager.pauses.beat(rig.manager.options.Now())
		rig.skew.Store(int64(time.Second))
		is.True(wasNotRun(rig.execute(t.Context(), 500*time.Millisecond), verdict.CodeDeadline))
		is.Equal(rig.execute(t.Context(), 2*time.Second).Code, "")
		rig.manager.pauses.beat(rig.manager.options.Now())
		time.Sleep(pauseGrace)
		rig.manager.pauses.beat(rig.manager.options.Now())
		is.Equal(rig.execute(t.Context(), 500*time.Millisecond).Code, "")
		is.Equal(rig.executed.Load(), int32(2))
	})
}

// Nothing new goes to a server after the first signal that it leaves, from
// wherever it comes; what waits is refused, what runs is finished.
func TestDrainSignals(t *testing.T) {
	draining := "Driftstage-Draining: true\r\n"
	signals := map[string]func(*rig){
		"reply":        func(rig *rig) { rig.headers.Store(&draining) },
		"machine list": func(rig *rig) { rig.leaving.Store(true) },
		"resource": func(rig *rig) {
			spec := serverSpecOf(1, 2)
			spec.Draining = true
			rig.configure(2, spec)
		},
		"gone from resource": func(rig *rig) { rig.configure(2, v1.Server{Name: "other", Address: "127.0.0.1:2"}) },
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			bubble(t, serverSpecOf(1, 2), func(t *testing.T, is *is.I, rig *rig) {
				first := rig.start(t.Context(), 10*time.Second)
				second := rig.start(t.Context(), 10*time.Second)
				signal(rig)
				if name != "reply" {
					rig.manager.reconcile(t.Context())
					is.True(wasNotRun(<-second, verdict.CodeDraining))
				}
				is.Equal((<-first).Code, "")
				if name == "reply" {
					is.True(wasNotRun(<-second, verdict.CodeDraining))
				}
				is.True(wasNotRun(rig.execute(t.Context(), time.Second), verdict.CodeDraining))
				is.Equal(rig.executed.Load(), int32(1))
			})
		})
	}
}

func TestStopFinishesWhatWasLetIn(t *testing.T) {
	bubble(t, serverSpecOf(1, 2), func(t *testing.T, is *is.I, rig *rig) {
		replies := []<-chan *message.SubReply{rig.start(t.Context(), time.Second), rig.start(t.Context(), time.Second)}
		stopped := make(chan error, 1)
		go func() { stopped <- rig.manager.Stop(t.Context()) }()
		synctest.Wait()
		refused := rig.execute(t.Context(), time.Second)
		is.True(wasNotRun(refused, verdict.CodeDraining))
		is.True(!refused.Load.Draining) // the node leaves, not the server
		is.Equal(len(stopped), 0)
		for _, reply := range replies {
			is.Equal((<-reply).Code, "")
		}
		is.NoErr(<-stopped)
	})
}

func TestLoadsAsksForVersions(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		_, _ = io.WriteString(ctx, `{"running":0,"slots":3,"snapshots":[40,41],"draining":false}`)
	}}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	rig := newRig(serverSpecOf(3, 5))
	rig.manager.options.Dial = nil
	spec := serverSpecOf(3, 5)
	spec.Address = listener.Addr().String()
	rig.configure(2, spec)
	request := &message.LoadRequest{Service: testService, Servers: []string{testServer, "unknown"}}
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		reply := rig.manager.Loads(request)
		is.Equal(len(reply.Loads), 1)
		if len(reply.Loads[0].SnapshotsHeld) > 0 {
			is.Equal(reply.Loads[0].SnapshotsHeld, []int64{40, 41})
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("versions never became known")
}

// The load endpoint lags: what it says of versions never replaces newer ones
// that replies have told of.
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
		known.learn(time.Now(), false, known.notOlder(step.polled))
		is.Equal(known.held, step.want)
	}
}
