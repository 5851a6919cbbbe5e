package swim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/swim"
)

// harness drives a single core step by step; its peers are simulated by messages.
type harness struct {
	core *swim.Core
	now  time.Time
}

func newHarness(peers int) *harness {
	now := time.Unix(1_000_000, 0)
	self := swim.Member{ID: "self", GossipAddress: "10.1.0.0:7000", Incarnation: 1}
	h := &harness{now: now}
	h.core = swim.New(swim.DefaultOptions(), self, rand.New(rand.NewPCG(1, 2)), now)
	var entries []swim.Update
	for index := range peers {
		entries = append(entries, peerUpdate(index, swim.StatusAlive))
	}
	h.step(swim.Synced{Entries: entries})
	return h
}

func peerID(index int) string      { return fmt.Sprintf("peer-%d", index) }
func peerAddress(index int) string { return fmt.Sprintf("10.0.0.%d:7000", index) }

func peerUpdate(index int, status swim.Status) swim.Update {
	details := &swim.Details{GossipAddress: peerAddress(index)}
	return swim.Update{ID: peerID(index), Incarnation: 5, Status: status, Details: details}
}

func (h *harness) step(event swim.Event) []swim.Action {
	return h.core.Step(event, h.now)
}

// run ticks for a while and returns the actions.
func (h *harness) run(duration time.Duration) []swim.Action {
	var actions []swim.Action
	for end := h.now.Add(duration); h.now.Before(end); {
		h.now = h.now.Add(tickPeriod)
		actions = append(actions, h.core.Tick(h.now)...)
	}
	return actions
}

// deliverGossip delivers a message from a peer, which keeps the core from becoming isolated.
func (h *harness) deliverGossip(index int) {
	h.step(swim.Received{Address: peerAddress(index), Message: swim.Message{
		Kind: swim.Gossip, From: peerID(index), FromIncarnation: 5,
	}})
}

// pings returns the pings to a peer.
func pings(actions []swim.Action, index int) []swim.Message {
	var found []swim.Message
	for _, action := range actions {
		send, sent := action.(swim.Send)
		if sent && send.Address == peerAddress(index) && send.Message.Kind == swim.Ping {
			found = append(found, send.Message)
		}
	}
	return found
}

func changes(actions []swim.Action) []swim.Changed {
	var found []swim.Changed
	for _, action := range actions {
		if change, changed := action.(swim.Changed); changed {
			found = append(found, change)
		}
	}
	return found
}

// A probe in progress when the process is paused has no effect.
func TestProbeEndsWithPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	for len(pings(h.run(tickPeriod), 0)) == 0 {
	}
	h.now = h.now.Add(time.Hour)
	actions := h.run(tickPeriod)
	is.Equal(h.core.Self().Incarnation, uint64(2)) // raised after the pause
	is.Equal(len(changes(actions)), 0)
	is.Equal(len(changes(h.run(500*time.Millisecond))), 0)
}

// A suspect keeps its time to refute although the process was paused meanwhile.
func TestSuspicionOutlastsPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.step(swim.Received{Address: peerAddress(0), Message: swim.Message{
		From: peerID(0), FromIncarnation: 5, Kind: swim.Gossip,
		Updates: []swim.Update{{ID: peerID(0), Incarnation: 5, Status: swim.StatusSuspect}},
	}})
	is.Equal(h.core.Members()[0].State, swim.Suspect)
	h.run(time.Second)
	h.now = h.now.Add(time.Hour)
	is.Equal(len(changes(h.run(2*time.Second))), 0)
	is.Equal(len(changes(h.run(3*time.Second))), 1) // dead after four seconds in total
}

// A ping to a suspect carries the suspicion, even after all transmissions of that update.
func TestPingCarriesSuspicion(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.run(2500 * time.Millisecond)
	is.Equal(h.core.Members()[0].State, swim.Suspect)
	sent := pings(h.run(2*time.Second), 0)
	last := sent[len(sent)-1]
	is.Equal(last.Updates[0], swim.Update{ID: peerID(0), Incarnation: 5, Status: swim.StatusSuspect})
}

