package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/driftstage/driftstage/internal/membership"
)

// The bounds are in virtual time; seeds make every run the same.
const (
	joinBound = 30 * time.Second
	// deathBound covers a probe round, the suspicion and the spread.
	deathBound  = 30 * time.Second
	rejoinBound = 90 * time.Second
)

func started(t testing.TB, seed uint64, count int) *simulator {
	simulation := newSimulator(seed, count)
	simulation.startAll()
	mustAgree(t, simulation, joinBound)
	return simulation
}

// fataler is what testing.T and rapid.T have in common.
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

// Under loss, duplication, reordering, one-way cuts, freezes, kills and
// restarts, drawn at random, all running nodes agree on who runs once the
// faults are over.
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
				simulation.thaw(node)
			}
		}
		// One of the seeds must run, or parts that never met can not find each other.
		if !simulation.nodes[0].running {
			simulation.startNode(simulation.nodes[0], "node-000-again")
		}
		mustAgree(t, simulation, rejoinBound)
	})
}

// Many nodes that start at once know each other soon: what is slow in news is
// fetched by whole tables.
func TestManyStartAtOnce(t *testing.T) {
	simulation := newSimulator(1, 200)
	simulation.startAll()
	took := mustAgree(t, simulation, 5*time.Second)
	t.Logf("agreed after %v", took)
}

// A killed node is found dead by all within the bound.
func TestKilledNodeIsFound(t *testing.T) {
	for _, count := range []int{3, 5, 40} {
		for seed := range uint64(5) {
			simulation := started(t, seed, count)
			simulation.run(20 * time.Second)
			simulation.kill(simulation.nodes[count-1])
			mustAgree(t, simulation, deathBound)
		}
	}
}

// Without faults but some loss, nobody is ever found dead.
func TestNobodyDiesOfLoss(t *testing.T) {
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

// A link that is cut one way, between two nodes that others reach, makes nobody suspect.
func TestOneWayCutBetweenTwoNodes(t *testing.T) {
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

// A node that can send but not hear is found dead, while its own doubts about
// the others, which it can spread, kill nobody for good.
func TestDeafNode(t *testing.T) {
	for seed := range uint64(5) {
		simulation := started(t, seed, 8)
		deaf := simulation.nodes[3]
		simulation.cut = func(_, receiver *simulatedNode) bool { return receiver == deaf }
		simulation.run(time.Minute)
		for _, node := range simulation.nodes {
			_, found := node.deaths[deaf.id]
			if node != deaf && (!found || len(node.deaths) > 1) {
				t.Fatalf("seed %d: %s found dead: %v", seed, node.id, node.deaths)
			}
		}
		if !deaf.core.Isolated() {
			t.Fatalf("seed %d: the deaf node did not notice", seed)
		}
		simulation.cut = newSimulator(0, 0).cut
		mustAgree(t, simulation, rejoinBound)
	}
}

// Regions that lost each other for an hour, and all their nodes meanwhile
// replaced in one of them, join again, with or without seeds.
func TestRegionsRejoin(t *testing.T) {
	for seed := range uint64(4) {
		withSeeds := seed%2 == 0
		simulation := started(t, seed, 16)
		simulation.cut = func(from, to *simulatedNode) bool { return from.region != to.region }
		simulation.run(time.Minute)
		if first := simulation.nodes[0].core.Members(); len(first) != 8 {
			t.Fatalf("seed %d: %d members in a region of 8 that is cut off", seed, len(first))
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
		t.Logf("seed %d: joined again after %v", seed, took)
	}
}

// A frozen node is found dead, notices at wake-up, and is taken back.
func TestFrozenNodeComesBack(t *testing.T) {
	is := is.New(t)
	simulation := started(t, 1, 8)
	frozen := simulation.nodes[4]
	simulation.freeze(frozen)
	simulation.run(time.Minute)
	is.Equal(len(simulation.nodes[0].core.Members()), 7)
	is.Equal(frozen.paused, 0)
	simulation.thaw(frozen)
	simulation.run(tickPeriod)
	is.Equal(frozen.paused, 1)
	mustAgree(t, simulation, 10*time.Second)
	is.Equal(len(frozen.deaths), 0) // its own stop proves nothing about the others
}

// A process that restarts at once, under a new ID or the same one, replaces the
// old one without waiting for its death.
func TestRestartReplacesAtOnce(t *testing.T) {
	for _, suffix := range []string{"", "-new"} {
		simulation := started(t, 1, 8)
		simulation.run(10 * time.Second)
		restarted := simulation.nodes[4]
		simulation.startNode(restarted, restarted.id+suffix)
		mustAgree(t, simulation, 3*time.Second)
	}
}

// A process that restarts under its name at another address is known there, also
// when messages are lost and it is suspected meanwhile.
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

// A restarted process whose wall clock went back still replaces the old one.
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

// A leaving node is seen as such by all, and its exit is no failure.
func TestLeave(t *testing.T) {
	is := is.New(t)
	simulation := started(t, 1, 20)
	leaving := simulation.nodes[7]
	simulation.step(leaving, membership.Leave{})
	seen := func() bool {
		for _, node := range simulation.nodes {
			for _, member := range node.core.Members() {
				if member.ID == leaving.id && member.State != membership.Leaving {
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
	simulation.step(leaving, membership.Exit{})
	simulation.kill(leaving)
	mustAgree(t, simulation, 3*time.Second)
}

// No message is larger than the bound.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	simulation := newSimulator(1, 60)
	simulation.startAll()
	simulation.run(time.Minute)
	is.True(simulation.largest > 600) // so that the bound was put to the test
	is.True(simulation.largest <= simulation.options.DatagramBytes)
}
