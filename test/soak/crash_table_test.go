package soak

import (
	"cmp"
	"flag"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

var (
	tableSeeds = flag.Int("ending-seeds", 1, "seeds for each row of the crash tables")
	tableFull  = flag.Bool("ending-full", false, "run all rows of the crash tables, including large fleets")
)

const (
	// crashingPause is the pause between two attempts of the caller of a crashing request.
	crashingPause = 100 * time.Millisecond
	// repeatCallers is the number of callers that send the same harmless request repeatedly, with
	// repeatPause between two attempts.
	repeatCallers = 6
	repeatPause   = 40 * time.Millisecond
)

// crashRow is one test case: the faults injected while callers send requests.
type crashRow struct {
	name     string
	topology crashTopology
	// crashingPaths are the paths of the requests that crash servers.
	crashingPaths []string
	// oneNode sends them to a single node.
	oneNode bool
	// repeatPrefix is the path prefix of the repeated harmless requests; empty for one that
	// shares nothing with the crashing requests.
	repeatPrefix string
	// disturb injects faults after callers have started; it may be nil.
	disturb func(world *crashWorld, random *lockedRandom)
	// unbounded rows disturb nodes at the time from which the limit on sends would apply, so it is
	// not checked.
	unbounded bool
	// short rows also run without -ending-full.
	short bool
}

func crashingGather(number int) string { return fmt.Sprint(pathGather, crashPrefix, number) }

// Topologies of the rows.
var (
	smallTopology = crashTopology{nodes: 3, shards: 4, crashKind: standin.CrashReset}
	fullTopology  = crashTopology{nodes: 9, shards: 10, crashKind: standin.CrashReset}
)

func withCrashKind(topo crashTopology, kind standin.Crash) crashTopology {
	topo.crashKind = kind
	return topo
}

func withNodes(nodes int) crashTopology {
	topo := fullTopology
	topo.nodes, topo.oneRegion = nodes, nodes > 9
	return topo
}

func onlyShard(topo crashTopology, affected string) crashTopology {
	topo.affected = func(service string) bool { return service == affected }
	return topo
}

// crashingRows have requests that crash servers.
var crashingRows = []crashRow{
	{name: "3 nodes, any node", topology: smallTopology, crashingPaths: []string{crashingGather(1)}, short: true},
	{name: "3 nodes, one node", topology: smallTopology, crashingPaths: []string{crashingGather(1)}, oneNode: true},
	{name: "27 nodes, any node", topology: withNodes(27), crashingPaths: []string{crashingGather(1)}},
	{name: "65 nodes, any node", topology: withNodes(65), crashingPaths: []string{crashingGather(1)}},
	{name: "65 nodes, one node", topology: withNodes(65), crashingPaths: []string{crashingGather(1)}, oneNode: true},
	{name: "one shard of ten", topology: onlyShard(fullTopology, "shard-c"), crashingPaths: []string{crashingGather(1)}, short: true},
	{name: "one server, may be repeated", topology: fullTopology, crashingPaths: []string{pathSafe + crashPrefix + "1"}, short: true},
	{name: "one server, must not be repeated", topology: fullTopology, crashingPaths: []string{pathUnsafe + crashPrefix + "1"}},
	{name: "three bad requests", topology: fullTopology, crashingPaths: []string{crashingGather(1), crashingGather(2), pathSafe + crashPrefix + "3"}},
	{name: "others with the same path", topology: fullTopology, crashingPaths: []string{pathGather + "shared?" + crashPrefix + "1"}, repeatPrefix: "shared?sound-"},
	{name: "servers close", topology: withCrashKind(fullTopology, standin.CrashClose), crashingPaths: []string{crashingGather(1)}},
	{name: "half an answer", topology: withCrashKind(fullTopology, standin.CrashHalfResponse), crashingPaths: []string{crashingGather(1)}},
	{name: "servers fall silent", topology: withCrashKind(fullTopology, standin.CrashHang), crashingPaths: []string{crashingGather(1)}},
	{name: "store away for 6 s", topology: fullTopology, crashingPaths: []string{crashingGather(1)}, disturb: hangStore, unbounded: true},
	{name: "a third of the nodes cut from the store", topology: fullTopology, crashingPaths: []string{crashingGather(1)}, disturb: partitionFromStore, unbounded: true},
	{name: "nodes killed and started", topology: fullTopology, crashingPaths: []string{crashingGather(1)}, disturb: restartNodes},
	{name: "nodes frozen for 3 s", topology: fullTopology, crashingPaths: []string{crashingGather(1)}, disturb: freezeNode, unbounded: true},
}

// harmlessRows have no crashing request, so every quarantine is a false positive.
var harmlessRows = []crashRow{
	{name: "a seventh of the servers crash", topology: fullTopology, disturb: func(w *crashWorld, random *lockedRandom) {
		w.crashServers(func(string, int) bool { return random.IntN(7) == 0 }, 0, random)
	}},
	{name: "a zone crashes", topology: fullTopology, short: true, disturb: func(w *crashWorld, random *lockedRandom) {
		w.crashServers(func(_ string, zone int) bool { return zone == 1 }, 0, random)
	}},
	{name: "all servers crash", topology: fullTopology, disturb: func(w *crashWorld, random *lockedRandom) {
		w.crashServers(func(string, int) bool { return true }, 0, random)
	}},
	{name: "all servers crash within a second", topology: fullTopology, short: true, disturb: func(w *crashWorld, random *lockedRandom) {
		w.crashServers(func(string, int) bool { return true }, time.Second, random)
	}},
	{name: "all servers crash twice within five seconds", topology: fullTopology, disturb: func(w *crashWorld, random *lockedRandom) {
		for range 2 {
			w.crashServers(func(string, int) bool { return true }, time.Second, random)
			time.Sleep(3500 * time.Millisecond)
		}
	}},
	{name: "servers crash one after the other for 6 s", topology: fullTopology, disturb: func(w *crashWorld, random *lockedRandom) {
		w.crashServers(func(string, int) bool { return true }, 6*time.Second, random)
	}},
	{name: "connections are reset each 200 ms", topology: fullTopology, disturb: func(w *crashWorld, _ *lockedRandom) {
		for range 25 {
			w.resetConnections()
			time.Sleep(200 * time.Millisecond)
		}
	}},
	{name: "a zone crashes, the store is away", topology: fullTopology, disturb: func(w *crashWorld, random *lockedRandom) {
		w.store.SetFaults(standin.StoreFaults{Hang: true})
		w.crashServers(func(_ string, zone int) bool { return zone == 1 }, 0, random)
		time.Sleep(4 * time.Second)
		w.store.SetFaults(standin.StoreFaults{})
	}},
}

// hangStore makes the store hang for 6 s.
func hangStore(w *crashWorld, _ *lockedRandom) {
	w.store.SetFaults(standin.StoreFaults{Hang: true})
	time.Sleep(6 * time.Second)
	w.store.SetFaults(standin.StoreFaults{})
}

// partitionFromStore partitions a third of the nodes from the store for 6 s.
func partitionFromStore(w *crashWorld, _ *lockedRandom) {
	partition := standin.LinkFault{HoldRequests: true, HoldResponses: true}
	for index := 0; index < len(w.nodes); index += 3 {
		w.nodes[index].storeLink.Set(partition)
	}
	time.Sleep(6 * time.Second)
	for index := 0; index < len(w.nodes); index += 3 {
		w.nodes[index].storeLink.Set(standin.LinkFault{})
		w.nodes[index].storeLink.Reset()
	}
}

// restartNodes kills a random node every second, four times, and restarts it.
func restartNodes(w *crashWorld, random *lockedRandom) {
	for range 4 {
		time.Sleep(time.Second)
		target := w.nodes[random.IntN(len(w.nodes))]
		target.signal(syscall.SIGKILL)
		target.wait(5 * time.Second)
		if err := target.start(); err != nil {
			w.Error(err)
		}
	}
}

// freezeNode freezes a random node for 3 s.
func freezeNode(w *crashWorld, random *lockedRandom) {
	target := w.nodes[random.IntN(len(w.nodes))]
	target.signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	target.signal(syscall.SIGCONT)
}

// TestCrashingRequests runs the rows with requests that crash servers: nodes must stop sending
// them.
func TestCrashingRequests(t *testing.T) { runRows(t, crashingRows) }

// TestUnrelatedCrashes runs the rows in which servers crash independently of requests: no
// request may be quarantined.
func TestUnrelatedCrashes(t *testing.T) { runRows(t, harmlessRows) }

func runRows(t *testing.T, rows []crashRow) {
	for _, row := range rows {
		if !row.short && !*tableFull {
			continue
		}
		t.Run(row.name, func(t *testing.T) {
			for seed := range *tableSeeds {
				row.run(t, uint64(seed+1))
			}
		})
	}
}

// run runs a row once and logs the measurements.
func (row crashRow) run(t *testing.T, seed uint64) {
	random := newRandom(seed)
	world := newCrashWorld(t, row.topology)
	defer world.close()
	mixed := &callers{nodes: world.nodes, random: random}
	repeating := &callers{nodes: world.nodes, random: newRandom(seed + 1)}
	until := time.Now().Add(convergenceTime + 4*time.Second)
	done := make(chan struct{})
	time.AfterFunc(time.Until(until), func() { close(done) })
	var group sync.WaitGroup
	group.Go(func() { mixed.run(done) })
	for number := range repeatCallers {
		group.Go(func() { repeating.repeat(fmt.Sprint(pathGather, cmp.Or(row.repeatPrefix, "again-"), number), done) })
	}
	time.Sleep(500 * time.Millisecond)
	for number, path := range row.crashingPaths {
		nodes := world.nodes
		if row.oneNode {
			nodes = nodes[:1]
		}
		group.Go(func() { world.repeatUntil(nodes, fmt.Sprint("bad-", number, "-"), path, until) })
	}
	if row.disturb != nil {
		group.Go(func() { row.disturb(world, random) })
	}
	group.Wait()
	row.report(t, world, append(mixed.results, repeating.results...), seed)
	for _, node := range world.nodes {
		node.signal(syscall.SIGKILL)
		node.wait(5 * time.Second)
	}
}

func (row crashRow) report(t *testing.T, world *crashWorld, harmless []callResult, seed uint64) {
	t.Helper()
	quarantined, served := 0, 0
	for _, seen := range harmless {
		switch {
		case seen.status == 200:
			served++
		case failureText(seen) == "quarantined":
			quarantined++
		}
	}
	t.Logf("seed %d: of %d harmless requests, %d served, %d quarantined", seed, len(harmless), served, quarantined)
	if quarantined > 0 {
		t.Errorf("seed %d: %d harmless requests were quarantined", seed, quarantined)
	}
	for _, path := range row.crashingPaths {
		sends, crashes := world.sendsAfterBound(path), len(world.crashesOf(path))
		known, all := world.quarantinedAfter(path)
		t.Logf("seed %d: %s: %d servers crashed, %d sends after the bound, quarantined by all nodes after %v (%v)", seed, path, crashes, sends, known.Round(time.Millisecond), all)
		if sends > maxSends && !row.unbounded {
			t.Errorf("seed %d: %s was sent to servers %d times after the bound", seed, path, sends)
		}
	}
}

// repeat sends one request repeatedly to random nodes.
func (callers *callers) repeat(path string, done <-chan struct{}) {
	for count := 0; ; count++ {
		select {
		case <-done:
			return
		case <-time.After(repeatPause):
		}
		seen := ask(callers.nodes[callers.random.IntN(len(callers.nodes))], path, fmt.Sprint(path[len(pathGather):], "-", count))
		callers.add(seen)
	}
}
