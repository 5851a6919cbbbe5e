package gossip_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/swim"
)

// A revision published at any node is in force at all of them; an earlier one
// that comes later, from whomever, changes nothing; a tombstone ends the service.
func TestPublish(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 6)
	cluster.awaitMembers(6)
	cluster.nodes[3].Publish(entry(7))
	cluster.awaitRevision(7)
	found, inForce := cluster.nodes[0].store.Service(service)
	is.True(inForce)
	is.Equal(found.Spec.Path, "/revision/7")
	cluster.nodes[5].Publish(entry(6))
	cluster.nodes[1].Publish(entry(8))
	cluster.awaitRevision(8)
	cluster.nodes[2].Publish(tombstone(9))
	cluster.awaitRevision(9)
	is.Equal(len(cluster.nodes[0].store.Services()), 0)
}

// Applied counts the nodes that apply a revision and names the others; with more
// than one group it goes through members of the groups.
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
			total, applied, lagging := cluster.nodes[1].Applied(context.Background(), service, 1)
			is.Equal(total, count)
			return applied == count-1 && len(lagging) == 1 && lagging[0] == cluster.nodes[4].self.ID
		})
		cluster.setCut(nil)
		cluster.eventually("all apply it", func() bool {
			total, applied, lagging := cluster.nodes[1].Applied(context.Background(), service, 1)
			return total == count && applied == count && len(lagging) == 0
		})
	}
}

// A node that starts while one member has missed the newest revision is not ready
// before it has the newest.
func TestStartTakesTheHighestOfSeveral(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.awaitMembers(3)
	cluster.nodes[0].Publish(entry(1))
	cluster.awaitRevision(1)
	cluster.isolate(2)
	cluster.nodes[0].Publish(entry(2))
	cluster.eventually("revision 2 at the other", func() bool { return cluster.nodes[1].store.Revision(service) == 2 })
	// The new node reaches all three; the old one still reaches nobody else.
	cluster.setCut(func(from, to int) bool { return (from == 2) != (to == 2) && from != 3 && to != 3 })
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

// A node that knows nobody and has not heard from the platform is never ready:
// it can not know the configuration.
func TestStartWithoutAnyWord(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 0)
	lost := cluster.startWith(nil)
	time.Sleep(2 * cluster.aloneAfter)
	is.True(!lost.Ready())
	lost.SetMachines(nil)
	cluster.eventually("ready", lost.Ready)
}

// The machine list alone, which holds wire addresses, is enough to join.
func TestJoinByMachineList(t *testing.T) {
	cluster := newCluster(t, 1)
	joining := cluster.startWith(nil)
	joining.SetMachines([]string{"127.0.0.1:1", cluster.nodes[0].self.Address, joining.self.Address})
	cluster.awaitMembers(2)
}

// News gets past a link that is cut one way.
func TestPublishPastOneWayCut(t *testing.T) {
	for _, cut := range []func(from, to int) bool{
		func(from, to int) bool { return from == 0 && to == 2 },
		func(from, to int) bool { return from == 2 && to == 0 },
	} {
		cluster := newCluster(t, 4)
		cluster.awaitMembers(4)
		cluster.setCut(cut)
		for revision := range int64(5) {
			cluster.nodes[0].Publish(entry(revision + 1))
			cluster.awaitRevision(revision + 1)
		}
	}
}

// A node that was stopped takes no requests before it has what was accepted
// meanwhile.
func TestPausedNodeIsNotReadyBeforeSync(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 3)
	cluster.aloneAfter = time.Hour
	paused := cluster.start()
	cluster.awaitMembers(4)
	thaw := paused.Freeze()
	cluster.isolate(paused.number)
	cluster.nodes[0].Publish(entry(1))
	time.Sleep(1500 * time.Millisecond)
	ready := paused.Ready()
	thaw()
	is.True(!ready) // a pause is seen before the core ticks again
	for range 100 {
		is.True(!paused.Ready()) // nobody was asked yet
		time.Sleep(5 * time.Millisecond)
	}
	cluster.setCut(nil)
	cluster.eventually("ready again", paused.Ready)
	is.Equal(paused.store.Revision(service), int64(1))
}

// A node that hears nobody takes no requests for a while, then serves by what it
// has; when it hears others again it syncs first.
func TestCutOffNode(t *testing.T) {
	cluster := newCluster(t, 0)
	cluster.aloneAfter = 2 * time.Second
	cluster.startMany(4)
	cluster.awaitMembers(4)
	cluster.isolate(3)
	alone := cluster.nodes[3]
	cluster.eventually("not ready", func() bool { return !alone.Ready() })
	cluster.nodes[0].Publish(entry(1))
	cluster.eventually("serving alone", alone.Ready)
	cluster.setCut(nil)
	cluster.awaitMembers(4)
	cluster.awaitRevision(1)
}

// A leaving node is seen as leaving, and no longer seen soon after it has ended.
func TestLeave(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitMembers(4)
	leaving := cluster.nodes[1]
	leaving.Leave(context.Background())
	cluster.eventually("seen as leaving", func() bool {
		return cluster.nodes[3].Members()[1].State == swim.Leaving
	})
	leaving.Close()
	cluster.nodes = append(cluster.nodes[:1], cluster.nodes[2:]...)
	cluster.awaitMembers(3)
}

// Two clusters whose nodes know each other's addresses, as when a machine is
// handed from one to the other, must not become one.
func TestClustersStayApart(t *testing.T) {
	is := is.New(t)
	one := newCluster(t, 2)
	other := &cluster{t: t, name: one.name + "-other", owners: make(map[string]int), aloneAfter: time.Second, membership: swim.DefaultOptions()}
	stranger := other.startAs(7, []string{one.nodes[0].self.GossipAddress})
	stranger.SetMachines([]string{one.nodes[0].self.Address, one.nodes[1].self.Address})
	one.nodes[0].SetMachines([]string{stranger.self.Address})
	time.Sleep(2 * time.Second)
	for _, node := range one.nodes {
		is.Equal(len(node.Members()), 2)
	}
	is.Equal(len(stranger.Members()), 1)
}
