// Command harness plays the cases of the review: it starts processes of the query tier with
// stand-ins for the platform, the servers and the clients on loopback, and checks one rule.
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/driftstage/driftstage/internal/loopback"
	"github.com/driftstage/driftstage/platform/standin"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// world is what a case works with.
type world struct {
	record    *record
	runs      *runLog
	store     *standin.Store
	directory string
	// trouble is false if the disruption is left out.
	trouble bool
	routers []*router
	servers []*server
}

// cases are the cases by name; each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, w *world) (broken bool, err error){
	"twice": playTwice,
	"hold":  playHold,
	"stale": playStale,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w, err := newWorld(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitFailed
	}
	defer w.close()
	broken, err := cases[arguments[0]](ctx, w)
	switch {
	case err == nil && ctx.Err() != nil:
		err = ctx.Err()
	case err == nil && broken:
		return exitBroken
	case err == nil:
		return exitHeld
	}
	w.record.result("the case could not run: %v", err)
	return exitFailed
}

func newWorld(recordPath string) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	recorded, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	return &world{record: recorded, runs: &runLog{}, store: store, directory: directory, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
	}
	for _, s := range w.servers {
		s.crash()
	}
	w.store.Close()
	w.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.directory)
	} else {
		fmt.Println("logs in", filepath.Clean(w.directory))
	}
}

// addRouters starts count processes, spread over the zones, and waits until all are ready. The
// first three are the seeds.
func (w *world) addRouters(ctx context.Context, count int) error {
	var seeds []string
	for range min(count, 3) {
		address, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		seeds = append(seeds, address)
	}
	for index := range count {
		place := zones[index%len(zones)]
		options := routerOptions{
			name: fmt.Sprintf("front-%s-%d", place.zone, index/len(zones)+1), zone: place.zone, region: place.region,
			seeds: seeds, store: w.store.Address(), directory: w.directory,
		}
		if index < len(seeds) {
			options.peer = seeds[index]
		}
		r, err := newRouter(options)
		if err != nil {
			return err
		}
		if err := r.start(); err != nil {
			return err
		}
		w.routers = append(w.routers, r)
	}
	for _, r := range w.routers {
		if err := r.awaitReady(ctx, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// States of a server's entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// entry returns the server's entry in the store.
func (s *server) entry(state string) standin.ServerSpec {
	return standin.ServerSpec{Service: s.service, Address: s.addr(), Zone: s.zone, Version: "v1", Slots: s.slots, State: state, Sequence: 1}
}

// addServer starts a server and writes its entry.
func (w *world) addServer(options serverOptions) (*server, error) {
	options.runs, options.record = w.runs, w.record
	started, err := startServer(options)
	if err != nil {
		return nil, err
	}
	w.servers = append(w.servers, started)
	return started, w.store.Put("servers", started.id, started.entry(stateReady))
}

// limits are those of gzebi-drift.
var limits = standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// sleep returns after the time or when ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
