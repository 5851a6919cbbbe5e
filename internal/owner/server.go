package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/admission"
	"github.com/driftstage/driftstage/internal/backend"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

const (
	// pollConnections is the number of connections reserved for load polls.
	pollConnections = 1
	// pollTimeout bounds one load poll.
	pollTimeout = 500 * time.Millisecond
	// shedRetries is how often an attempt that the server shed is queued again.
	shedRetries = 1
	// drainHold is how long an announced drain overrides a load endpoint that
	// reports no draining, since that endpoint lags.
	drainHold = 15 * time.Second
)

// server is one back-end server: its admission core, its connections, and the
// state reported by its replies.
type server struct {
	options  Options
	name     string
	revision atomic.Int64
	// usedAt is when the server was last used; the manager's mutex guards it.
	usedAt time.Time

	mutex   sync.Mutex
	core    *admission.Server
	client  *backend.Client
	address string
	path    string
	waiters map[admission.ID]*waiter
	lastID  admission.ID
	// held are the index versions that the server last reported.
	held []int64
	// drainConfigured is the draining state in the resource; drainSeen is when the
	// server itself last announced draining, zero for never.
	drainConfigured bool
	drainSeen       time.Time
	polling         bool
	log             serverLog
}

// waiter is an attempt offered to the admission core and not decided yet.
type waiter struct {
	decided bool
	failure *verdict.Error
	// ready is created only if the attempt has to wait.
	ready chan struct{}
}

func newServer(options Options, service *config.Service, spec *v1.Server) *server {
	return &server{
		options: options,
		name:    spec.Name,
		core:    admission.NewServer(limitsOf(service, spec)),
		waiters: make(map[admission.ID]*waiter),
		log:     newServerLog(service.Name, spec.Name),
	}
}

func limitsOf(service *config.Service, spec *v1.Server) admission.Limits {
	return admission.Limits{
		Slots:  spec.Slots,
		Window: max(spec.Connections-pollConnections, 1),
		Queue:  service.Spec.Limits.Queue,
	}
}

// configure applies a newer revision of the resource.
func (server *server) configure(now time.Time, service *config.Service, spec *v1.Server) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.client != nil && service.Revision <= server.revision.Load() {
		return
	}
	if server.address != spec.Address || server.path != service.Spec.Path {
		server.connect(spec, service.Spec.Path)
	}
	server.client.SetConnections(spec.Connections)
	server.drainConfigured = spec.Draining
	server.apply(server.core.SetLimits(now, limitsOf(service, spec)))
	server.updateDrain(now)
	server.revision.Store(service.Revision)
}

// update applies the service's revision if it is newer, re-evaluates the draining
// signals, and closes connections that have been idle for too long.
func (server *server) update(now time.Time, service *config.Service) {
	if service.Revision > server.revision.Load() {
		if spec := serverSpec(service, server.name); spec != nil {
			server.configure(now, service, spec)
		}
	}
	server.mutex.Lock()
	server.updateDrain(now)
	client := server.client
	server.mutex.Unlock()
	client.CloseIdle()
}

// connect replaces the client; attempts in flight finish on the old one.
func (server *server) connect(spec *v1.Server, path string) {
	if server.client != nil {
		server.client.Close()
	}
	server.address = spec.Address
	server.path = path
	server.held = nil
	server.drainSeen = time.Time{}
	server.client = backend.NewClient(backend.Options{
		Address:     spec.Address,
		Path:        path,
		Connections: spec.Connections,
		Dial:        server.options.Dial,
	})
}

// updateDrain passes to the core whether any source reports that the server is
// draining: the resource, the server itself or the machine list.
func (server *server) updateDrain(now time.Time) {
	leaving := server.options.Machines != nil && server.options.Machines.Leaving(server.address)
	draining := server.drainConfigured || !server.drainSeen.IsZero() || leaving
	server.apply(server.core.Drain(now, draining))
	server.log.state(server.core.View())
}

// remove refuses the queued attempts and closes connections as they become idle.
func (server *server) remove(now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.apply(server.core.Drain(now, true))
	server.client.Close()
}

