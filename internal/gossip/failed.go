package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/swim"
)

const (
	// machineListTTL is how long a machine list is considered fresh.
	machineListTTL = time.Minute
	// failedMemberTTL is how long a failed member counts as possibly alive without a
	// fresh machine list.
	failedMemberTTL = 5 * time.Minute
)

// machineList is the platform's latest list of live machines.
type machineList struct {
	// addresses holds wire addresses.
	addresses []string
	// readAt is zero before the first list.
	readAt time.Time
}

// possiblyAliveMembers returns the names of the failed members that may still run but be
// unreachable. The members must come from an earlier call of Members, so that a member
// that fails in between is in at least one of the two lists.
func (node *Node) possiblyAliveMembers(members []swim.Member) []string {
	node.mutex.Lock()
	failed := node.core.Failed()
	machines := node.machines
	node.mutex.Unlock()
	return possiblyAlive(failed, members, machines, time.Now())
}

// possiblyAlive returns the names of the failed members whose machine is on the platform's
// fresh list, or, without a fresh list, of those that failed recently. It omits a member
// if a later process has the same wire address: that process has replaced it.
func possiblyAlive(failed []swim.Failed, members []swim.Member, machines machineList, now time.Time) []string {
	replaced := make(map[string]bool)
	for _, member := range members {
		replaced[member.Address] = true
	}
	listed := make(map[string]bool)
	for _, address := range machines.addresses {
		listed[address] = true
	}
	listFresh := !machines.readAt.IsZero() && now.Sub(machines.readAt) < machineListTTL
	latestFirst := slices.SortedStableFunc(slices.Values(failed), func(a, b swim.Failed) int {
		return cmp.Compare(b.Incarnation, a.Incarnation)
	})
	var names []string
	for _, member := range latestFirst {
		alive := now.Sub(member.Since) < failedMemberTTL
		if listFresh {
			alive = listed[member.Address]
		}
		if alive && !replaced[member.Address] {
			names = append(names, member.ID)
		}
		replaced[member.Address] = true
	}
	return names
}