// If another table contradicts this one about a member, that member is probed immediately.
func TestContradictedMemberIsProbed(t *testing.T) {
	const peers, contradicted = 40, 17
	for _, status := range []swim.Status{swim.StatusAlive, swim.StatusDead} {
		is := is.New(t)
		h := newHarness(peers)
		other := swim.StatusDead
		if status == swim.StatusDead {
			other = swim.StatusAlive
			for index := range peers {
				update := peerUpdate(index, swim.StatusDead)
				update.Details = nil
				h.deliverGossip(0)
				h.step(swim.Received{Address: peerAddress(99), Message: swim.Message{
					From: "stranger", Kind: swim.Gossip, Updates: []swim.Update{update},
				}})
			}
			is.Equal(len(h.core.Members()), 1)
		}
		h.step(swim.Synced{Entries: []swim.Update{peerUpdate(contradicted, other)}})
		is.Equal(len(pings(h.run(time.Second), contradicted)), 1)
	}
}

// Two nodes that consider each other dead, one of which cannot refute, do not reply to each other
// endlessly.
func TestRepliesAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	dead := peerUpdate(0, swim.StatusDead)
	answers := 0
	for range 100 {
		actions := h.step(swim.Received{Address: peerAddress(0), Message: swim.Message{
			From: peerID(0), FromIncarnation: 5, Kind: swim.Gossip, Updates: []swim.Update{dead},
		}})
		answers += len(actions) - len(changes(actions))
	}
	is.Equal(answers, 1)
}

// A later process at the address of a member replaces it without a probe.
func TestLaterProcessReplacesMember(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	later := peerUpdate(0, swim.StatusAlive)
	later.ID, later.Incarnation = "later", 6
	h.step(swim.Received{Address: peerAddress(0), Message: swim.Message{
		From: "later", FromIncarnation: 6, Kind: swim.Gossip, Updates: []swim.Update{later},
	}})
	members := h.core.Members()
	is.Equal(len(members), 2)
	is.Equal(members[0].ID, "later")
}

// Claims of a dead member about others are ignored: it may be partitioned from the members that it
// suspects.
func TestUpdatesFromDeadMemberAreIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	suspicion := swim.Update{ID: peerID(1), Incarnation: 5, Status: swim.StatusSuspect}
	h.step(swim.Received{Address: peerAddress(0), Message: swim.Message{
		From: peerID(0), FromIncarnation: 5, Kind: swim.Gossip,
		Updates: []swim.Update{peerUpdate(0, swim.StatusDead), suspicion},
	}})
	is.Equal(h.core.Members()[0].State, swim.Alive)
}

// A node that is told that it is considered dead replies to the sender, which gossip may not reach.
func TestRefutationGoesToSender(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	actions := h.step(swim.Received{Address: peerAddress(9), Message: swim.Message{
		From: "stranger", Kind: swim.Ack,
		Updates: []swim.Update{{ID: "self", Incarnation: 7, Status: swim.StatusDead}},
	}})
	answer := actions[0].(swim.Send)
	is.Equal(answer.Address, peerAddress(9))
	is.Equal(answer.Message.FromIncarnation, uint64(8))
}

// A new process sends its details even after it had to refute: some nodes may know an earlier
// process at another address.
func TestRefutationOfNewProcessHasDetails(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.step(swim.Received{Address: peerAddress(0), Message: swim.Message{
		From: peerID(0), FromIncarnation: 5, Kind: swim.Gossip,
		Updates: []swim.Update{{ID: "self", Incarnation: 3, Status: swim.StatusSuspect}},
	}})
	found := false
	for _, action := range h.run(time.Second) {
		send, sent := action.(swim.Send)
		for _, update := range send.Message.Updates {
			found = found || sent && update.ID == "self" && update.Incarnation == 4 && update.Details != nil
		}
	}
	is.True(found)
}
