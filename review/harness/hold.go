package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// Figures of the case: the index is repartitioned from 15 to 10 shards and to 15 again, a node is
// restarted, and a server of another service leaves.
const (
	holdHost      = "leno12.example"
	holdNodes     = 4
	holdLarge     = 15
	holdSmall     = 10
	holdServers   = 3
	holdDesks     = 7
	holdWork      = 10 * time.Millisecond
	holdDeskWork  = 300 * time.Millisecond
	holdQueryRate = 8.0
	holdDeskRate  = 14.0
	// holdNaming is the time from the start of a set's servers until a version names them.
	holdNaming = 3500 * time.Millisecond
	// holdWrite is the time between two writes of servers that change together.
	holdWrite = 2 * time.Millisecond
	// holdServesOn is how long the draining server serves on: drainMs and some seconds.
	holdServesOn = 4700 * time.Millisecond
)

// shardNames returns the services of a set of shards.
func shardNames(set string, count int) []string {
	services := make([]string, count)
	for shard := range services {
		services[shard] = fmt.Sprintf("%s-%02d", set, shard)
	}
	return services
}

// startShards starts the servers of a set of shards; before is called before each one.
func (w *world) startShards(services []string, before func() error) (started []*server, err error) {
	for _, service := range services {
		for number := range holdServers {
			if err := before(); err != nil {
				return nil, err
			}
			one, err := w.addServer(serverOptions{id: fmt.Sprintf("i-%s-%d", service, number), service: service,
				zone: zones[number].zone, slots: 5, queue: 30, work: holdWork})
			if err != nil {
				return nil, err
			}
			started = append(started, one)
		}
	}
	return started, nil
}

// configureIndex writes a version whose queries go to the shards.
func (w *world) configureIndex(version uint64, shards []string) error {
	w.record.line("the operator writes version %d: the index is %s to %s", version, shards[0], shards[len(shards)-1])
	return w.store.Configure(standin.Configuration{
		Version: version,
		Routes: []standin.Route{
			{Name: "search", Host: holdHost, PathPrefix: "/search/", Kind: "safe", TimeoutMs: 4000, TargetLatencyMs: 250,
				Gather: shards, MaxAttempts: 2, ResultCount: 20, MinVersion: 0.89},
			{Name: "booking", Host: holdHost, PathPrefix: "/booking/", Kind: "unsafe", TimeoutMs: 15000, TargetLatencyMs: 1000,
				Service: "depot-desk", MaxAttempts: 2},
		},
		Limits: limits,
	})
}

// restart stops a node by SIGTERM and starts it again.
func (w *world) restart(node *router) error {
	w.record.line("%s gets SIGTERM", node.name)
	node.signal(syscall.SIGTERM)
	if !node.wait(6 * time.Second) {
		return fmt.Errorf("%s has not stopped", node.name)
	}
	w.record.line("%s is started again", node.name)
	return node.start()
}

// playHold restarts a node; just after that one set of shards drains while the next one starts, and
// then a server of another service drains. It checks DRAIN.
func playHold(ctx context.Context, w *world) (bool, error) {
	nothing := func() error { return nil }
	first, second, third := shardNames("member-portal-a", holdLarge), shardNames("renter-app", holdSmall), shardNames("member-portal-b", holdLarge)
	firstServers, err := w.startShards(first, nothing)
	if err != nil {
		return false, err
	}
	var leaving *server
	for number := range holdDesks {
		leaving, err = w.addServer(serverOptions{id: fmt.Sprintf("i-depot-desk-%d", number), service: "depot-desk",
			zone: zones[number%len(zones)].zone, slots: 3, queue: 12, work: holdDeskWork})
		if err != nil {
			return false, err
		}
	}
	if err := w.configureIndex(1, first); err != nil {
		return false, err
	}
	if err := w.addRouters(ctx, holdNodes); err != nil {
		return false, err
	}
	// The nodes have counted each other after a few seconds.
	sleep(ctx, 7*time.Second)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	searches := &callers{record: w.record, method: http.MethodGet, host: holdHost, path: "/search/", prefix: "s", timeout: 4 * time.Second}
	bookings := &callers{record: w.record, method: http.MethodPost, host: holdHost, path: "/booking/", prefix: "b", timeout: 15 * time.Second}
	for number, target := range w.routers {
		group.Go(func() { searches.run(sending, target, holdQueryRate, rand.New(rand.NewPCG(uint64(number), 3))) })
		group.Go(func() { bookings.run(sending, target, holdDeskRate, rand.New(rand.NewPCG(uint64(number), 4))) })
	}

	// The second set starts, and a version names it.
	if _, err := w.startShards(second, nothing); err != nil {
		return false, err
	}
	w.record.line("the servers of the second set have started")
	sleep(ctx, holdNaming)
	if err := w.configureIndex(2, second); err != nil {
		return false, err
	}
	restarted := w.routers[holdNodes-1]
	if !w.trouble {
		sleep(ctx, 3100*time.Millisecond)
	} else if err := w.restart(restarted); err != nil {
		return false, err
	}
	startedAt := time.Now()
	if err := restarted.awaitReady(ctx, 5*time.Second); err != nil {
		return false, err
	}
	sleep(ctx, time.Until(startedAt.Add(time.Second)))

	// Version 2 has been due everywhere for a while: the first set drains, and the third one starts.
	drained := 0
	drainOne := func() error {
		old := firstServers[drained]
		drained++
		time.Sleep(holdWrite)
		err := w.store.Put("servers", old.id, old.entry(stateDraining))
		time.Sleep(holdWrite)
		return err
	}
	if _, err := w.startShards(third, drainOne); err != nil {
		return false, err
	}
	w.record.line("the store has acknowledged that the %d servers of the first set are draining and as many of the third one are ready", drained)
	sleep(ctx, 500*time.Millisecond)
	drainedAt, err := w.leave(ctx, leaving, leaving.entry(stateDraining), holdServesOn)
	if err != nil {
		return false, err
	}
	sleep(ctx, 2*time.Second)
	stop()
	group.Wait()
	inTouch := func(node string, at time.Time) bool {
		// A machine that was started less than contactMs ago is not in touch.
		return !w.trouble || node != restarted.name || at.After(startedAt.Add(contact))
	}
	return judgeDrain(w, leaving, drainedAt, inTouch, bookings.all()), nil
}
