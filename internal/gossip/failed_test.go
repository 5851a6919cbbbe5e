package gossip_test

import (
	"context"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/swim"
)

// setMachines gives every node a machine list that holds the nodes named.
func (cluster *cluster) setMachines(listed ...*testNode) {
	addresses := []string{}
	for _, node := range listed {
		addresses = append(addresses, node.self.Address)
	}
	for _, node := range cluster.nodes {
		node.SetMachines(addresses)
	}
}

// knowLeave reports whether the nodes know that one of them leaves.
func (cluster *cluster) knowLeave(leaving int, knowing ...int) bool {
	id := cluster.nodes[leaving].self.ID
	return !slices.ContainsFunc(knowing, func(number int) bool {
		return !slices.ContainsFunc(cluster.nodes[number].Members(), func(member swim.Member) bool {
			return member.ID == id && member.State == swim.Leaving
		})
	})
}

// A revision is not applied everywhere while members that were judged dead are
// listed as live machines: they may be cut off. Those that announced that they
// leave, and those that the list has dropped, do not count.
func TestAppliedCountsCutOffMembers(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 0)
	cluster.membership.SuspicionPeriods = 1
	cluster.startMany(7)
	cluster.awaitMembers(7)
	cluster.setMachines(cluster.nodes...)
	cluster.nodes[6].Leave(context.Background())
	// Who has not heard of the leave when the cut begins can not tell it from a failure.
	cluster.eventually("the leave is known", func() bool { return cluster.knowLeave(6, 0, 1, 2, 3) })
	cluster.isolate(4, 5, 6)
	cluster.eventually("the others are judged dead", func() bool { return len(cluster.nodes[0].Members()) == 4 })
	cluster.nodes[0].Publish(entry(1))
	cluster.eventually("all that are reached apply it", func() bool {
		total, applied, lagging := cluster.nodes[0].Applied(context.Background(), service, 1)
		is.Equal(total, 6)
		return applied == 4 && slices.Equal(lagging, []string{"node-004", "node-005"})
	})
	cluster.setMachines(cluster.nodes[:5]...)
	total, applied, lagging := cluster.nodes[0].Applied(context.Background(), service, 1)
	is.Equal(total, 5)
	is.Equal(applied, 4)
	is.Equal(lagging, []string{"node-004"})
	cluster.setCut(nil)
	cluster.eventually("those that came back count as before", func() bool {
		total, applied, _ := cluster.nodes[0].Applied(context.Background(), service, 1)
		return total == 6 && applied == 6
	})
}
