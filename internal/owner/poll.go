package owner

import (
	"context"
	"slices"
	"time"
)

// poll requests the server's load: its index versions and a draining hint.
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
		server.observe(now, load.Draining, server.notOlder(load.Snapshots))
	}
	server.updateDrain(now)
}

// notOlder returns the polled index versions, or nil if replies have already
// reported newer ones, since the load endpoint lags.
func (server *server) notOlder(polled []int64) []int64 {
	if len(polled) == 0 || len(server.held) == 0 || slices.Max(polled) >= slices.Max(server.held) {
		return polled
	}
	return nil
}

// observe applies the state reported by a reply or a poll. The mutex is held. The
// slice is replaced, never modified, because load reports share it.
func (server *server) observe(now time.Time, draining bool, held []int64) {
	if draining {
		server.drainSeen = now
		server.updateDrain(now)
	}
	if held != nil && !slices.Equal(held, server.held) {
		server.held = held
	}
}
