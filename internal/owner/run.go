package owner

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// pollInterval is how often a server is asked for its load.
	pollInterval = time.Second
	// pollConcurrency bounds the load polls at a time.
	pollConcurrency = 16
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

// takeUp creates the state of owned servers, removes that of servers no longer
// configured, and returns what remains.
func (manager *Manager) takeUp(now time.Time) []*server {
	configured := make(map[serverKey]bool)
	for _, service := range manager.options.Services.Services() {
		for index := range service.Spec.Servers {
			name := service.Spec.Servers[index].Name
			configured[serverKey{service: service.Name, server: name}] = true
			if manager.options.Ownership != nil && manager.options.Ownership.Owns(service.Name, name) {
				manager.server(now, service, name)
			}
		}
	}
	manager.mutex.Lock()
	var kept, removed []*server
	for key, server := range manager.servers {
		if configured[key] {
			kept = append(kept, server)
			continue
		}
		removed = append(removed, server)
		delete(manager.servers, key)
	}
	manager.mutex.Unlock()
	for _, server := range removed {
		server.remove(now)
	}
	return kept
}
