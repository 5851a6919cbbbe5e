package membership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/membership"
)

// tell has a peer send news about the last peer.
func (one *single) tell(teller int, update membership.Update) []membership.Action {
	return one.step(membership.Received{Address: peerAddress(teller), Message: membership.Message{
		From: peerID(teller), FromIncarnation: 5, Kind: membership.Gossip,
		Updates: []membership.Update{update},
	}})
}

// hears runs for a while in which the first peer goes on talking.
func (one *single) hears(duration time.Duration) []membership.Action {
	var actions []membership.Action
	for end := one.now.Add(duration); one.now.Before(end); {
		one.hear(0)
		actions = append(actions, one.run(tickPeriod)...)
	}
	return actions
}

// spreadOf returns the last status of a peer that was sent to others.
func spreadOf(actions []membership.Action, index int) (status membership.Status) {
	for _, action := range actions {
		send, sent := action.(membership.Send)
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
func (one *single) failed(index int) bool {
	return slices.ContainsFunc(one.core.Failed(), func(failed membership.Failed) bool { return failed.ID == peerID(index) })
}

// A member that announced that it leaves and falls silent after that has left, for those
// as well that hear of its end only.
func TestLeavingMemberThatFallsSilentHasLeft(t *testing.T) {
	is := is.New(t)
	one := newSingle(2)
	one.tell(0, membership.Update{ID: peerID(1), Incarnation: 6, Status: membership.StatusLeaving})
	one.tell(0, membership.Update{ID: peerID(1), Incarnation: 6, Status: membership.StatusSuspect})
	actions := one.hears(10 * time.Second)
	is.True(!one.failed(1))
	is.Equal(spreadOf(actions, 1), membership.StatusLeft)
}

// Another node that has not heard of the leave may find the member dead first.
func TestLeavingMemberFoundDeadByOthersHasLeft(t *testing.T) {
	is := is.New(t)
	one := newSingle(2)
	one.tell(0, membership.Update{ID: peerID(1), Incarnation: 6, Status: membership.StatusLeaving})
	one.tell(0, membership.Update{ID: peerID(1), Incarnation: 6, Status: membership.StatusDead})
	is.True(!one.failed(1))
	is.Equal(spreadOf(one.hears(time.Second), 1), membership.StatusLeft)
}

// The news of a leave may come after the suspicion or the end that it explains.
func TestLateNewsOfALeaveCounts(t *testing.T) {
	for _, test := range []struct {
		name string
		end  membership.Status
	}{
		{"suspected", membership.StatusSuspect},
		{"dead", membership.StatusDead},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			one := newSingle(2)
			one.tell(0, membership.Update{ID: peerID(1), Incarnation: 6, Status: test.end})
			one.tell(0, membership.Update{ID: peerID(1), Incarnation: 6, Status: membership.StatusLeaving})
			actions := one.hears(10 * time.Second)
			is.True(!one.failed(1))
			is.Equal(spreadOf(actions, 1), membership.StatusLeft)
		})
	}
}

// A member that never announced anything has failed.
func TestMemberThatAnnouncedNothingHasFailed(t *testing.T) {
	is := is.New(t)
	one := newSingle(2)
	one.tell(0, membership.Update{ID: peerID(1), Incarnation: 6, Status: membership.StatusSuspect})
	one.hears(10 * time.Second)
	is.True(one.failed(1))
}
