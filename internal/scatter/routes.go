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

// members is a copy of the member list, indexed for placement.
type members struct {
	list      []swim.Member
	index     *placement.Index
	addresses map[string]string
	suspects  map[string]bool
}

func (members *members) target(id string) target {
	return target{id: id, address: members.addresses[id]}
}

// memberCache caches the member list and detects its changes.
type memberCache struct {
	members Members

	mutex     sync.Mutex
	cached    *members
	checkedAt time.Time
}

// current returns the current members; the pointer changes when the list does.
func (cache *memberCache) current(now time.Time) *members {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if cache.cached != nil && now.Sub(cache.checkedAt) < memberCheckInterval {
		return cache.cached
	}
	cache.checkedAt = now
	list := cache.members.Members()
	if cache.cached == nil || !slices.Equal(list, cache.cached.list) {
		cache.cached = newMembers(slices.Clone(list))
	}
	return cache.cached
}

// newMembers selects the members that may own servers: leaving members get no new
// work, suspected members keep their servers.
func newMembers(list []swim.Member) *members {
	result := &members{list: list, addresses: make(map[string]string, len(list)), suspects: make(map[string]bool)}
	var nodes []placement.Node
	for index := range list {
		member := &list[index]
		if !member.State.TakesWork() {
			continue
		}
		nodes = append(nodes, placement.Node{ID: member.ID, Zone: member.Zone})
		result.addresses[member.ID] = member.Address
		result.suspects[member.ID] = member.State == swim.Suspect
	}
	result.index = placement.NewIndex(nodes)
	return result
}
