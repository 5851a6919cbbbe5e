package node

import (
	"slices"
	"sync"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/placement"
	"github.com/driftstage/driftstage/internal/swim"
)

// memberLister returns the members of the cluster, this node included.
type memberLister interface {
	Members() []swim.Member
}

// ownership determines which back-end servers this node owns, from its view of the
// members and the configuration. Ranks are computed once for each set of members
// and each revision of a service.
type ownership struct {
	self    string
	members memberLister
	store   *config.Store

	mutex          sync.Mutex
	indexedMembers []swim.Member
	index          *placement.Index
	owned          map[string]ownedServers
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
	ownership.updateMembers(members)
	owned, found := ownership.owned[service]
	if !found || owned.revision != known.Revision {
		owned = ownership.rankServers(known)
		ownership.owned[service] = owned
	}
	return owned.names[server]
}

// updateMembers discards the cached ranks if the members have changed. The caller holds the
// mutex.
func (ownership *ownership) updateMembers(members []swim.Member) {
	if ownership.index != nil && slices.Equal(members, ownership.indexedMembers) {
		return
	}
	ownership.indexedMembers = slices.Clone(members)
	ownership.owned = make(map[string]ownedServers)
	ownership.index = placement.NewIndex(rankedNodes(members))
}

// rankedNodes returns the members that take work, as nodes for placement.
func rankedNodes(members []swim.Member) []placement.Node {
	var nodes []placement.Node
	for _, member := range members {
		if member.State.TakesWork() {
			nodes = append(nodes, placement.Node{ID: member.ID, Zone: member.Zone})
		}
	}
	return nodes
}

func (ownership *ownership) rankServers(service *config.Service) ownedServers {
	owned := ownedServers{revision: service.Revision, names: make(map[string]bool)}
	for _, server := range service.Spec.Servers {
		first, _ := ownership.index.Rank(placement.Server{Service: service.Name, Name: server.Name, Zone: server.Zone})
		if first == ownership.self {
			owned.names[server.Name] = true
		}
	}
	return owned
}
