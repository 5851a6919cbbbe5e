package owner

import (
	"context"
	"slices"
	"time"
)

// poll asks the server for its load: index versions, and a hint of draining.
func (server *server) poll(ctx context.Context) {
	server.mutex.Lock()
	busy := server.polling
	server.polling = true
	client := server.client
	server.mutex.Unlock()
	if busy {
		return
	}
	load, err := client.Load(ctx, time.Now().Add(pollTimeout))
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.polling = false
	now := server.options.Now()
	if err == nil {
		if !load.Draining && now.Sub(server.drainSeen) > drainHold {
			server.drainSeen = time.Time{}
		}
		server.learn(now, load.Draining, server.notOlder(load.Snapshots))
	}
	server.updateDrain(now)
}

// notOlder returns what a poll said of the index versions, or nil when replies
// have told of newer ones: the load endpoint lags.
func (server *server) notOlder(polled []int64) []int64 {
	if len(polled) == 0 || len(server.held) == 0 || slices.Max(polled) >= slices.Max(server.held) {
		return polled
	}
	return nil
}

// learn takes over what a reply or a poll told. The mutex is held. The slice is
// replaced, never changed, for reports share it.
func (server *server) learn(now time.Time, draining bool, held []int64) {
	if draining {
		server.drainSeen = now
		server.updateDrain(now)
	}
	if held != nil && !slices.Equal(held, server.held) {
		server.held = held
	}
}
