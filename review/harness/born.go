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

// Figures of the case: one of seven servers restarts twice under its identifier, the second time
// while the time of day of its machine is behind, and drains later.
const (
	bornNodes   = 3
	bornServers = 7
	bornWork    = 220 * time.Millisecond
	bornRate    = 16.0
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
	write := func(s *server, state string, born time.Time) error {
		written := s.entry(state)
		written.Born = born.UnixMilli()
		w.record.line("the store has acknowledged servers/%s: state %s, born %d", s.id, state, written.Born)
		return w.store.Put("servers", s.id, written)
	}
	startOne := func(number int, address string, born time.Time) (*server, error) {
		s, err := startServer(serverOptions{id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zones[number%len(zones)].zone,
			slots: 3, queue: 12, work: bornWork, runs: w.runs, record: w.record, address: address})
		if err != nil {
			return nil, err
		}
		w.servers = append(w.servers, s)
		return s, write(s, stateReady, born)
	}
	var all []*server
	for number := range bornServers {
		s, err := startOne(number, "", time.Now())
		if err != nil {
			return false, err
		}
		all = append(all, s)
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

	// The server crashes and starts again under its identifier, twice within two seconds.
	restarting := all[0]
	restart := func() error {
		w.record.line("server %s crashes", restarting.id)
		restarting.crash()
		sleep(ctx, 300*time.Millisecond)
		s, err := startOne(0, restarting.addr(), timeOfDay())
		if err == nil {
			restarting = s
		}
		return err
	}
	if err := restart(); err != nil {
		return false, err
	}
	sleep(ctx, 500*time.Millisecond)
	steppedAt = time.Now()
	if w.trouble {
		w.record.line("the time of day of the machine of %s jumps back by %v, for %v", restarting.id, bornStep, bornStepTime)
	}
	sleep(ctx, 500*time.Millisecond)
	if err := restart(); err != nil {
		return false, err
	}
	born := timeOfDay()
	sleep(ctx, 15*time.Second)

	// Long after that it leaves as planned.
	draining := restarting.entry(stateDraining)
	draining.Born = born.UnixMilli()
	drainedAt, err := w.leave(ctx, restarting, draining, bornServesOn)
	if err != nil {
		return false, err
	}
	sleep(ctx, time.Second)
	stop()
	group.Wait()
	always := func(string, time.Time) bool { return true }
	return judgeDrain(w, restarting, drainedAt, always, clients.all()), nil
}
