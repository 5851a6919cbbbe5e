package scatter

import (
	"slices"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/placement"
	"github.com/driftstage/driftstage/internal/swim"
)

// memberCheckInterval is how often the member list is checked for changes.
const memberCheckInterval = 20 * time.Millisecond

// target is a node to which attempts are sent; the zero value is none.
type target struct {
	id      string
	address string
}

// route holds the first and second owner of a server; the second is the failover.
type route struct {
	first  target
	second target
}

// members is a snapshot of the membership, indexed for placement.
type members struct {
	list      []swim.Member
	index     *placement.Index
	addresses map[string]string
	suspects  map[string]bool
}

func (members *members) target(id string) target {
	return target{id: id, address: members.addresses[id]}
}

// memberCache caches the membership and detects changes of it.
type memberCache struct {
	members Members

	mutex     sync.Mutex
	cached    *members
	checkedAt time.Time
}

// current returns the current snapshot; the pointer changes when the members do.
func (table *memberCache) current(now time.Time) *members {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.cached != nil && now.Sub(table.checkedAt) < memberCheckInterval {
		return table.cached
	}
	table.checkedAt = now
	list := table.members.Members()
	if table.cached == nil || !slices.Equal(list, table.cached.list) {
		table.cached = newMembers(slices.Clone(list))
	}
	return table.cached
}

// newMembers selects the members that may own servers: leaving members get no new
// work, suspected members keep their servers.
func newMembers(list []swim.Member) *members {
	snapshot := &members{list: list, addresses: make(map[string]string, len(list)), suspects: make(map[string]bool)}
	var nodes []placement.Node
	for index := range list {
		member := &list[index]
		if !member.State.TakesWork() {
			continue
		}
		nodes = append(nodes, placement.Node{ID: member.ID, Zone: member.Zone})
		snapshot.addresses[member.ID] = member.Address
		snapshot.suspects[member.ID] = member.State == swim.Suspect
	}
	snapshot.index = placement.NewIndex(nodes)
	return snapshot
}
