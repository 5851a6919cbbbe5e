package gossip

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/swim"
)

// readiness holds whether the node may accept requests: whether it has synced the newest
// configuration from other members since it was started, paused or isolated.
type readiness struct {
	mutex sync.Mutex
	// reason is why the node is not ready; empty if it is.
	reason string
	// since is the time at which the reason was set.
	since time.Time
	// epoch counts the reasons, so that a sync that started before the latest reason does
	// not clear it.
	epoch int
	// machineListSeen is set once the machine list has been read.
	machineListSeen atomic.Bool
}

// setNotReady records that the node must sync.
func (ready *readiness) setNotReady(now time.Time, reason string) {
	ready.mutex.Lock()
	defer ready.mutex.Unlock()
	ready.reason = reason
	ready.since = now
	ready.epoch++
}

// setReady records that the node has synced, unless there is a later reason.
func (ready *readiness) setReady(epoch int) bool {
	ready.mutex.Lock()
	defer ready.mutex.Unlock()
	if ready.epoch != epoch {
		return false
	}
	ready.reason = ""
	return true
}

func (ready *readiness) state() (reason string, since time.Time, epoch int) {
	ready.mutex.Lock()
	defer ready.mutex.Unlock()
	return ready.reason, ready.since, ready.epoch
}

// Ready reports whether the node may accept requests.
func (node *Node) Ready() bool { return node.NotReadyReason() == "" }

// NotReadyReason returns why the node may not accept requests, or an empty string. It
// detects a pause even before the next tick does.
func (node *Node) NotReadyReason() string {
	sinceTick := time.Since(node.start) - time.Duration(node.lastTick.Load())
	if sinceTick > node.options.Membership.PauseThreshold {
		return "the node was paused"
	}
	reason, _, _ := node.readiness.state()
	return reason
}

const (
	// syncPeers is the number of members that a node syncs with before it is ready.
	syncPeers = 3
	// syncGrace is how long a node that knows fewer members waits for more: the first
	// member to answer may have missed the newest revision.
	syncGrace = 500 * time.Millisecond
	// syncRetryInterval is the time between two sync attempts.
	syncRetryInterval = 100 * time.Millisecond
)

// syncLoop syncs with other members whenever the node is not ready.
func (node *Node) syncLoop() {
	ticker := time.NewTicker(syncRetryInterval)
	defer ticker.Stop()
	for {
		if reason, since, epoch := node.readiness.state(); reason != "" {
			node.trySync(since, epoch)
		}
		select {
		case <-node.context.Done():
			return
		case <-ticker.C:
		}
	}
}

func (node *Node) trySync(since time.Time, epoch int) {
	answers, complete := node.pullFromMembers()
	enoughPeers := answers >= syncPeers-1
	allPeers := answers >= len(node.otherMembers()) && time.Since(since) > syncGrace
	synced := complete > 0 && (enoughPeers || allPeers)
	alone := !synced && node.mayServeUnsynced(since)
	if !synced && !alone || !node.readiness.setReady(epoch) {
		return
	}
	klog.InfoS("node is ready", "answers", answers, "alone", alone)
}

// mayServeUnsynced reports whether a node that finds no up-to-date member may be ready.
// After SyncTimeout it serves with the configuration that it has; without any it must first
// have read the machine list, which shows whether there are other nodes.
func (node *Node) mayServeUnsynced(since time.Time) bool {
	known := node.readiness.machineListSeen.Load() || node.store.Summary().Highest > 0
	return known && time.Since(since) > node.options.SyncTimeout
}

// pullFromMembers pulls from several members concurrently. It returns how many answered
// and how many of those were up to date themselves.
func (node *Node) pullFromMembers() (answers, complete int) {
	type outcome struct {
		complete bool
		err      error
	}
	peers := node.chooseSyncPeers()
	outcomes := make([]outcome, len(peers))
	var wg sync.WaitGroup
	for index, member := range peers {
		wg.Go(func() {
			upToDate, err := node.pull(member.Address)
			outcomes[index] = outcome{complete: upToDate, err: err}
		})
	}
	wg.Wait()
	for _, outcome := range outcomes {
		if outcome.err != nil {
			continue
		}
		answers++
		if outcome.complete {
			complete++
		}
	}
	return answers, complete
}

// chooseSyncPeers chooses random members, preferably in different zones.
func (node *Node) chooseSyncPeers() []swim.Member {
	others := node.otherMembers()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var chosen, rest []swim.Member
	zones := make(map[string]bool)
	for _, member := range others {
		if zones[member.Zone] {
			rest = append(rest, member)
			continue
		}
		zones[member.Zone] = true
		chosen = append(chosen, member)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(len(chosen), syncPeers)]
}

// otherMembers returns the other members that are not suspected.
func (node *Node) otherMembers() []swim.Member {
	var others []swim.Member
	for _, member := range node.Members() {
		if member.ID != node.options.Self.ID && member.State != swim.Suspect {
			others = append(others, member)
		}
	}
	return others
}
