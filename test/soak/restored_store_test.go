package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// backupAge is the age of the backup when the store is restored from it, serversSinceBackup the
	// number of servers started since the backup.
	backupAge          = 3 * time.Second
	serversSinceBackup = 3
	// convergenceBound is the time from the operator's write in the new era until all nodes have
	// applied it.
	convergenceBound = 3 * time.Second
	// retryRatio and retrySlack are the retry budget in the nodes' settings: extra sends allowed per
	// request, and a fixed number in addition.
	retryRatio = 0.3
	retrySlack = 60
)

// TestRestoredStoreCostsNothing restores the store from a backup, without other faults. Guards against
// requests that are rejected or fail because of the restore, retries beyond the budget, and late
// configurations.
func TestRestoredStoreCostsNothing(t *testing.T) {
	sizes := []int{5}
	if *tableFull {
		sizes = append(sizes, 27, 95)
	}
	for _, nodes := range sizes {
		for _, outage := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes, away %v", nodes, outage), func(t *testing.T) { restoreUnderLoad(t, nodes, outage) })
		}
	}
}

func restoreUnderLoad(t *testing.T, nodes int, outage time.Duration) {
	world := newCrashWorld(t, crashTopology{nodes: nodes, shards: 10, oneRegion: nodes > 9})
	defer world.close()
	world.store.EnableEra()
	senders := &callers{nodes: world.nodes, random: newRandom(1)}
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { senders.run(done) })
	time.Sleep(2 * time.Second)
	backup := world.store.Backup()
	world.writeVersion(2)
	for zone := range serversSinceBackup {
		world.serve(singleService, zone, "")
	}
	time.Sleep(backupAge)
	world.awaitVersion(2)
	calls := world.store.Calls("list") + world.store.Calls("watch") + world.store.Calls("stale watch")
	world.store.SetFaults(standin.StoreFaults{Unavailable: true})
	time.Sleep(outage)
	world.store.Restore(backup)
	world.store.SetFaults(standin.StoreFaults{})
	world.writeVersion(3)
	took := world.awaitVersion(3)
	time.AfterFunc(serversRewriteWithin/2, func() { world.store.RepeatWrites("servers") })
	time.Sleep(5*time.Second - took)
	calls = world.store.Calls("list") + world.store.Calls("watch") + world.store.Calls("stale watch") - calls
	close(done)
	group.Wait()
	world.checkRestore(senders.results, took, calls)
}

// writeVersion writes a configuration version with a route specific to it.
func (w *crashWorld) writeVersion(version uint64) {
	own := &world{version: version}
	route := standin.Route{Name: "own", Host: host, PathPrefix: own.versionPath(), Kind: "safe", TimeoutMs: 4000, TargetLatencyMs: 250, MaxAttempts: 3, Service: singleService}
	w.configureWith(version, route)
}

// awaitVersion waits until all nodes serve the version and returns how long that took.
func (w *crashWorld) awaitVersion(version uint64) time.Duration {
	begun := time.Now()
	own := &world{version: version}
	var group sync.WaitGroup
	for _, node := range w.nodes {
		group.Go(func() {
			for time.Since(begun) < 2*convergenceBound && ask(node, own.versionPath(), "version").status != 200 {
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return time.Since(begun)
}

func (w *crashWorld) checkRestore(seen []callResult, took time.Duration, calls int) {
	byAnswer := make(map[string]int)
	for _, result := range seen {
		if result.status != 200 {
			byAnswer[fmt.Sprintf("%d %s", result.status, failureText(result))]++
		}
	}
	runs, parts := w.runsOf(seen)
	w.Logf("%d requests, not served: %v; %d sends for %d parts; in force everywhere after %v; %d reading calls until 5 s after the return",
		len(seen), byAnswer, runs, parts, took.Round(time.Millisecond), calls)
	if len(byAnswer) > 0 {
		w.Errorf("requests were not served: %v", byAnswer)
	}
	if took > convergenceBound {
		w.Errorf("the version was in force everywhere after %v", took)
	}
	if float64(runs) > (1+retryRatio)*float64(parts)+retrySlack {
		w.Errorf("%d sends for %d parts", runs, parts)
	}
}

// runsOf returns how many of the requests servers ran, and how many parts callers requested.
func (w *crashWorld) runsOf(seen []callResult) (runs, parts int) {
	known := make(map[string]bool, len(seen))
	for _, result := range seen {
		known[result.id] = true
		parts++
		if len(result.path) > len(pathGather) && result.path[:len(pathGather)] == pathGather {
			parts += len(w.shards) - 1
		}
	}
	for _, server := range w.servers {
		for _, run := range server.Runs() {
			if known[run.ID] {
				runs++
			}
		}
	}
	return runs, parts
}
