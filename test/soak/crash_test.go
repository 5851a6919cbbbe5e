package soak

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// Guards against an outage caused by a single request: all servers of a service with ten shards
// crashed repeatedly, for eight seconds at a time, while all nodes and other services were
// healthy, and the request was still sent to servers long after it had crashed three.
//
// Each server that started to run the request crashed. The node counted that as a failure of the
// server, retried the request on the next server of each shard and responded 502; the caller
// retried at another node. Nodes recorded failures only against servers: they kept nothing about
// the request and shared nothing with other nodes.
//
// With request digests in the log, all crashes of one such period had the same digest, which no
// server ever answered. In this test, servers crash for no other reason.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	world := newCrashWorld(t, crashTopology{nodes: 9, shards: 10, crashKind: standin.CrashReset})
	path := pathGather + crashPrefix + "1"
	callers := &callers{nodes: world.nodes, random: newRandom(1)}
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { callers.run(done) })
	start := time.Now()
	last := world.repeatUntil(world.nodes, "insist-", path, start.Add(convergenceTime+6*time.Second))
	close(done)
	group.Wait()
	sends, crashes := world.sendsAfterBound(path), len(world.crashesOf(path))
	t.Logf("%d servers crashed, %d sends after the bound; the caller's last response: %d %q", crashes, sends, last.status, last.body)
	if sends > maxSends {
		t.Errorf("a request that had crashed %d servers was sent to servers %d more times", minCrashes, sends)
	}
	checkAllServed(t, callers.results, start.Add(convergenceTime+time.Second))
}

// checkAllServed checks that all requests sent after the given time were served.
func checkAllServed(t *testing.T, results []callResult, from time.Time) {
	t.Helper()
	byAnswer := make(map[string]int)
	for _, seen := range results {
		if seen.sent.After(from) {
			byAnswer[fmt.Sprintf("%d %s", seen.status, failureText(seen))]++
		}
	}
	t.Logf("other requests sent after that, by response: %v", byAnswer)
	delete(byAnswer, "200 ")
	if len(byAnswer) > 0 {
		t.Errorf("other requests were not served: %v", byAnswer)
	}
}

// failureText returns the body of a response other than 200.
func failureText(seen callResult) string {
	if seen.status == 200 {
		return ""
	}
	return strings.TrimSpace(string(seen.body))
}

// repeatUntil sends the request repeatedly, to the nodes in turn, until the given time. It returns
// the last response.
func (w *crashWorld) repeatUntil(nodes []*node, id, path string, until time.Time) callResult {
	var last callResult
	for count := 0; time.Now().Before(until); count++ {
		last = ask(nodes[count%len(nodes)], path, fmt.Sprint(id, count))
		time.Sleep(crashingPause)
	}
	return last
}
