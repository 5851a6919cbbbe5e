package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/membership"
)

// single drives one core by hand; its peers are only names.
type single struct {
	core *membership.Core
	now  time.Time
}

func newSingle(peers int) *single {
	now := time.Unix(1_000_000, 0)
	self := membership.Member{ID: "self", GossipAddress: "10.1.0.0:7000", Incarnation: 1}
	one := &single{now: now}
	one.core = membership.New(membership.DefaultOptions(), self, rand.New(rand.NewPCG(1, 2)), now)
	var entries []membership.Update
	for index := range peers {
		entries = append(entries, peerUpdate(index, membership.StatusAlive))
	}
	one.step(membership.Synced{Entries: entries})
	return one
}

func peerID(index int) string      { return fmt.Sprintf("peer-%d", index) }
func peerAddress(index int) string { return fmt.Sprintf("10.0.0.%d:7000", index) }

func peerUpdate(index int, status membership.Status) membership.Update {
	details := &membership.Details{GossipAddress: peerAddress(index)}
	return membership.Update{ID: peerID(index), Incarnation: 5, Status: status, Details: details}
}

func (one *single) step(event membership.Event) []membership.Action {
	return one.core.Step(event, one.now)
}

// run ticks for a while and returns what was done.
func (one *single) run(duration time.Duration) []membership.Action {
	var actions []membership.Action
	for end := one.now.Add(duration); one.now.Before(end); {
		one.now = one.now.Add(tickPeriod)
		actions = append(actions, one.core.Tick(one.now)...)
	}
	return actions
}

// hear keeps the core from taking itself for isolated.
func (one *single) hear(index int) {
	one.step(membership.Received{Address: peerAddress(index), Message: membership.Message{
		Kind: membership.Gossip, From: peerID(index), FromIncarnation: 5,
	}})
}

// pings returns the pings to a peer.
func pings(actions []membership.Action, index int) []membership.Message {
	var found []membership.Message
	for _, action := range actions {
		send, sent := action.(membership.Send)
		if sent && send.Address == peerAddress(index) && send.Message.Kind == membership.Ping {
			found = append(found, send.Message)
		}
	}
	return found
}

func changes(actions []membership.Action) []membership.Changed {
	var found []membership.Changed
	for _, action := range actions {
		if change, changed := action.(membership.Changed); changed {
			found = append(found, change)
		}
	}
	return found
}

// A probe that was under way when the node stopped proves nothing.
func TestProbeEndsWithPause(t *testing.T) {
	is := is.New(t)
	one := newSingle(1)
	for len(pings(one.run(tickPeriod), 0)) == 0 {
	}
	one.now = one.now.Add(time.Hour)
	actions := one.run(tickPeriod)
	is.Equal(one.core.Self().Incarnation, uint64(2)) // raised at wake-up
	is.Equal(len(changes(actions)), 0)
	is.Equal(len(changes(one.run(500*time.Millisecond))), 0)
}

// A suspect keeps its time to refute although the node stopped meanwhile.
func TestSuspicionOutlastsPause(t *testing.T) {
	is := is.New(t)
	one := newSingle(1)
	one.step(membership.Received{Address: peerAddress(0), Message: membership.Message{
		From: peerID(0), FromIncarnation: 5, Kind: membership.Gossip,
		Updates: []membership.Update{{ID: peerID(0), Incarnation: 5, Status: membership.StatusSuspect}},
	}})
	is.Equal(one.core.Members()[0].State, membership.Suspect)
	one.run(time.Second)
	one.now = one.now.Add(time.Hour)
	is.Equal(len(changes(one.run(2*time.Second))), 0)
	is.Equal(len(changes(one.run(3*time.Second))), 1) // dead after four seconds in all
}

// A ping to a suspect tells it so, also when the news was spread long ago.
func TestSuspectIsTold(t *testing.T) {
	is := is.New(t)
	one := newSingle(1)
	one.run(2500 * time.Millisecond)
	is.Equal(one.core.Members()[0].State, membership.Suspect)
	sent := pings(one.run(2*time.Second), 0)
	last := sent[len(sent)-1]
	is.Equal(last.Updates[0], membership.Update{ID: peerID(0), Incarnation: 5, Status: membership.StatusSuspect})
}

