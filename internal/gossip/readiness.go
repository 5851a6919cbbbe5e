package gossip

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/swim"
)

// readiness tells whether the node may take requests: whether, since it started,
// was paused or was cut off, it has learned the newest configuration from others.
type readiness struct {
	mutex sync.Mutex
	// reason is why the node is not ready; empty when it is.
	reason string
	// since is when the reason arose.
	since time.Time
	// epoch counts the reasons, so that a sync that began before the last one
	// does not end it.
	epoch int
	// platformSeen tells that the machine list was read since the start.
	platformSeen atomic.Bool
}

// begin notes that the node must sync.
func (ready *readiness) begin(now time.Time, reason string) {
	ready.mutex.Lock()
	defer ready.mutex.Unlock()
	ready.reason = reason
	ready.since = now
	ready.epoch++
}

// end notes that the node has synced, unless a later reason arose.
func (ready *readiness) end(epoch int) bool {
	ready.mutex.Lock()
	defer ready.mutex.Unlock()
	if ready.epoch != epoch {
		return false
	}
	ready.reason = ""
	return true
}

func (ready *readiness) read() (reason string, since time.Time, epoch int) {
	ready.mutex.Lock()
	defer ready.mutex.Unlock()
	return ready.reason, ready.since, ready.epoch
}

// Ready tells whether the node may take requests.
func (node *Node) Ready() bool { return node.NotReady() == "" }

// NotReady returns why the node may take no requests, or nothing. It finds a
// pause also before the next tick has found it.
func (node *Node) NotReady() string {
	sinceTick := time.Since(node.start) - time.Duration(node.lastTick.Load())
	if sinceTick > node.options.Membership.PauseThreshold {
		return "the node was paused"
	}
	reason, _, _ := node.ready.read()
	return reason
}

const (
	// syncPeers is how many members a node asks before it is ready.
	syncPeers = 3
	// syncGrace is how long a node that knows fewer members waits for more to
	// answer: the first to answer may have missed the newest.
	syncGrace = 500 * time.Millisecond
	// syncRetryPeriod is the time between two attempts.
	syncRetryPeriod = 100 * time.Millisecond
)

// keepSynced asks members for their configuration whenever the node is not ready.
func (node *Node) keepSynced() {
	ticker := time.NewTicker(syncRetryPeriod)
	defer ticker.Stop()
	for {
		if reason, since, epoch := node.ready.read(); reason != "" {
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
	answers, complete := node.askMembers()
	several := answers >= syncPeers-1
	all := answers >= len(node.others()) && time.Since(since) > syncGrace
	enough := complete > 0 && (several || all)
	alone := !enough && node.mayServeAlone(since)
	if !enough && !alone || !node.ready.end(epoch) {
		return
	}
	klog.InfoS("node is ready", "answers", answers, "alone", alone)
}

// mayServeAlone decides about a node that finds nobody who is up to date. At the
// start it needs the platform's word that there is nobody else; later it serves
// by what it has.
func (node *Node) mayServeAlone(since time.Time) bool {
	known := node.ready.platformSeen.Load() || node.store.Summary().Highest > 0
	return known && time.Since(since) > node.options.AloneAfter
}

// askMembers pulls from several members at a time. It returns how many answered
// and how many of these were themselves up to date.
func (node *Node) askMembers() (answers, complete int) {
	type outcome struct {
		complete bool
		err      error
	}
	asked := node.syncSources()
	outcomes := make([]outcome, len(asked))
	var asking sync.WaitGroup
	for index, member := range asked {
		asking.Go(func() {
			upToDate, err := node.pull(member.Address)
			outcomes[index] = outcome{complete: upToDate, err: err}
		})
	}
	asking.Wait()
	for _, got := range outcomes {
		if got.err != nil {
			continue
		}
		answers++
		if got.complete {
			complete++
		}
	}
	return answers, complete
}

// syncSources draws members of different zones, as far as there are.
func (node *Node) syncSources() []swim.Member {
	others := node.others()
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

// others returns the members besides this node that may be asked.
func (node *Node) others() []swim.Member {
	var others []swim.Member
	for _, member := range node.Members() {
		if member.ID != node.options.Self.ID && member.State != swim.Suspect {
			others = append(others, member)
		}
	}
	return others
}
