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

// Figures of the case: a seventh server is added to a service and restarts under its identifier
// while the time of day of its machine is behind; later it drains.
const (
	bornNodes   = 3
	bornServers = 7
	bornWork    = 220 * time.Millisecond
	bornRate    = 24.0
	// bornStep is by how much the time of day is behind, bornStepTime for how long.
	bornStep     = 2400 * time.Millisecond
	bornStepTime = 6 * time.Second
	// bornServesOn is how long the draining server serves on: drainMs and some seconds.
	bornServesOn = 8 * time.Second
)

// playBorn checks DRAIN.
func playBorn(ctx context.Context, w *world) (bool, error) {
	const service, host = "depot-desk", "hufi27.example"
	// timeOfDay is the time of day on the machine of the server.
	var steppedAt time.Time
	timeOfDay := func() time.Time {
		now := time.Now()
		if w.trouble && !steppedAt.IsZero() && now.Sub(steppedAt) < bornStepTime {
			return now.Add(-bornStep)
		}
		return now
	}
	startOne := func(number int, address string) (*server, entry, error) {
		s, err := startServer(serverOptions{id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zones[number%len(zones)].zone,
			slots: 3, queue: 12, work: bornWork, runs: w.runs, record: w.record, address: address})
		if err != nil {
			return nil, entry{}, err
		}
		w.servers = append(w.servers, s)
		written := s.entry(stateReady)
		written.Born = timeOfDay().UnixMilli()
		w.record.line("server %s has started, and the store has acknowledged its entry: born %d", s.id, written.Born)
		return s, written, w.store.Put("servers", s.id, written)
	}
	for number := range bornServers - 1 {
		if _, _, err := startOne(number, ""); err != nil {
			return false, err
		}
	}
	err := w.store.Configure(standin.Configuration{
		Version: 1,
		Routes: []standin.Route{{Name: "booking", Host: host, PathPrefix: "/booking/", Kind: "unsafe", TimeoutMs: 15000,
			TargetLatencyMs: 1000, Service: service, MaxAttempts: 2}},
		Limits: limits,
	})
	if err != nil {
		return false, err
	}
	if err := w.addRouters(ctx, bornNodes); err != nil {
		return false, err
	}
	sleep(ctx, 6*time.Second)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	clients := &callers{record: w.record, method: http.MethodPost, host: host, path: "/booking/", prefix: "b", timeout: 15 * time.Second}
	for number, target := range w.routers {
		group.Go(func() { clients.run(sending, target, bornRate, rand.New(rand.NewPCG(uint64(number), 6))) })
	}
	sleep(ctx, 2*time.Second)

	// A server is added. The time of day of its machine jumps back, and it crashes and starts again
	// under its identifier.
	added, _, err := startOne(bornServers-1, "")
	if err != nil {
		return false, err
	}
	sleep(ctx, 500*time.Millisecond)
	steppedAt = time.Now()
	if w.trouble {
		w.record.line("the time of day of the machine of %s jumps back by %v, for %v", added.id, bornStep, bornStepTime)
	}
	sleep(ctx, 500*time.Millisecond)
	w.record.line("server %s crashes", added.id)
	added.crash()
	sleep(ctx, 300*time.Millisecond)
	restarted, latest, err := startOne(bornServers-1, added.addr())
	if err != nil {
		return false, err
	}
	sleep(ctx, 15*time.Second)

	// Long after that it leaves as planned.
	latest.State = stateDraining
	drainedAt, err := w.leave(ctx, restarted, latest, bornServesOn)
	if err != nil {
		return false, err
	}
	sleep(ctx, time.Second)
	stop()
	group.Wait()
	always := func(string, time.Time) bool { return true }
	return judgeDrain(w, restarted, drainedAt, always, clients.all()), nil
}
