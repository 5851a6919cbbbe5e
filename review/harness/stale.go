package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// Figures of the case: a route is moved between two services while stale reads of the store are
// seconds old.
const (
	staleNodes   = 3
	staleServers = 3
	staleWork    = 5 * time.Millisecond
	staleRate    = 30.0
	staleChanges = 5
	// staleLag is how old answers to reads with stale=1 are.
	staleLag = 5 * time.Second
	// stalePause is the time between two changes of the configuration.
	stalePause         = 9 * time.Second
	staleConfiguration = 3 * time.Second // configurationMs
)

// staleChange is one version of the configuration.
type staleChange struct {
	service        string
	acknowledgedAt time.Time
}

// playStale moves a route from one service to the other several times. It checks CONFIG.
func playStale(ctx context.Context, w *world) (bool, error) {
	const host = "hufi27.example"
	services := []string{"depot-desk", "dues-ledger"}
	serviceOf := make(map[string]string)
	for _, service := range services {
		for number := range staleServers {
			id := fmt.Sprintf("i-%s-%d", service, number)
			serviceOf[id] = service
			if _, err := w.addServer(serverOptions{id: id, service: service, zone: zones[number].zone, slots: 3, queue: 12, work: staleWork}); err != nil {
				return false, err
			}
		}
	}
	var changes []staleChange
	configure := func() error {
		version := uint64(len(changes) + 1)
		service := services[len(changes)%len(services)]
		err := w.store.Configure(standin.Configuration{
			Version: version,
			Routes: []standin.Route{{Name: "booking", Host: host, PathPrefix: "/booking/", Kind: "unsafe", TimeoutMs: 15000,
				TargetLatencyMs: 1000, Service: service, MaxAttempts: 2}},
			Limits: limits,
		})
		changes = append(changes, staleChange{service: service, acknowledgedAt: time.Now()})
		w.record.line("the store has acknowledged version %d: the route leads to %s", version, service)
		return err
	}
	if err := configure(); err != nil {
		return false, err
	}
	if w.trouble {
		w.store.SetFaults(standin.StoreFaults{StaleLag: staleLag})
		w.record.line("answers of the store to reads with stale=1 are %v old, all others are current", staleLag)
	}
	if err := w.addRouters(ctx, staleNodes); err != nil {
		return false, err
	}
	sleep(ctx, 6*time.Second)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	clients := &callers{record: w.record, method: http.MethodPost, host: host, path: "/booking/", prefix: "b", timeout: 15 * time.Second}
	for number, target := range w.routers {
		group.Go(func() { clients.run(sending, target, staleRate, rand.New(rand.NewPCG(uint64(number), 5))) })
	}
	for range staleChanges {
		sleep(ctx, 2*time.Second)
		if err := configure(); err != nil {
			return false, err
		}
		sleep(ctx, stalePause-2*time.Second)
	}
	stop()
	group.Wait()
	return judgeStale(w, changes, serviceOf, clients.all()), nil
}

// judgeStale counts the requests that were sent later than configurationMs after the
// acknowledgement of a version, and run by the service that only the older version allows.
func judgeStale(w *world, changes []staleChange, serviceOf map[string]string, outcomes []outcome) bool {
	runs := w.runs.byID()
	old := make(map[string]int)
	total := 0
	for _, seen := range outcomes {
		// The version that has to be in force for this request; later ones may be.
		due := 0
		for number, change := range changes {
			if seen.sent.After(change.acknowledgedAt.Add(staleConfiguration)) {
				due = number
			}
		}
		if due == 0 || due+1 < len(changes) && !seen.sent.Before(changes[due+1].acknowledgedAt) {
			// Nothing has changed yet, or the next version, which leads to the other service, may be in force.
			continue
		}
		for _, ran := range runs[seen.id] {
			if serviceOf[ran.server] == changes[due].service {
				continue
			}
			total++
			old[seen.node]++
			w.record.line("CONFIG: %s, sent to %s %.3f s after the acknowledgement of version %d, was run by %s of the old service",
				seen.id, seen.node, seen.sent.Sub(changes[due].acknowledgedAt).Seconds(), due+1, ran.server)
		}
	}
	w.record.result("%d requests", len(outcomes))
	w.record.result("CONFIG: %d requests sent later than configurationMs after the acknowledgement were run by the old service (0 allowed): %v", total, old)
	return total > 0
}
