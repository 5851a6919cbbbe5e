package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// maxUnlistedTime limits the time until the entry of a restarted server is written.
const maxUnlistedTime = 1200 * time.Millisecond

// Guards against confusing two incarnations of a server: what was learned about the earlier one, or
// sent to it, must not be attributed to the one restarted with the same id and address.
func TestSoakWithRestartedServers(t *testing.T) {
	soak(t, chosenSeed(), *soakTime, func(world *world, random *lockedRandom, done <-chan struct{}) {
		restarts := 0
		defer func() { t.Logf("%d servers restarted", restarts) }()
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(100+random.IntN(600)) * time.Millisecond):
			}
			if server := world.anyServer(random); slices.Contains(crashingShards, server.Spec().Service) && !server.Closed() {
				world.restartServer(t, random, server)
				restarts++
			}
		}
	})
}

// restartServer restarts a server with the same id and address. Its entry is replaced immediately,
// or removed for a while first, or describes the earlier incarnation for a while.
func (world *world) restartServer(t *testing.T, random *lockedRandom, server *standin.Server) {
	restarted, err := server.Restart()
	if err != nil {
		t.Errorf("restart of %s: %v", server.ID(), err)
		return
	}
	t.Cleanup(restarted.Close)
	delay := time.Duration(random.IntN(int(maxUnlistedTime)))
	switch random.IntN(3) {
	case 0:
		delay = 0
	case 1:
		world.store.Remove("servers", server.ID())
	}
	time.Sleep(delay)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.servers = append(slices.DeleteFunc(world.servers, func(known *standin.Server) bool { return known == server }), restarted)
	world.replaced = append(world.replaced, server)
	spec := restarted.Spec()
	spec.Address = world.proxyAddresses[server.ID()]
	if err := world.store.Put("servers", server.ID(), spec); err != nil {
		t.Error(err)
	}
}
