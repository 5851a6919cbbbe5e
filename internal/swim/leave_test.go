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
