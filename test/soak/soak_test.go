package soak

import (
	"bytes"
	"flag"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

var (
	soakTime = flag.Duration("soak", 12*time.Second, "how long faults are injected")
	soakSeed = flag.Uint64("seed", 1, "seed of the faults; 0 for a random one")
)

// topology is the number of nodes of a run and their placement in regions.
type topology struct {
	nodes int
	// oneRegion puts all zones in one region.
	oneRegion bool
}

// topologyOf returns the topology for a seed: a few nodes in three regions, which
// read the store themselves, for an odd seed; enough nodes in one region that they
// relay the store's content to each other, for an even seed.
func topologyOf(seed uint64) topology {
	if seed%2 == 0 {
		return topology{nodes: 9, oneRegion: true}
	}
	return topology{nodes: 3}
}

func (topo topology) region(zone string) string {
	if topo.oneRegion {
		return "region"
	}
	return "region-" + zone
}

func (topo topology) regions() string {
	var pairs []string
	for index := range 3 {
		pairs = append(pairs, zoneName(index)+"="+topo.region(zoneName(index)))
	}
	return strings.Join(pairs, ",")
}

// injector injects random faults into nodes, store and servers.
type injector struct {
	t      *testing.T
	world  *world
	nodes  []*node
	random *lockedRandom
}

func (injector *injector) run(done <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(100+injector.random.IntN(500)) * time.Millisecond):
			injector.injectOne(&group)
		}
	}
}

func (injector *injector) injectOne(group *sync.WaitGroup) {
	target := injector.nodes[injector.random.IntN(len(injector.nodes))]
	span := time.Duration(200+injector.random.IntN(1500)) * time.Millisecond
	switch injector.random.IntN(12) {
	case 0:
		injector.injectExclusively(group, target, func() { injector.kill(target, span) })
	case 1:
		injector.injectExclusively(group, target, func() { injector.freeze(target, span) })
	case 2:
		injector.injectExclusively(group, target, func() { injector.restart(target) })
	case 3:
		target.signal(syscall.SIGHUP)
	case 4:
		injector.world.configure(injector.t)
	case 5, 6:
		injector.disturbStore(span)
	case 7:
		server := injector.world.anyServer(injector.random)
		resume := server.Pause()
		time.AfterFunc(span, resume)
	case 8, 9:
		injector.disturbLink(injector.world.anyLink(injector.random), span)
	case 10, 11:
		injector.disturbLink(target.storeLink, span)
	}
}

// disturbLink injects a random fault into the connections of a proxy: a reset, or a fault that
// lasts for the span.
func (injector *injector) disturbLink(link *standin.Proxy, span time.Duration) {
	faults := []standin.LinkFault{
		{Delay: time.Duration(1+injector.random.IntN(100)) * time.Millisecond},
		{HoldRequests: true}, {HoldResponses: true}, {HoldRequests: true, HoldResponses: true},
	}
	kind := injector.random.IntN(len(faults) + 1)
	if kind == len(faults) {
		link.Reset()
		return
	}
	link.Set(faults[kind])
	time.AfterFunc(span, func() { link.Set(standin.LinkFault{}) })
}

// injectExclusively injects a fault into a node unless another one is in progress there.
func (injector *injector) injectExclusively(group *sync.WaitGroup, target *node, do func()) {
	if !target.injecting.TryLock() {
		return
	}
	group.Go(func() {
		defer target.injecting.Unlock()
		do()
	})
}

func (injector *injector) kill(target *node, span time.Duration) {
	target.disturb(func() {
		target.signal(syscall.SIGKILL)
		target.wait(5 * time.Second)
		time.Sleep(span / 2)
		injector.start(target)
	})
}

func (injector *injector) start(target *node) {
	if err := target.start(); err != nil {
		injector.t.Errorf("start %s: %v", target.name, err)
	}
}

func (injector *injector) freeze(target *node, span time.Duration) {
	target.disturb(func() {
		target.signal(syscall.SIGSTOP)
		time.Sleep(span)
		target.signal(syscall.SIGCONT)
	})
}

// restart stops a node gracefully and starts it again: accepted requests are answered
// until the process exits, so only the time from the close of the listener counts as
// disturbed.
func (injector *injector) restart(target *node) {
	target.signal(syscall.SIGTERM)
	// The node refuses new connections from 2 s after the signal.
	time.Sleep(1900 * time.Millisecond)
	target.disturb(func() {
		if !target.wait(5 * time.Second) {
			injector.t.Errorf("%s did not stop", target.name)
		} else if state := target.exitState(); !state.Success() {
			injector.t.Errorf("%s stopped with %s, %v after its start", target.name, state, target.age())
		}
		injector.start(target)
	})
}

func (injector *injector) disturbStore(span time.Duration) {
	faults := []standin.StoreFaults{{Hang: true}, {Unavailable: true}, {Throttled: true}, {LoseResponses: true},
		{StaleLag: time.Second}, {Delay: 200 * time.Millisecond}}
	injector.world.store.SetFaults(faults[injector.random.IntN(len(faults))])
	if injector.random.IntN(4) == 0 {
		injector.world.store.CompactHistory()
	}
	time.Sleep(span)
	injector.world.store.SetFaults(standin.StoreFaults{})
}

func TestSoak(t *testing.T) { soak(t, chosenSeed(), *soakTime, nil) }

// chosenSeed returns the seed of the flag, or a random one.
func chosenSeed() uint64 {
	if *soakSeed == 0 {
		return uint64(time.Now().UnixNano())
	}
	return *soakSeed
}

