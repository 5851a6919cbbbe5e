package scatter

import (
	"slices"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/placement"
	"github.com/driftstage/driftstage/internal/swim"
)

// routeCheck is how often the members are looked at for changes.
const routeCheck = 20 * time.Millisecond

// target is a node to which attempts go; the zero value is none.
type target struct {
	id      string
	address string
}

// route is the owner of a server and the one that takes over.
type route struct {
	first  target
	second target
}

// members is one state of the membership, prepared for placement.
type members struct {
	list      []swim.Member
	index     *placement.Index
	addresses map[string]string
	suspects  map[string]bool
}

func (members *members) target(id string) target {
	return target{id: id, address: members.addresses[id]}
}

// routeTable notices changes of the membership.
type routeTable struct {
	members Members

	mutex     sync.Mutex
	latest    *members
	checkedAt time.Time
}

// current returns the present state; the pointer changes when the state does.
func (table *routeTable) current(now time.Time) *members {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.latest != nil && now.Sub(table.checkedAt) < routeCheck {
		return table.latest
	}
	table.checkedAt = now
	list := table.members.Members()
	if table.latest == nil || !slices.Equal(list, table.latest.list) {
		table.latest = newMembers(slices.Clone(list))
	}
	return table.latest
}

// newMembers selects the members that may own servers: leaving ones take no new
// work, suspect ones still own theirs.
func newMembers(list []swim.Member) *members {
	made := &members{list: list, addresses: make(map[string]string, len(list)), suspects: make(map[string]bool)}
	var nodes []placement.Node
	for index := range list {
		member := &list[index]
		if !member.State.TakesWork() {
			continue
		}
		nodes = append(nodes, placement.Node{ID: member.ID, Zone: member.Zone})
		made.addresses[member.ID] = member.Address
		made.suspects[member.ID] = member.State == swim.Suspect
	}
	made.index = placement.NewIndex(nodes)
	return made
}
