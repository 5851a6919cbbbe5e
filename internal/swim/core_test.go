package swim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/driftstage/driftstage/internal/swim"
)

// The bounds are in virtual time; fixed seeds make every run the same.
const (
	joinBound = 30 * time.Second
	// deathBound covers a probe round, the suspicion and the dissemination.
	deathBound  = 30 * time.Second
	rejoinBound = 90 * time.Second
)

func started(t testing.TB, seed uint64, count int) *simulator {
	simulation := newSimulator(seed, count)
	simulation.startAll()
	mustAgree(t, simulation, joinBound)
	return simulation
}

// fataler is the common part of testing.T and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

func mustAgree(t fataler, simulation *simulator, bound time.Duration) time.Duration {
	took, agreed := simulation.runUntil(bound, simulation.agreed)
	if !agreed {
		t.Fatalf("no agreement after %v: %s", bound, simulation.disagreement())
	}
	return took
}

// After loss, duplication, reordering, one-way partitions, freezes, kills and restarts, drawn at
// random, all running nodes agree on the running nodes.
func TestAgreementAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulator(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"))
		simulation.startAll()
		simulation.run(5 * time.Second)
		simulation.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		simulation.duplicate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplicate")
		restarts := 0
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			node := simulation.nodes[rapid.IntRange(0, len(simulation.nodes)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"freeze", "kill", "restart", "cut", "zone"}).Draw(t, "fault") {
			case "freeze":
				simulation.freeze(node)
			case "kill":
				simulation.kill(node)
			case "restart":
				restarts++
				simulation.startNode(node, fmt.Sprintf("node-%03d-%d", node.index, restarts))
			case "cut":
				simulation.cut = func(from, to *simulatedNode) bool { return to == node }
			case "zone":
				simulation.cut = func(from, to *simulatedNode) bool { return (from.zone == node.zone) != (to.zone == node.zone) }
			}
			simulation.run(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "millis")) * time.Millisecond)
		}
		simulation.loss, simulation.cut = 0, newSimulator(0, 0).cut
		for _, node := range simulation.nodes {
			if node.frozen {
				simulation.unfreeze(node)
			}
		}
		// A seed must run: otherwise, partitions whose members never knew each other cannot rejoin.
		if !simulation.nodes[0].running {
			simulation.startNode(simulation.nodes[0], "node-000-again")
		}
		mustAgree(t, simulation, rejoinBound)
	})
}

// Many nodes that start at once soon know each other: table syncs deliver what gossip alone would
// deliver slowly.
func TestManyStartAtOnce(t *testing.T) {
	simulation := newSimulator(1, 200)
	simulation.startAll()
	took := mustAgree(t, simulation, 5*time.Second)
	t.Logf("agreed after %v", took)
}

// All nodes find a killed node dead within the bound.
func TestKilledNodeIsFoundDead(t *testing.T) {
	for _, count := range []int{3, 5, 40} {
		for seed := range uint64(5) {
			simulation := started(t, seed, count)
			simulation.run(20 * time.Second)
			simulation.kill(simulation.nodes[count-1])
			mustAgree(t, simulation, deathBound)
		}
	}
}

// With some message loss and no other fault, no node is ever found dead.
func TestNoFalseDeathsUnderLoss(t *testing.T) {
	for seed := range uint64(5) {
		simulation := started(t, seed, 20)
		simulation.loss = 0.05
		simulation.run(3 * time.Minute)
		for _, node := range simulation.nodes {
			if len(node.deaths) > 0 {
				t.Fatalf("seed %d: %s found dead: %v", seed, node.id, node.deaths)
			}
		}
	}
}

// If messages between two nodes are lost in one direction and others reach both, no node is
// suspected.
func TestOneWayPartitionBetweenTwoNodes(t *testing.T) {
	for seed := range uint64(5) {
		simulation := started(t, seed, 8)
		from, to := simulation.nodes[2], simulation.nodes[5]
		simulation.cut = func(sender, receiver *simulatedNode) bool { return sender == from && receiver == to }
		simulation.run(2 * time.Minute)
		for _, node := range simulation.nodes {
			if node.suspicions > 0 {
				t.Fatalf("seed %d: %s suspected others %d times", seed, node.id, node.suspicions)
			}
		}
	}
}

// A node that can send but not receive is found dead. Its own suspicions of the others, which it
// can send, do not permanently remove any of them.
func TestNodeThatCannotReceive(t *testing.T) {
	for seed := range uint64(5) {
		simulation := started(t, seed, 8)
		unreachable := simulation.nodes[3]
		simulation.cut = func(_, receiver *simulatedNode) bool { return receiver == unreachable }
		simulation.run(time.Minute)
		for _, node := range simulation.nodes {
			_, found := node.deaths[unreachable.id]
			if node != unreachable && (!found || len(node.deaths) > 1) {
				t.Fatalf("seed %d: %s found dead: %v", seed, node.id, node.deaths)
			}
		}
		if !unreachable.core.Isolated() {
			t.Fatalf("seed %d: the unreachable node did not detect its isolation", seed)
		}
		simulation.cut = newSimulator(0, 0).cut
		mustAgree(t, simulation, rejoinBound)
	}
}

