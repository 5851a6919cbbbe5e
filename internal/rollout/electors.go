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
	// failedAvoidance is how long a node that did not answer gets no reports.
	failedAvoidance = 3 * time.Second
	// unknownAvoidance is how long one gets none that has not learned of the order yet.
	unknownAvoidance = 500 * time.Millisecond
	// unableAvoidance is how long one is passed over that gets nothing written.
	unableAvoidance = 5 * time.Second
	// mostUnable is how many nodes are passed over for that: beyond, it is the store that
	// is away.
	mostUnable = 3
)

// electors orders the live nodes for each service alike on all nodes (rendezvous
// hashing): the first one that answers decides.
type electors struct {
	own     members.Member
	members []members.Member
	// live is their number, nodes without address included.
	live int
	// ranked are the members in the order of a service.
	ranked map[string][]members.Member
	// avoided and passed are until when members are avoided because they did not answer,
	// and passed over because they get nothing written.
	avoided, passed map[string]time.Time
}

func newElectors(own members.Member) electors {
	known := electors{
		own:     own,
		avoided: make(map[string]time.Time),
		passed:  make(map[string]time.Time),
	}
	known.set(nil)
	return known
}

// set replaces the live members, the own node included or not.
func (e *electors) set(live []members.Member) {
	e.members, e.live = []members.Member{e.own}, 1
	listed := map[string]bool{e.own.Name: true}
	for _, member := range live {
		listed[member.Name] = true
		if member.Name == e.own.Name {
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
	maps.DeleteFunc(e.passed, gone)
}

// first returns the node that decides for a service.
func (e *electors) first(service string, now time.Time) members.Member {
	ranked := e.rank(service)
	fallback, passed := e.own, 0
	for _, member := range ranked {
		switch {
		case now.Before(e.avoided[member.Name]):
		case passed < mostUnable && now.Before(e.passed[member.Name]):
			if passed == 0 {
				fallback = member
			}
			passed++
		case passed == mostUnable:
			return fallback
		default:
			return member
		}
	}
	return fallback
}

// rank returns the members in the order of a service. A node that nobody can report to
// comes last.
func (e *electors) rank(service string) []members.Member {
	if ranked, found := e.ranked[service]; found {
		return ranked
	}
	ranked := slices.Clone(e.members)
	slices.SortFunc(ranked, func(a, b members.Member) int {
		return cmp.Or(
			cmp.Compare(silent(a), silent(b)),
			cmp.Compare(rankOf(service, a), rankOf(service, b)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	e.ranked[service] = ranked
	return ranked
}

// silent is 1 for a node without address.
func silent(member members.Member) int {
	if member.Address == "" {
		return 1
	}
	return 0
}

func rankOf(service string, member members.Member) uint64 {
	return xxhash.Sum64String(service + "\x00" + member.Name)
}

// failed notes that a member did not answer.
func (e *electors) failed(name string, now time.Time) { e.avoided[name] = now.Add(failedAvoidance) }

// unknowing notes that a member does not know all orders yet.
func (e *electors) unknowing(name string, now time.Time) {
	e.avoided[name] = now.Add(unknownAvoidance)
}

// unable notes that a member gets nothing written.
func (e *electors) unable(name string, now time.Time) { e.passed[name] = now.Add(unableAvoidance) }
