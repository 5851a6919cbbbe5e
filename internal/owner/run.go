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
	// pollInterval is how often a server's load is polled.
	pollInterval = time.Second
	// pollConcurrency bounds the number of concurrent load polls.
	pollConcurrency = 16
	// unusedTimeout is how long the state of an idle server is kept after its last
	// use; servers that this node owns are always in use.
	unusedTimeout = 10 * time.Second
)

// Run polls the servers that this node owns or serves, removes servers that are no
// longer configured, and detects pauses of the process, until ctx ends.
func (manager *Manager) Run(ctx context.Context) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	pollToken := make(chan struct{}, 1)
	pollToken <- struct{}{}
	nextPoll := time.Time{}
	for {
		now := manager.options.Now()
		manager.pauses.beat(now)
		if !now.Before(nextPoll) {
			select {
			case <-pollToken:
				nextPoll = now.Add(pollInterval)
				go func() {
					manager.reconcile(ctx)
					pollToken <- struct{}{}
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

// reconcile updates the set of servers and polls all of them once.
func (manager *Manager) reconcile(ctx context.Context) {
	now := manager.options.Now()
	wanted := manager.updateServers(now)
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

// updateServers creates the state of owned servers, applies the newest revision to
// all servers, removes those that are no longer configured or used here, and
// returns the remaining ones.
func (manager *Manager) updateServers(now time.Time) []*server {
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
	kept, removed := manager.removeUnused(now, configured)
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

// removeUnused removes the servers that are no longer configured, and those that
// another node owns and that are unused here, since connections from here count at
// the server too. It returns the kept and the removed servers.
func (manager *Manager) removeUnused(now time.Time, configured map[serverKey]*config.Service) (map[serverKey]*server, []*server) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	kept := make(map[serverKey]*server, len(manager.servers))
	var removed []*server
	for key, server := range manager.servers {
		unused := now.Sub(server.usedAt) > unusedTimeout && server.idle()
		if configured[key] != nil && !unused {
			kept[key] = server
			continue
		}
		removed = append(removed, server)
		delete(manager.servers, key)
	}
	return kept, removed
}
