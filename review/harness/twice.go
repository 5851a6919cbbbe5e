package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// Figures of the case: a service of five servers, nine nodes, bookings that must not be repeated.
const (
	twiceNodes   = 9
	twiceServers = 5
	twiceSlots   = 3
	twiceQueue   = 3
	twiceWork    = 30 * time.Millisecond
	// twiceRate is the rate of requests of each node.
	twiceRate = 50.0
	twiceTime = 85 * time.Second
	// garbleShare and garbleRatio are the largest dose of garble "extra late" in the site files.
	garbleShare = 0.6
	garbleRatio = 0.03
)

// playTwice lets servers send some of their answers once more, late. It checks TWICE and REFUSED.
func playTwice(ctx context.Context, w *world) (bool, error) {
	const service, host = "depot-desk", "hufi27.example"
	for index := range twiceServers {
		options := serverOptions{
			id: fmt.Sprintf("i-%s-%d", service, index), service: service, zone: zones[index%len(zones)].zone,
			slots: twiceSlots, queue: twiceQueue, work: twiceWork, random: rand.New(rand.NewPCG(uint64(index), 1)),
		}
		if w.trouble && float64(index) < garbleShare*twiceServers {
			options.surplusRatio = garbleRatio
		}
		if _, err := w.addServer(options); err != nil {
			return false, err
		}
	}
	err := w.store.Configure(standin.Configuration{
		Version: 1,
		Routes: []standin.Route{{Name: "booking", Host: host, PathPrefix: "/booking/", Kind: "unsafe", TimeoutMs: 15000,
			TargetLatencyMs: 1000, Service: service, MaxAttempts: 2}},
		Services: []standin.Service{{Name: service, MaxConnections: 110}},
		Limits:   limits,
	})
	if err != nil {
		return false, err
	}
	if err := w.addRouters(ctx, twiceNodes); err != nil {
		return false, err
	}
	clients := &callers{record: w.record, method: http.MethodPost, host: host, path: "/booking/", prefix: "b", timeout: 15 * time.Second}
	sending, stop := context.WithTimeout(ctx, twiceTime)
	defer stop()
	var group sync.WaitGroup
	for index, target := range w.routers {
		group.Go(func() { clients.run(sending, target, twiceRate, rand.New(rand.NewPCG(uint64(index), 2))) })
	}
	group.Wait()
	return judgeTwice(w, clients.all()), nil
}

// judgeTwice counts the requests that ran more than once, and those that were refused and ran.
func judgeTwice(w *world, outcomes []outcome) bool {
	runs := w.runs.byID()
	byStatus := make(map[int]int)
	twice, refused := 0, 0
	for _, seen := range outcomes {
		byStatus[seen.status]++
		ran := runs[seen.id]
		if len(ran) > 1 {
			twice++
			w.record.line("TWICE: %s ran %d times: %s; its client got %d", seen.id, len(ran), describe(ran), seen.status)
		}
		promise := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
		if slices.Contains(promise, seen.status) && len(ran) > 0 {
			refused++
			w.record.line("REFUSED: the client of %s got %d, and it ran: %s", seen.id, seen.status, describe(ran))
		}
	}
	w.record.result("%d requests by status (0: no answer): %v", len(outcomes), byStatus)
	w.record.result("TWICE: %d requests that must not be repeated ran more than once (0 allowed)", twice)
	w.record.result("REFUSED: %d requests ran although their clients were told that they never will (0 allowed)", refused)
	return twice > 0 || refused > 0
}

// describe lists the servers of runs.
func describe(runs []run) string {
	servers := make([]string, len(runs))
	for index, r := range runs {
		servers[index] = r.server
	}
	return strings.Join(servers, ", ")
}
