package gossip_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/swim"
)

// setMachines gives every node a machine list with the given nodes.
func (cluster *cluster) setMachines(listed ...*testNode) {
	addresses := []string{}
	for _, node := range listed {
		addresses = append(addresses, node.self.Address)
	}
	for _, node := range cluster.nodes {
		node.SetMachines(addresses)
	}
}

// leaveKnown reports whether the given nodes have received the leave of another one.
func (cluster *cluster) leaveKnown(leaving int, knowing ...int) bool {
	id := cluster.nodes[leaving].self.ID
	return !slices.ContainsFunc(knowing, func(number int) bool {
		return !slices.ContainsFunc(cluster.nodes[number].Members(), func(member swim.Member) bool {
			return member.ID == id && member.State == swim.Leaving
		})
	})
}

// Guards against reporting a revision as applied everywhere while dead members are still
// listed as live machines: they may be behind a network partition and still serve.
// Members that have announced their leave or are no longer listed do not count.
func TestAppliedCountsPartitionedMembers(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 0)
	cluster.membership.SuspicionPeriods = 1
	cluster.startMany(7)
	cluster.awaitMembers(7)
	cluster.setMachines(cluster.nodes...)
	cluster.nodes[6].Leave(context.Background())
	cluster.isolate(4, 5, 6)
	cluster.eventually("the others are considered dead", func() bool { return len(cluster.nodes[0].Members()) == 4 })
	cluster.nodes[0].Publish(entry(1))
	cluster.eventually("all reachable members apply it", func() bool {
		total, applied, lagging := cluster.nodes[0].CountApplied(context.Background(), service, 1)
		is.Equal(total, 6)
		return applied == 4 && slices.Equal(lagging, []string{"node-004", "node-005"})
	})
	cluster.setMachines(cluster.nodes[:5]...)
	total, applied, lagging := cluster.nodes[0].CountApplied(context.Background(), service, 1)
	is.Equal(total, 5)
	is.Equal(applied, 4)
	is.Equal(lagging, []string{"node-004"})
	cluster.blockLinks(nil)
	cluster.eventually("reconnected members count again", func() bool {
		total, applied, _ := cluster.nodes[0].CountApplied(context.Background(), service, 1)
		return total == 6 && applied == 6
	})
}

// Guards against a stop that goes on before members know of the leave: they send requests to the node
// until its listeners are closed, and count it as failed. Messages of a leave were lost, or delayed on
// a busy machine, and Leave returned after a fixed second.
func TestLeaveIsKnownWhenItReturns(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 4)
	cluster.awaitMembers(4)
	cluster.isolate(3)
	time.AfterFunc(1500*time.Millisecond, func() { cluster.blockLinks(nil) })
	cluster.nodes[3].Leave(context.Background())
	is.True(cluster.leaveKnown(3, 0, 1, 2))
}

// A leave that cannot be known does not hold up the stop for long: the member that left cannot be told
// from one that failed, and counts until its machine is no longer listed.
func TestLeaveInPartitionIsBounded(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 0)
	cluster.membership.SuspicionPeriods = 1
	cluster.startMany(7)
	cluster.awaitMembers(7)
	cluster.setMachines(cluster.nodes...)
	cluster.isolate(4, 5, 6)
	began := time.Now()
	cluster.nodes[6].Leave(context.Background())
	is.True(time.Since(began) < 8*time.Second)
	cluster.eventually("the others are considered dead", func() bool { return len(cluster.nodes[0].Members()) == 4 })
	total, _, _ := cluster.nodes[0].CountApplied(context.Background(), service, 1)
	is.Equal(total, 7)
	cluster.setMachines(cluster.nodes[:6]...)
	total, _, _ = cluster.nodes[0].CountApplied(context.Background(), service, 1)
	is.Equal(total, 6)
}