// Regions that are partitioned for an hour, during which all nodes of one of them are replaced,
// rejoin with or without seeds.
func TestRegionsRejoin(t *testing.T) {
	for seed := range uint64(4) {
		withSeeds := seed%2 == 0
		simulation := started(t, seed, 16)
		simulation.cut = func(from, to *simulatedNode) bool { return from.region != to.region }
		simulation.run(time.Minute)
		if first := simulation.nodes[0].core.Members(); len(first) != 8 {
			t.Fatalf("seed %d: %d members in a partitioned region of 8", seed, len(first))
		}
		simulation.run(29 * time.Minute)
		for _, node := range simulation.nodes {
			if node.region == "region-1" {
				simulation.startNode(node, node.id+"-new")
				simulation.run(10 * time.Second)
			}
		}
		simulation.run(29 * time.Minute)
		if !withSeeds {
			simulation.replaceSeeds(nil)
		}
		simulation.cut = newSimulator(0, 0).cut
		took := mustAgree(t, simulation, rejoinBound)
		t.Logf("seed %d: rejoined after %v", seed, took)
	}
}

// A frozen node is found dead, detects the pause when it resumes, and rejoins.
func TestFrozenNodeRejoins(t *testing.T) {
	is := is.New(t)
	simulation := started(t, 1, 8)
	frozen := simulation.nodes[4]
	simulation.freeze(frozen)
	simulation.run(time.Minute)
	is.Equal(len(simulation.nodes[0].core.Members()), 7)
	is.Equal(frozen.paused, 0)
	simulation.unfreeze(frozen)
	simulation.run(tickPeriod)
	is.Equal(frozen.paused, 1)
	mustAgree(t, simulation, 10*time.Second)
	is.Equal(len(frozen.deaths), 0) // its own pause proves nothing about the others
}

// A process that restarts immediately, under a new ID or the same one, replaces the old one before
// that would be found dead.
func TestRestartReplacesImmediately(t *testing.T) {
	for _, suffix := range []string{"", "-new"} {
		simulation := started(t, 1, 8)
		simulation.run(10 * time.Second)
		restarted := simulation.nodes[4]
		simulation.startNode(restarted, restarted.id+suffix)
		mustAgree(t, simulation, 3*time.Second)
	}
}

// A process that restarts under its ID at another address is known at the new address, even if
// messages are lost and it is suspected meanwhile.
func TestRestartAtAnotherAddress(t *testing.T) {
	for seed := range uint64(20) {
		simulation := started(t, seed, 8)
		simulation.run(10 * time.Second)
		moved := simulation.nodes[4]
		simulation.kill(moved)
		simulation.run(3 * time.Second)
		simulation.loss = 0.4
		moved.address = "10.0.9.9:7000"
		simulation.startNode(moved, moved.id)
		simulation.run(5 * time.Second)
		simulation.loss = 0
		mustAgree(t, simulation, joinBound)
		for _, node := range simulation.nodes {
			for _, member := range node.core.Members() {
				if member.ID == moved.id && member.GossipAddress != moved.address {
					t.Fatalf("seed %d: %s knows it at %s", seed, node.id, member.GossipAddress)
				}
			}
		}
	}
}

// A restarted process whose wall clock has gone back still replaces the old one.
func TestRestartWithEarlierClock(t *testing.T) {
	for _, suffix := range []string{"", "-new"} {
		simulation := started(t, 1, 8)
		simulation.run(10 * time.Second)
		restarted := simulation.nodes[4]
		simulation.start = simulation.now
		simulation.startNode(restarted, restarted.id+suffix)
		mustAgree(t, simulation, deathBound)
	}
}

// All nodes see a leaving node as leaving, and its exit is not a failure.
func TestLeave(t *testing.T) {
	is := is.New(t)
	simulation := started(t, 1, 20)
	leaving := simulation.nodes[7]
	simulation.step(leaving, swim.Leave{})
	seen := func() bool {
		for _, node := range simulation.nodes {
			for _, member := range node.core.Members() {
				if member.ID == leaving.id && member.State != swim.Leaving {
					return false
				}
			}
		}
		return true
	}
	_, held := simulation.runUntil(3*time.Second, seen)
	is.True(held)
	simulation.run(10 * time.Second)
	is.True(seen())
	simulation.step(leaving, swim.Exit{})
	simulation.kill(leaving)
	mustAgree(t, simulation, 3*time.Second)
}

// No message exceeds the bound.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	simulation := newSimulator(1, 60)
	simulation.startAll()
	simulation.run(time.Minute)
	is.True(simulation.largest > 600) // otherwise the bound was not tested
	is.True(simulation.largest <= simulation.options.MaxDatagramBytes)
}
