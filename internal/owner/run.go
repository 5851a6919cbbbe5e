package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/config"
	"golang.org/x/sync/errgroup"
)

const (
	// pollInterval is how often a server is asked for its load.
	pollInterval = time.Second
	// pollConcurrency bounds the load polls at a time.
	pollConcurrency = 16
	// unusedAfter is how long the state of a server is kept that this node neither
	// owns nor is asked for.
	unusedAfter = 10 * time.Second
)

// Run polls the servers that this node owns or serves, lets go of servers that
// left the configuration, and watches for pauses of the process, until ctx ends.
func (manager *Manager) Run(ctx context.Context) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	polls := make(chan struct{}, 1)
	polls <- struct{}{}
	next := time.Time{}
	for {
		now := manager.options.Now()
		manager.pauses.beat(now)
		if !now.Before(next) {
			select {
			case <-polls:
				next = now.Add(pollInterval)
				go func() {
					manager.reconcile(ctx)
					polls <- struct{}{}
				}()
			default:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		}
	}
}

// reconcile does one round of polls and removals.
func (manager *Manager) reconcile(ctx context.Context) {
	now := manager.options.Now()
	wanted := manager.takeUp(now)
	var polls errgroup.Group
	polls.SetLimit(pollConcurrency)
	for _, server := range wanted {
		polls.Go(func() error {
			server.poll(ctx)
			return nil
		})
	}
	_ = polls.Wait()
}

// takeUp creates the state of owned servers, brings all to the newest revision,
// lets go of those that left the configuration or are no longer used here, and
// returns what remains.
func (manager *Manager) takeUp(now time.Time) []*server {
	configured := make(map[serverKey]*config.Service)
	for _, service := range manager.options.Services.Services() {
		for index := range service.Spec.Servers {
			key := serverKey{service: service.Name, server: service.Spec.Servers[index].Name}
			configured[key] = service
			if manager.owns(key) {
				manager.server(now, service, key.server)
			}
		}
	}
	kept, removed := manager.sift(now, configured)
	for _, server := range removed {
		server.remove(now)
	}
	for key, server := range kept {
		server.update(now, configured[key])
	}
	return slices.Collect(maps.Values(kept))
}

func (manager *Manager) owns(key serverKey) bool {
	return manager.options.Ownership != nil && manager.options.Ownership.Owns(key.service, key.server)
}

// sift takes out the servers that have left the configuration or that another
// node owns and nobody asks for here: their connections count at the server.
func (manager *Manager) sift(now time.Time, configured map[serverKey]*config.Service) (map[serverKey]*server, []*server) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	kept := make(map[serverKey]*server, len(manager.servers))
	var removed []*server
	for key, server := range manager.servers {
		unused := now.Sub(server.usedAt) > unusedAfter && server.idle()
		if configured[key] != nil && !unused {
			kept[key] = server
			continue
		}
		removed = append(removed, server)
		delete(manager.servers, key)
	}
	return kept, removed
}