// execute runs one attempt and fills in its reply. An attempt that the server sheds
// has not run: it is queued once more for a free slot, which saves the gateway a
// retry.
func (server *server) execute(ctx context.Context, request *message.SubRequest, deadline time.Time, reply *message.SubReply) {
	for remaining := shedRetries; ; remaining-- {
		result := server.attempt(ctx, request, deadline)
		if !shed(result) || remaining == 0 {
			fill(reply, result)
			reply.Load = server.load()
			return
		}
	}
}

// attempt waits for admission and sends the attempt to the server once.
func (server *server) attempt(ctx context.Context, request *message.SubRequest, deadline time.Time) backend.Result {
	id, client, failure := server.admit(ctx, v1.Class(request.Class), deadline)
	if failure != nil {
		return backend.Result{Failure: failure}
	}
	started := &execution{server: server, id: id, request: request.RequestID}
	result := client.Do(ctx, backendRequest(request, deadline), started.end)
	started.recordOutcome(result)
	return result
}

// shed reports whether the server refused the attempt because of load, without running it.
func shed(result backend.Result) bool {
	failure := result.Failure
	return failure != nil && failure.Verdict == verdict.NotRun && failure.Code == verdict.CodeShed
}

// admit waits until the attempt may be sent, or returns why it was refused. A
// refused attempt was not and will not be sent.
func (server *server) admit(ctx context.Context, class v1.Class, deadline time.Time) (admission.ID, *backend.Client, *verdict.Error) {
	server.mutex.Lock()
	now := server.options.Now()
	if !now.Before(deadline) {
		server.mutex.Unlock()
		return 0, nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "deadline passed before admission")
	}
	server.updateDrain(now)
	server.lastID++
	id := server.lastID
	waiter := &waiter{}
	server.waiters[id] = waiter
	server.apply(server.core.Offer(now, admission.Request{ID: id, Class: class, Deadline: deadline}))
	if !waiter.decided {
		waiter.ready = make(chan struct{})
	}
	client := server.client
	server.mutex.Unlock()
	if waiter.ready != nil {
		server.wait(ctx, id, waiter, deadline)
	}
	if waiter.failure == nil && ctx.Err() != nil {
		return 0, nil, server.releaseUnsent(id)
	}
	return id, client, waiter.failure
}

// wait returns when the attempt is decided. On cancellation or at the deadline it
// cancels the attempt, which decides it.
func (server *server) wait(ctx context.Context, id admission.ID, waiter *waiter, deadline time.Time) {
	timer := time.NewTimer(deadline.Sub(server.options.Now()))
	defer timer.Stop()
	select {
	case <-waiter.ready:
		return
	case <-ctx.Done():
	case <-timer.C:
	}
	server.mutex.Lock()
	server.apply(server.core.Cancel(server.options.Now(), id))
	server.mutex.Unlock()
	<-waiter.ready
}

// releaseUnsent frees the slot of an attempt that was admitted but not sent.
func (server *server) releaseUnsent(id admission.ID) *verdict.Error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.apply(server.core.Release(server.options.Now(), id))
	return verdict.New(verdict.NotRun, verdict.CodeCanceled, "given up before it was sent")
}

// apply passes decisions of the core to their waiters. The mutex is held.
func (server *server) apply(actions []admission.Action) {
	for _, action := range actions {
		waiter := server.waiters[action.ID]
		delete(server.waiters, action.ID)
		waiter.decided = true
		waiter.failure = action.Failure
		if waiter.ready != nil {
			close(waiter.ready)
		}
	}
}

// load returns the state as reported to gateways.
func (server *server) load() message.ServerLoad {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	view := server.core.View()
	return message.ServerLoad{
		Server:        server.name,
		Queued:        view.Queued,
		InFlight:      view.InFlight,
		Window:        view.Window,
		WaitMicros:    view.Wait.Microseconds(),
		Draining:      view.Draining,
		Ejected:       view.Ejected,
		SnapshotsHeld: server.held,
	}
}

// idle reports whether no attempt is in flight or queued.
func (server *server) idle() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	view := server.core.View()
	return view.InFlight == 0 && view.Queued == 0
}
