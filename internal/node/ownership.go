package node

import (
	"slices"
	"sync"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/placement"
	"github.com/driftstage/driftstage/internal/swim"
)

// memberView gives the members of the system, this node included.
type memberView interface {
	Members() []swim.Member
}

// ownership tells which back-end servers this node owns, by the members and the
// configuration known here. Ranks are computed once for each set of members and
// each revision of a service.
type ownership struct {
	self    string
	members memberView
	store   *config.Store

	mutex sync.Mutex
	list  []swim.Member
	index *placement.Index
	owned map[string]ownedServers
}

// ownedServers are the names of the servers of one service that this node owns.
type ownedServers struct {
	revision int64
	names    map[string]bool
}

// Owns reports whether this node is the highest-ranked one for the server.
func (ownership *ownership) Owns(service, server string) bool {
	known, found := ownership.store.Service(service)
	if !found {
		return false
	}
	members := ownership.members.Members()
	ownership.mutex.Lock()
	defer ownership.mutex.Unlock()
	ownership.follow(members)
	owned, found := ownership.owned[service]
	if !found || owned.revision != known.Revision {
		owned = ownership.rank(known)
		ownership.owned[service] = owned
	}
	return owned.names[server]
}

// follow starts anew when the set of members has changed.
func (ownership *ownership) follow(members []swim.Member) {
	if ownership.index != nil && slices.Equal(members, ownership.list) {
		return
	}
	ownership.list = slices.Clone(members)
	ownership.owned = make(map[string]ownedServers)
	ownership.index = placement.NewIndex(rankedNodes(members))
}

// rankedNodes returns the members that take work, as placement ranks them.
func rankedNodes(members []swim.Member) []placement.Node {
	var nodes []placement.Node
	for _, member := range members {
		if member.State.TakesWork() {
			nodes = append(nodes, placement.Node{ID: member.ID, Zone: member.Zone})
		}
	}
	return nodes
}

func (ownership *ownership) rank(service *config.Service) ownedServers {
	owned := ownedServers{revision: service.Revision, names: make(map[string]bool)}
	for _, server := range service.Spec.Servers {
		first, _ := ownership.index.Rank(placement.Server{Service: service.Name, Name: server.Name, Zone: server.Zone})
		if first == ownership.self {
			owned.names[server.Name] = true
		}
	}
	return owned
}