// failedSeeds are seeds that once failed, with the cause.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "test bug: a node was killed during its graceful stop; then, with the race detector: " +
		"requests longer than the stop timeout were cut off"},
	{3, "both causes of seed 1"},
	{1796241673339394375, "test bug: another process took a node's address while it was down"},
	{4, "same as 1796241673339394375: callers of one run reached the nodes of another"},
	{11, "same as 1796241673339394375: a node could not start"},
	{804, "the machine (load 72 on 8 cores): all nine nodes stood still for 0.9 to 2.6 s at once, so that a caller's 4 s passed"},
}

func TestSeedsThatFailed(t *testing.T) {
	const span = 8 * time.Second
	for _, failed := range failedSeeds {
		t.Run(strconv.FormatUint(failed.seed, 10), func(t *testing.T) {
			t.Log(failed.cause)
			soak(t, failed.seed, span, nil)
		})
	}
}

// soak injects faults for the span and checks the requests that callers sent and servers ran.
// If further is not nil, it injects additional faults until its channel is closed.
func soak(t *testing.T, seed uint64, span time.Duration, further func(world *world, random *lockedRandom, done <-chan struct{})) {
	t.Helper()
	t.Logf("seed %d, %v", seed, span)
	random := newRandom(seed)
	world := newWorld(t, random)
	nodes := startNodes(t, world, topologyOf(seed))
	stopCallers, injecting := make(chan struct{}), make(chan struct{})
	callers := &callers{nodes: nodes, random: random}
	var group sync.WaitGroup
	group.Go(func() { callers.run(stopCallers) })
	group.Go(func() { callers.runCrashing(injecting, newRandom(seed+2)) })
	operator := &operator{t: t, world: world, random: newRandom(seed + 1)}
	operatorDone := make(chan struct{})
	go func() {
		defer close(operatorDone)
		operator.run(injecting)
	}()
	if further != nil {
		group.Go(func() { further(world, newRandom(seed+3), injecting) })
	}
	injector := &injector{t: t, world: world, nodes: nodes, random: random}
	stopInjecting := time.AfterFunc(span, func() { close(injecting) })
	defer stopInjecting.Stop()
	injector.run(injecting)
	world.clearLinkFaults()
	for _, node := range nodes {
		node.storeLink.Set(standin.LinkFault{})
	}
	checkRecovery(t, world, nodes)
	<-operatorDone
	close(stopCallers)
	group.Wait()
	world.close()
	world.servers = append(append(world.servers, world.replaced...), operator.started...)
	checker := newChecker(world)
	checker.check(callers.results)
	operator.check(checker, callers.results)
	report(t, checker, callers.results)
	checkRelay(t, topologyOf(seed), nodes)
	if t.Failed() {
		t.Logf("seed %d", seed)
	}
}

// logDirectory creates a directory for logs, which is kept if the test fails.
func logDirectory(t *testing.T) string {
	t.Helper()
	directory, err := os.MkdirTemp("", "driftstage-soak-logs-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs in %s", directory)
			return
		}
		if err := os.RemoveAll(directory); err != nil {
			t.Error(err)
		}
	})
	return directory
}

func startNodes(t *testing.T, world *world, topo topology) []*node {
	t.Helper()
	directory := logDirectory(t)
	peers := make([]string, topo.nodes)
	for index := range peers {
		peers[index] = freeAddress(t)
	}
	nodes := make([]*node, topo.nodes)
	for index := range nodes {
		nodes[index] = newNode(t, nodeOptions{
			index: index, region: topo.region(zoneName(index)), regions: topo.regions(),
			store: world.store.Address(), seeds: strings.Join(peers, ","), peer: peers[index],
		}, directory)
		if err := nodes[index].start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			nodes[index].signal(syscall.SIGKILL)
			nodes[index].wait(5 * time.Second)
		})
	}
	for _, started := range nodes {
		eventually(t, 10*time.Second, started.name+" is ready", started.ready)
	}
	return nodes
}

func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("not within %v: %s", limit, what)
			return
		}
	}
}

// checkRecovery checks that after the last fault every node serves the newest
// configuration within the documented bound.
func checkRecovery(t *testing.T, world *world, nodes []*node) {
	t.Helper()
	world.configure(t)
	const bound = 8 * time.Second // 5 s to reconnect, 3 s to apply the configuration
	for index, recovered := range nodes {
		eventually(t, bound, recovered.name+" serves the newest configuration", func() bool {
			// A node without the newest configuration responds 404. A failure of a server
			// is retried.
			seen := ask(recovered, world.versionPath(), recoveryID(index))
			return seen.status == 200
		})
	}
}

// checkRelay checks that with many nodes in one region, at least half have followed another one.
func checkRelay(t *testing.T, topo topology, nodes []*node) {
	t.Helper()
	followers := 0
	for _, node := range nodes {
		log, err := os.ReadFile(node.log.Name())
		if err != nil {
			t.Error(err)
		}
		if bytes.Contains(log, []byte(`"peer":"node-`)) {
			followers++
		}
	}
	t.Logf("%d of %d nodes followed another one", followers, len(nodes))
	if topo.oneRegion && followers < len(nodes)/2 {
		t.Errorf("only %d of %d nodes ever followed another one", followers, len(nodes))
	}
}

// recoveryID returns a request id that callers do not use.
func recoveryID(index int) string { return "recovery-" + string(rune('a'+index)) }

func report(t *testing.T, checker *checker, results []callResult) {
	t.Helper()
	byStatus := make(map[int]int)
	for _, seen := range results {
		byStatus[seen.status]++
	}
	t.Logf("%d requests by status (0: no response): %v", len(results), byStatus)
	if served := byStatus[200]; served*2 < len(results) {
		t.Errorf("only %d of %d requests were served", served, len(results))
	}
	for index, problem := range checker.problems {
		if strings.Contains(problem, "recovery-") {
			continue
		}
		if index < 20 {
			t.Error(problem)
		}
	}
}
