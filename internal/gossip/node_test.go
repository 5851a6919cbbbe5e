package gossip_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/swim"
)

// A revision published at any node is applied at all of them; an older one published
// later at any node is ignored; a tombstone removes the service.
func TestPublish(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 6)
	cluster.awaitMembers(6)
	cluster.nodes[3].Publish(entry(7))
	cluster.awaitRevision(7)
	found, exists := cluster.nodes[0].store.Service(service)
	is.True(exists)
	is.Equal(found.Spec.Path, "/revision/7")
	cluster.nodes[5].Publish(entry(6))
	cluster.nodes[1].Publish(entry(8))
	cluster.awaitRevision(8)
	cluster.nodes[2].Publish(tombstone(9))
	cluster.awaitRevision(9)
	is.Equal(len(cluster.nodes[0].store.Services()), 0)
}

// CountApplied counts the nodes that apply a revision and names the others. With 80 nodes it
// queries more than one group via delegates.
func TestApplied(t *testing.T) {
	for _, count := range []int{5, 80} {
		is := is.New(t)
		cluster := newCluster(t, 0)
		cluster.membership.SuspicionPeriods = 1000 // the lagging node stays a member
		cluster.startMany(count)
		cluster.awaitMembers(count)
		cluster.isolate(4)
		cluster.nodes[0].Publish(entry(1))
		cluster.eventually("all but one apply it", func() bool {
			total, applied, lagging := cluster.nodes[1].CountApplied(context.Background(), service, 1)
			is.Equal(total, count)
			return applied == count-1 && len(lagging) == 1 && lagging[0] == cluster.nodes[4].self.ID
		})
		cluster.blockLinks(nil)
		cluster.eventually("all apply it", func() bool {
			total, applied, lagging := cluster.nodes[1].CountApplied(context.Background(), service, 1)
			return total == count && applied == count && len(lagging) == 0
		})
	}
}

// Guards against a node that starts with an outdated configuration because the first
// member it syncs with has missed the newest revision.
func TestStartSyncsHighestRevision(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.awaitMembers(3)
	cluster.nodes[0].Publish(entry(1))
	cluster.awaitRevision(1)
	cluster.isolate(2)
	cluster.nodes[0].Publish(entry(2))
	cluster.eventually("revision 2 at the other", func() bool { return cluster.nodes[1].store.Revision(service) == 2 })
	// The new node reaches all three; the outdated node still reaches no other one.
	cluster.blockLinks(func(from, to int) bool { return (from == 2) != (to == 2) && from != 3 && to != 3 })
	starting := cluster.startWith([]string{
		cluster.nodes[0].self.GossipAddress,
		cluster.nodes[1].self.GossipAddress,
		cluster.nodes[2].self.GossipAddress,
	})
	cluster.eventually("ready", starting.Ready)
	if held := starting.store.Revision(service); held != 2 {
		t.Fatalf("ready with revision %d", held)
	}
}

// A node without any member to join and without a machine list is never ready: it cannot
// know the configuration.
func TestStartWithoutMembersOrMachineList(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 0)
	node := cluster.startWith(nil)
	time.Sleep(2 * cluster.syncTimeout)
	is.True(!node.Ready())
	node.SetMachines(nil)
	cluster.eventually("ready", node.Ready)
}

// The machine list, which contains wire addresses, is sufficient to join.
func TestJoinByMachineList(t *testing.T) {
	cluster := newCluster(t, 1)
	joining := cluster.startWith(nil)
	joining.SetMachines([]string{"127.0.0.1:1", cluster.nodes[0].self.Address, joining.self.Address})
	cluster.awaitMembers(2)
}

// A revision reaches all nodes although one link is blocked in one direction.
func TestPublishAroundOneWayPartition(t *testing.T) {
	for _, blocked := range []func(from, to int) bool{
		func(from, to int) bool { return from == 0 && to == 2 },
		func(from, to int) bool { return from == 2 && to == 0 },
	} {
		cluster := newCluster(t, 4)
		cluster.awaitMembers(4)
		cluster.blockLinks(blocked)
		for revision := range int64(5) {
			cluster.nodes[0].Publish(entry(revision + 1))
			cluster.awaitRevision(revision + 1)
		}
	}
}

// Guards against a paused node that serves with an outdated configuration: after the pause
// it is not ready until it has synced.
func TestPausedNodeIsNotReadyBeforeSync(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 3)
	cluster.syncTimeout = time.Hour
	paused := cluster.start()
	cluster.awaitMembers(4)
	resume := paused.Pause()
	cluster.isolate(paused.number)
	cluster.nodes[0].Publish(entry(1))
	time.Sleep(1500 * time.Millisecond)
	ready := paused.Ready()
	resume()
	is.True(!ready) // the pause is detected before the core ticks again
	for range 100 {
		is.True(!paused.Ready()) // it has not synced yet
		time.Sleep(5 * time.Millisecond)
	}
	cluster.blockLinks(nil)
	cluster.eventually("ready again", paused.Ready)
	is.Equal(paused.store.Revision(service), int64(1))
}

// An isolated node is not ready at first, then serves with the configuration that it has.
// When it reaches other members again, it syncs first.
func TestIsolatedNode(t *testing.T) {
	cluster := newCluster(t, 0)
	cluster.syncTimeout = 2 * time.Second
	cluster.startMany(4)
	cluster.awaitMembers(4)
	cluster.isolate(3)
	isolated := cluster.nodes[3]
	cluster.eventually("not ready", func() bool { return !isolated.Ready() })
	cluster.nodes[0].Publish(entry(1))
	cluster.eventually("serving while isolated", isolated.Ready)
	cluster.blockLinks(nil)
	cluster.awaitMembers(4)
	cluster.awaitRevision(1)
}

// A leaving node is listed as leaving and removed soon after it has stopped.
func TestLeave(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitMembers(4)
	leaving := cluster.nodes[1]
	leaving.Leave(context.Background())
	cluster.eventually("listed as leaving", func() bool {
		return cluster.nodes[3].Members()[1].State == swim.Leaving
	})
	leaving.Close()
	cluster.nodes = append(cluster.nodes[:1], cluster.nodes[2:]...)
	cluster.awaitMembers(3)
}

// Guards against two clusters that merge because a machine has moved from one to the other,
// so that their nodes know each other's addresses.
func TestClustersStaySeparate(t *testing.T) {
	is := is.New(t)
	one := newCluster(t, 2)
	other := &cluster{t: t, name: one.name + "-other", numbers: make(map[string]int), syncTimeout: time.Second, membership: swim.DefaultOptions()}
	foreign := other.startAs(7, []string{one.nodes[0].self.GossipAddress})
	foreign.SetMachines([]string{one.nodes[0].self.Address, one.nodes[1].self.Address})
	one.nodes[0].SetMachines([]string{foreign.self.Address})
	time.Sleep(2 * time.Second)
	for _, node := range one.nodes {
		is.Equal(len(node.Members()), 2)
	}
	is.Equal(len(foreign.Members()), 1)
}