// Where another table contradicts this one, the member itself is asked at once.
func TestContradictedMemberIsProbed(t *testing.T) {
	const peers, contradicted = 40, 17
	for _, status := range []membership.Status{membership.StatusAlive, membership.StatusDead} {
		is := is.New(t)
		one := newSingle(peers)
		other := membership.StatusDead
		if status == membership.StatusDead {
			other = membership.StatusAlive
			for index := range peers {
				update := peerUpdate(index, membership.StatusDead)
				update.Details = nil
				one.hear(0)
				one.step(membership.Received{Address: peerAddress(99), Message: membership.Message{
					From: "stranger", Kind: membership.Gossip, Updates: []membership.Update{update},
				}})
			}
			is.Equal(len(one.core.Members()), 1)
		}
		one.step(membership.Synced{Entries: []membership.Update{peerUpdate(contradicted, other)}})
		is.Equal(len(pings(one.run(time.Second), contradicted)), 1)
	}
}

// Two nodes that hold each other dead, and one of which can not refute, do not
// answer each other without end.
func TestInformingIsBounded(t *testing.T) {
	is := is.New(t)
	one := newSingle(1)
	dead := peerUpdate(0, membership.StatusDead)
	answers := 0
	for range 100 {
		actions := one.step(membership.Received{Address: peerAddress(0), Message: membership.Message{
			From: peerID(0), FromIncarnation: 5, Kind: membership.Gossip, Updates: []membership.Update{dead},
		}})
		answers += len(actions) - len(changes(actions))
	}
	is.Equal(answers, 1)
}

// A later process at the address of a member replaces it without a probe.
func TestLaterProcessReplacesMember(t *testing.T) {
	is := is.New(t)
	one := newSingle(1)
	later := peerUpdate(0, membership.StatusAlive)
	later.ID, later.Incarnation = "later", 6
	one.step(membership.Received{Address: peerAddress(0), Message: membership.Message{
		From: "later", FromIncarnation: 6, Kind: membership.Gossip, Updates: []membership.Update{later},
	}})
	members := one.core.Members()
	is.Equal(len(members), 2)
	is.Equal(members[0].ID, "later")
}

// A member that is held dead may be cut off from those that it judges.
func TestNewsOfDeadMemberIsIgnored(t *testing.T) {
	is := is.New(t)
	one := newSingle(2)
	suspicion := membership.Update{ID: peerID(1), Incarnation: 5, Status: membership.StatusSuspect}
	one.step(membership.Received{Address: peerAddress(0), Message: membership.Message{
		From: peerID(0), FromIncarnation: 5, Kind: membership.Gossip,
		Updates: []membership.Update{peerUpdate(0, membership.StatusDead), suspicion},
	}})
	is.Equal(one.core.Members()[0].State, membership.Alive)
}

// Who hears that it is held dead answers the one that said so, who may be out
// of reach of gossip.
func TestRefutationGoesToInformer(t *testing.T) {
	is := is.New(t)
	one := newSingle(1)
	actions := one.step(membership.Received{Address: peerAddress(9), Message: membership.Message{
		From: "stranger", Kind: membership.Ack,
		Updates: []membership.Update{{ID: "self", Incarnation: 7, Status: membership.StatusDead}},
	}})
	answer := actions[0].(membership.Send)
	is.Equal(answer.Address, peerAddress(9))
	is.Equal(answer.Message.FromIncarnation, uint64(8))
}

// A new process sends its details also when it has had to refute: some may know
// an earlier one elsewhere.
func TestRefutationOfNewProcessHasDetails(t *testing.T) {
	is := is.New(t)
	one := newSingle(1)
	one.step(membership.Received{Address: peerAddress(0), Message: membership.Message{
		From: peerID(0), FromIncarnation: 5, Kind: membership.Gossip,
		Updates: []membership.Update{{ID: "self", Incarnation: 3, Status: membership.StatusSuspect}},
	}})
	found := false
	for _, action := range one.run(time.Second) {
		send, sent := action.(membership.Send)
		for _, update := range send.Message.Updates {
			found = found || sent && update.ID == "self" && update.Incarnation == 4 && update.Details != nil
		}
	}
	is.True(found)
}
