package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/driftstage/driftstage/internal/boottime"
)

// Notice tells other nodes of a record that the sender could not write to the store.
type Notice struct {
	// Node is the sender.
	Node   string `json:"node"`
	Record Record `json:"record"`
	// Cleared is set if the request was answered: then the record holds only the digest.
	Cleared bool `json:"cleared,omitempty"`
}

// forwardJitter spreads the writes of the nodes that received a notice, which write it to the
// store in place of the sender: one of them is enough.
const forwardJitter = time.Second

// clearedRetention is how long notices on a cleared record are considered older than its removal:
// nodes that cannot write to the store repeat them every publishRetryDelay.
const clearedRetention = 2 * publishRetryDelay

// broadcast sends a notice to other nodes.
func (m *Manager) broadcast(notice Notice) {
	if m.Broadcast == nil {
		return
	}
	notice.Node = m.Node
	m.Broadcast(notice)
}

// ReceiveNotice applies a notice of another node.
func (m *Manager) ReceiveNotice(notice Notice) {
	if m == nil || m.Term == 0 {
		return
	}
	m.locked(func(now boottime.Instant) {
		if notice.Cleared {
			m.records.Release(notice.Record.Digest, now)
			return
		}
		m.records.ApplyNotice(notice, now, rand.N(forwardJitter))
	})
}

// ApplyNotice applies a notice of another node. Its content is written to the store after forwardDelay,
// unless it arrives from there first.
func (r *recordTable) ApplyNotice(notice Notice, now boottime.Instant, forwardDelay time.Duration) {
	received := notice.Record.clone()
	e := r.entries[received.Digest]
	if e == nil {
		if cleared, found := r.removed[received.Digest]; found && now.Sub(cleared) < clearedRetention || !r.makeRoom() {
			return
		}
		e = r.put(Record{Digest: received.Digest})
	}
	failed := e.record.FailedTrials()
	changed := e.record.merge(received)
	if e.record.FailedTrials() > failed {
		e.lastFailure = now
	}
	e.replaceTrialsOf(notice.Node, received.Trials, now)
	if changed && e.publishAt == 0 {
		e.publishAt = now.Add(publishDelay + forwardDelay)
	}
	e.lastChange = now
	e.notify()
}

// replaceTrialsOf replaces the trials of a node by those in its notice. What the notice says about
// trials of other nodes is ignored, since it may be outdated.
func (e *entry) replaceTrialsOf(node string, trials []Trial, now boottime.Instant) {
	e.record.dropTrials(func(t Trial) bool { return t.Node == node })
	for _, t := range trials {
		if t.Node == node {
			t.seenAt = now
			e.record.Trials = append(e.record.Trials, t)
		}
	}
}
