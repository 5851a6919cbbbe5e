package swim_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/swim"
)

// deliverUpdate delivers an update from a peer.
func (h *harness) deliverUpdate(sender int, update swim.Update) []swim.Action {
	return h.step(swim.Received{Address: peerAddress(sender), Message: swim.Message{
		From: peerID(sender), FromIncarnation: 5, Kind: swim.Gossip,
		Updates: []swim.Update{update},
	}})
}

// runWithGossip runs for a while in which the first peer keeps sending messages.
func (h *harness) runWithGossip(duration time.Duration) []swim.Action {
	var actions []swim.Action
	for end := h.now.Add(duration); h.now.Before(end); {
		h.deliverGossip(0)
		actions = append(actions, h.run(tickPeriod)...)
	}
	return actions
}

// sentStatus returns the last status of a peer that was sent to others.
func sentStatus(actions []swim.Action, index int) (status swim.Status) {
	for _, action := range actions {
		send, sent := action.(swim.Send)
		if !sent {
			continue
		}
		for _, update := range send.Message.Updates {
			if update.ID == peerID(index) {
				status = update.Status
			}
		}
	}
	return status
}

// failed reports whether a peer counts as failed.
func (h *harness) failed(index int) bool {
	return slices.ContainsFunc(h.core.Failed(), func(failed swim.Failed) bool { return failed.ID == peerID(index) })
}

// A member that announced a leave and then stops answering has left, also for nodes that only
// receive the claim of its death.
func TestSilentLeavingMemberHasLeft(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.deliverUpdate(0, swim.Update{ID: peerID(1), Incarnation: 6, Status: swim.StatusLeaving})
	h.deliverUpdate(0, swim.Update{ID: peerID(1), Incarnation: 6, Status: swim.StatusSuspect})
	actions := h.runWithGossip(10 * time.Second)
	is.True(!h.failed(1))
	is.Equal(sentStatus(actions, 1), swim.StatusLeft)
}

// Another node that has not received the leave may find the member dead first.
func TestLeavingMemberFoundDeadByOthersHasLeft(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.deliverUpdate(0, swim.Update{ID: peerID(1), Incarnation: 6, Status: swim.StatusLeaving})
	h.deliverUpdate(0, swim.Update{ID: peerID(1), Incarnation: 6, Status: swim.StatusDead})
	is.True(!h.failed(1))
	is.Equal(sentStatus(h.runWithGossip(time.Second), 1), swim.StatusLeft)
}

// The leave may arrive after the suspicion or the death that it explains.
func TestLateLeaveCounts(t *testing.T) {
	for _, test := range []struct {
		name string
		end  swim.Status
	}{
		{"suspected", swim.StatusSuspect},
		{"dead", swim.StatusDead},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			h.deliverUpdate(0, swim.Update{ID: peerID(1), Incarnation: 6, Status: test.end})
			h.deliverUpdate(0, swim.Update{ID: peerID(1), Incarnation: 6, Status: swim.StatusLeaving})
			actions := h.runWithGossip(10 * time.Second)
			is.True(!h.failed(1))
			is.Equal(sentStatus(actions, 1), swim.StatusLeft)
		})
	}
}

// A member that never announced a leave has failed.
func TestSilentMemberHasFailed(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.deliverUpdate(0, swim.Update{ID: peerID(1), Incarnation: 6, Status: swim.StatusSuspect})
	h.runWithGossip(10 * time.Second)
	is.True(h.failed(1))
}

// Guards against a leave that ends before all members know of it: with lost messages that takes longer
// than any fixed time.
func TestConfirmedLeaveIsKnown(t *testing.T) {
	for _, test := range []struct {
		nodes int
		loss  float64
		seeds uint64
	}{{7, 0, 20}, {7, 0.1, 20}, {7, 0.3, 20}, {100, 0, 3}, {100, 0.1, 3}, {100, 0.3, 3}} {
		var longest time.Duration
		for seed := range test.seeds {
			simulation := newSimulator(seed+1, test.nodes)
			simulation.startAll()
			simulation.run(15 * time.Second)
			simulation.loss = test.loss
			leaving := simulation.nodes[test.nodes/2]
			simulation.step(leaving, swim.Leave{})
			took, confirmed := simulation.runUntil(5*time.Second, func() bool { return leaving.core.UnconfirmedLeave() == 0 })
			longest = max(longest, took)
			if unaware := simulation.unawareOfLeave(leaving); !confirmed || unaware > 0 {
				t.Errorf("%d nodes, loss %v, seed %d: confirmed %v, %d members do not know of it", test.nodes, test.loss, seed, confirmed, unaware)
			}
		}
		t.Logf("%d nodes, loss %v: confirmed after %v at most", test.nodes, test.loss, longest)
	}
}

// unawareOfLeave returns the number of nodes that consider the node a member that is not leaving.
func (simulation *simulator) unawareOfLeave(leaving *simulatedNode) int {
	count := 0
	for _, node := range simulation.nodes {
		for _, member := range node.core.Members() {
			if node != leaving && member.ID == leaving.id && member.State != swim.Leaving {
				count++
			}
		}
	}
	return count
}
