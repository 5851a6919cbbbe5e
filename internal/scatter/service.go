package scatter

import (
	"context"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/placement"
	"github.com/driftstage/driftstage/internal/query"
	"github.com/driftstage/driftstage/internal/snapshot"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

const (
	// refreshInterval is how often the loads of servers that get no regular attempts
	// are requested while there are queries.
	refreshInterval = time.Second
	// refreshTimeout bounds one load request.
	refreshTimeout = 500 * time.Millisecond
	// pinRetryInterval is the retry interval while no index version is known.
	pinRetryInterval = 20 * time.Millisecond
)

// service is this node's state of one service. Its mutex guards the fleet and
// every query core that uses it.
type service struct {
	scatterer *Scatterer
	name      string
	log       *serviceLog

	mutex  sync.Mutex
	fleet  *query.Fleet
	pinned *config.Service
	shards *query.ShardMap
	// routes holds the owners of each server by its name; routed is the member list
	// from which they were computed.
	routed *members
	routes map[string]route

	// refreshing is closed when the running refresh has ended; nil if there is none.
	refreshing  chan struct{}
	refreshedAt time.Time
}

func newService(scatterer *Scatterer, name string) *service {
	return &service{
		scatterer: scatterer,
		name:      name,
		log:       newServiceLog(name),
		fleet:     query.NewFleet(scatterer.options.Zone),
	}
}

// configure returns the newest revision seen and its shard map.
func (service *service) configure(offered *config.Service) (*config.Service, *query.ShardMap) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.pinned == nil || offered.Revision > service.pinned.Revision {
		service.pinned = offered
		service.shards = service.fleet.Configure(offered.Revision, offered.Spec)
		service.routed = nil
	}
	return service.pinned, service.shards
}

// updateRoutes recomputes the owners of all servers if the members have changed.
func (service *service) updateRoutes(now time.Time) {
	current := service.scatterer.members.current(now)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.routed == current {
		return
	}
	service.routed = current
	service.routes = make(map[string]route)
	service.fleet.EachServer(func(server *query.Server) {
		placed := placement.Server{Service: service.name, Name: server.Name, Zone: server.Zone}
		first, second := current.index.Rank(placed)
		server.Owner = first
		server.OwnerSuspect = current.suspects[first]
		service.routes[server.Name] = route{first: current.target(first), second: current.target(second)}
	})
}

// pin chooses the index version. If none is known, it first requests loads from
// the owners.
func (service *service) pin(ctx context.Context, deadline time.Time) (snapshot.Choice, *verdict.Error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		service.mutex.Lock()
		choice := service.fleet.Snapshot()
		refreshed := service.refresh()
		service.mutex.Unlock()
		if choice.Version != snapshot.NoVersion {
			return choice, nil
		}
		select {
		case <-refreshed:
		case <-time.After(pinRetryInterval):
		case <-timer.C:
			return choice, notReady(verdict.CodeVersionNotHeld, "no index version is known")
		case <-ctx.Done():
			return choice, notReady(verdict.CodeCanceled, "given up before anything was sent")
		}
	}
}

func notReady(code verdict.Code, message string) *verdict.Error {
	failure := verdict.New(verdict.NotRun, code, "%s", message)
	failure.RetryAfter = refreshInterval
	return failure
}

// refresh requests loads from owners in the background, for the servers that need
// it, and returns a channel that is closed when that has ended; nil if nothing is
// running. The mutex is held.
func (service *service) refresh() <-chan struct{} {
	if service.refreshing != nil {
		return service.refreshing
	}
	interval := refreshInterval
	if service.fleet.Snapshot().Version == snapshot.NoVersion {
		interval = pinRetryInterval
	}
	done := make(chan struct{})
	now := time.Now()
	if now.Sub(service.refreshedAt) < interval {
		return nil
	}
	service.refreshedAt = now
	requests := service.serversToRefresh(now)
	if len(requests) == 0 {
		return nil
	}
	service.refreshing = done
	go service.requestLoads(requests, done)
	return done
}

// serversToRefresh groups the servers whose load is needed by their owner.
func (service *service) serversToRefresh(now time.Time) map[target][]string {
	requests := make(map[target][]string)
	service.fleet.EachServer(func(server *query.Server) {
		if !service.fleet.NeedsRefresh(now, server) {
			return
		}
		owner := service.routes[server.Name].first
		if owner.id != "" {
			requests[owner] = append(requests[owner], server.Name)
		}
	})
	return requests
}

func (service *service) requestLoads(requests map[target][]string, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	var group sync.WaitGroup
	for owner, servers := range requests {
		group.Go(func() {
			request := &message.LoadRequest{Service: service.name, Servers: servers}
			reply, err := service.scatterer.loads(ctx, owner, request)
			if err != nil {
				return
			}
			service.mutex.Lock()
			defer service.mutex.Unlock()
			for index := range reply.Loads {
				service.fleet.ObserveLoad(time.Now(), reply.Loads[index].Server, loadOf(&reply.Loads[index]))
			}
		})
	}
	group.Wait()
	service.mutex.Lock()
	service.refreshing = nil
	service.mutex.Unlock()
	close(done)
}

func (scatterer *Scatterer) loads(ctx context.Context, owner target, request *message.LoadRequest) (*message.LoadReply, error) {
	if owner.id == scatterer.options.NodeID {
		return scatterer.options.Local.Loads(request), nil
	}
	return scatterer.options.Owners.Loads(ctx, owner.address, request)
}

func loadOf(load *message.ServerLoad) query.Load {
	return query.Load{
		Queued:        load.Queued,
		InFlight:      load.InFlight,
		Window:        load.Window,
		Wait:          time.Duration(load.WaitMicros) * time.Microsecond,
		Draining:      load.Draining,
		Ejected:       load.Ejected,
		SnapshotsHeld: load.SnapshotsHeld,
	}
}
