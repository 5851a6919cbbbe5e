package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/driftstage/driftstage/internal/members"
)

const (
	// failureBackoff is how long a node that did not reply gets no reports.
	failureBackoff = 3 * time.Second
	// unsyncedBackoff is how long a node that does not know the order yet gets no reports.
	unsyncedBackoff = 500 * time.Millisecond
	// readOnlyBackoff is how long a node that cannot write to the store is skipped.
	readOnlyBackoff = 5 * time.Second
	// maxSkipped bounds how many nodes are skipped for that reason: if more cannot write, it is
	// the store that is unavailable.
	maxSkipped = 3
)

// election ranks the live nodes for each service in the same way on all nodes (rendezvous
// hashing): the first one that replies decides.
type election struct {
	self    members.Member
	members []members.Member
	// live is the number of live nodes, including those without address.
	live int
	// ranked holds the members by rank, for each service.
	ranked map[string][]members.Member
	// avoided and skipped are the times until which members are avoided because they did not
	// reply, and skipped because they cannot write to the store.
	avoided, skipped map[string]time.Time
}

func newElection(self members.Member) election {
	e := election{
		self:    self,
		avoided: make(map[string]time.Time),
		skipped: make(map[string]time.Time),
	}
	e.set(nil)
	return e
}

// set replaces the live members, which may include this node.
func (e *election) set(live []members.Member) {
	e.members, e.live = []members.Member{e.self}, 1
	listed := map[string]bool{e.self.Name: true}
	for _, member := range live {
		listed[member.Name] = true
		if member.Name == e.self.Name {
			continue
		}
		e.live++
		if member.Address != "" {
			e.members = append(e.members, member)
		}
	}
	e.ranked = make(map[string][]members.Member)
	gone := func(name string, _ time.Time) bool { return !listed[name] }
	maps.DeleteFunc(e.avoided, gone)
	maps.DeleteFunc(e.skipped, gone)
}

// decider returns the node that decides for a service.
func (e *election) decider(service string, now time.Time) members.Member {
	ranked := e.rank(service)
	fallback, skipped := e.self, 0
	for _, member := range ranked {
		switch {
		case now.Before(e.avoided[member.Name]):
		case skipped < maxSkipped && now.Before(e.skipped[member.Name]):
			if skipped == 0 {
				fallback = member
			}
			skipped++
		case skipped == maxSkipped:
			return fallback
		default:
			return member
		}
	}
	return fallback
}

// rank returns the members by rank for a service. Nodes without address cannot get reports and
// come last.
func (e *election) rank(service string) []members.Member {
	if ranked, found := e.ranked[service]; found {
		return ranked
	}
	ranked := slices.Clone(e.members)
	slices.SortFunc(ranked, func(a, b members.Member) int {
		return cmp.Or(
			cmp.Compare(withoutAddress(a), withoutAddress(b)),
			cmp.Compare(score(service, a), score(service, b)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	e.ranked[service] = ranked
	return ranked
}

// withoutAddress is 1 for a node without address.
func withoutAddress(member members.Member) int {
	if member.Address == "" {
		return 1
	}
	return 0
}

func score(service string, member members.Member) uint64 {
	return xxhash.Sum64String(service + "\x00" + member.Name)
}

// failed records that a member did not reply.
func (e *election) failed(name string, now time.Time) { e.avoided[name] = now.Add(failureBackoff) }

// unsynced records that a member does not know all orders yet.
func (e *election) unsynced(name string, now time.Time) {
	e.avoided[name] = now.Add(unsyncedBackoff)
}

// readOnly records that a member cannot write to the store.
func (e *election) readOnly(name string, now time.Time) { e.skipped[name] = now.Add(readOnlyBackoff) }
