package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/swim"
)

const (
	// machinesFresh is how long a machine list tells which machines exist.
	machinesFresh = time.Minute
	// failedCountTime is how long a failed member counts where no fresh list
	// tells whether its machine exists.
	failedCountTime = 5 * time.Minute
)

// machineList is what the platform said last of its live machines.
type machineList struct {
	// addresses are wire addresses.
	addresses []string
	// readAt is zero before the first list.
	readAt time.Time
}

// cutOff names the failed members that may still exist, out of reach. The
// members are those that Members returned before: one that fails meanwhile is
// in either list.
func (node *Node) cutOff(members []swim.Member) []string {
	node.mutex.Lock()
	failed := node.core.Failed()
	machines := node.machines
	node.mutex.Unlock()
	return stillExisting(failed, members, machines, time.Now())
}

// stillExisting names the failed members whose machine the platform holds as
// live, or that failed not long ago when the platform's list is not known. A
// later process at the same wire address has replaced the earlier one.
func stillExisting(failed []swim.Failed, members []swim.Member, machines machineList, now time.Time) []string {
	replaced := make(map[string]bool)
	for _, member := range members {
		replaced[member.Address] = true
	}
	listed := make(map[string]bool)
	for _, address := range machines.addresses {
		listed[address] = true
	}
	listKnown := !machines.readAt.IsZero() && now.Sub(machines.readAt) < machinesFresh
	latestFirst := slices.SortedStableFunc(slices.Values(failed), func(a, b swim.Failed) int {
		return cmp.Compare(b.Incarnation, a.Incarnation)
	})
	var names []string
	for _, member := range latestFirst {
		exists := now.Sub(member.Since) < failedCountTime
		if listKnown {
			exists = listed[member.Address]
		}
		if exists && !replaced[member.Address] {
			names = append(names, member.ID)
		}
		replaced[member.Address] = true
	}
	return names
}
