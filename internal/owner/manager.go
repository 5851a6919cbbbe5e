package owner

import (
	"context"
	"net"
	"sync"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// Services is this node's view of the accepted configuration.
type Services interface {
	Service(name string) (*config.Service, bool)
	Services() []*config.Service
}

// Ownership reports which servers this node owns by placement.
type Ownership interface {
	Owns(service, server string) bool
}

// Machines provides access to the platform's machine list.
type Machines interface {
	// Leaving reports whether the machine of the IP:port is listed as leaving.
	Leaving(address string) bool
}

// Options configures a Manager.
type Options struct {
	Services Services
	// Ownership selects the servers that Run polls; nil polls only servers in use.
	Ownership Ownership
	// Machines may be nil.
	Machines Machines
	// Now reads the clock; nil means time.Now. Its monotonic reading is required.
	Now func() time.Time
	// Dial opens connections to servers; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics may be nil.
	Metrics *Metrics
}

// Manager holds the admission state and the connections of every server that
// this node serves. The state of a server is created on its first use.
type Manager struct {
	options Options
	pauses  pauseDetector

	mutex    sync.Mutex
	servers  map[serverKey]*server
	stopping bool
	// active counts attempts that were accepted and have not been answered.
	active sync.WaitGroup
}

type serverKey struct {
	service string
	server  string
}

// NewManager returns a manager without servers.
func NewManager(options Options) *Manager {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	return &Manager{
		options: options,
		servers: make(map[serverKey]*server),
	}
}

// Execute runs one attempt at one server and returns its parts, or a failure with
// its verdict. It never runs an attempt more than once.
func (manager *Manager) Execute(ctx context.Context, request *message.SubRequest) *message.SubReply {
	now := manager.options.Now()
	deadline := now.Add(time.Duration(request.RemainingMicros)*time.Microsecond - manager.pauses.lost(now))
	reply := &message.SubReply{AttemptID: request.AttemptID}
	if failure := manager.enter(); failure != nil {
		fail(reply, failure)
		return reply
	}
	defer manager.active.Done()
	server, failure := manager.find(now, request)
	if failure != nil {
		fail(reply, failure)
		return reply
	}
	server.execute(ctx, request, deadline, reply)
	manager.options.Metrics.answered(reply)
	return reply
}

// enter registers an attempt as active, unless the node is stopping.
func (manager *Manager) enter() *verdict.Error {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.stopping {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "node is stopping")
	}
	manager.active.Add(1)
	return nil
}

// find returns the server of a request according to this node's newest revision.
func (manager *Manager) find(now time.Time, request *message.SubRequest) (*server, *verdict.Error) {
	service, ok := manager.options.Services.Service(request.Service)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeRevisionMismatch, "service %q is not known here", request.Service)
	}
	found := manager.server(now, service, request.Server)
	if found != nil {
		return found, nil
	}
	if service.Revision > request.Revision {
		return nil, verdict.New(verdict.NotRun, verdict.CodeDraining, "server %q is gone in revision %d", request.Server, service.Revision)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeRevisionMismatch, "server %q is not known in revision %d", request.Server, service.Revision)
}

// server returns the state of a server, updated to the service's revision, or nil
// if the service does not list it.
func (manager *Manager) server(now time.Time, service *config.Service, name string) *server {
	key := serverKey{service: service.Name, server: name}
	manager.mutex.Lock()
	found, ok := manager.servers[key]
	if ok {
		found.usedAt = now
	}
	if ok && found.revision.Load() >= service.Revision {
		manager.mutex.Unlock()
		return found
	}
	spec := serverSpec(service, name)
	if spec == nil {
		manager.mutex.Unlock()
		return nil
	}
	if !ok {
		found = newServer(manager.options, service, spec)
		found.usedAt = now
		manager.servers[key] = found
	}
	manager.mutex.Unlock()
	found.configure(now, service, spec)
	return found
}

func serverSpec(service *config.Service, name string) *v1.Server {
	for index := range service.Spec.Servers {
		if service.Spec.Servers[index].Name == name {
			return &service.Spec.Servers[index]
		}
	}
	return nil
}

// Loads returns the loads of servers of a service. Servers whose index versions
// are not known yet are polled in the background.
func (manager *Manager) Loads(request *message.LoadRequest) *message.LoadReply {
	reply := &message.LoadReply{}
	service, ok := manager.options.Services.Service(request.Service)
	if !ok {
		return reply
	}
	now := manager.options.Now()
	for _, name := range request.Servers {
		server := manager.server(now, service, name)
		if server == nil {
			continue
		}
		load := server.load()
		if len(load.SnapshotsHeld) == 0 {
			go server.poll(context.Background())
		}
		reply.Loads = append(reply.Loads, load)
	}
	return reply
}

// Stop refuses new attempts as NotRun and waits until all accepted attempts are
// answered, or ctx is done.
func (manager *Manager) Stop(ctx context.Context) error {
	manager.mutex.Lock()
	manager.stopping = true
	manager.mutex.Unlock()
	finished := make(chan struct{})
	go func() {
		manager.active.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
