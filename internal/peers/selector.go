package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/members"
)

const (
	// minRelayNodes is the minimum number of nodes in a region for some of them to read the
	// store for all; a single node follows the confirmer.
	minRelayNodes = 2
	// nodesPerReader is the number of nodes in a region that share a reader.
	nodesPerReader = 48
	// initialAvoidance is how long a node that did not answer is avoided; it doubles with
	// each failure, up to maxAvoidance.
	initialAvoidance = 2 * time.Second
	maxAvoidance     = time.Minute
	// staleAvoidance is how long a node that answers but has no recent data is avoided.
	staleAvoidance = 600 * time.Millisecond
	// storeAvoidance is how long other nodes are followed after the store failed; the store
	// is called again by then at the latest.
	storeAvoidance = 3 * time.Second
)

// avoidance is the backoff of a node that did not answer.
type avoidance struct {
	until  time.Time
	length time.Duration
}

// Selector picks the node that this one follows instead of reading from the store. All
// nodes of a region sort its members in the same order; the first ones read from the store,
// the others follow one of these. A node that does not answer is skipped, so that the next
// one in order becomes a reader. Selector does no I/O and reads no clock; it is safe for
// concurrent use.
type Selector struct {
	self       members.Member
	sameRegion func(zone string) bool

	mutex sync.Mutex
	// all are the live members, region those of this node's region, others those of other regions,
	// all in the common order.
	all, region, others []members.Member
	avoided             map[string]avoidance
	storeFailedAt       time.Time
	// preferred is a node that was recently connected to the store; empty for none.
	preferred string
}

// NewSelector returns a selector without members; sameRegion reports whether a zone is in this
// node's region.
func NewSelector(self members.Member, sameRegion func(zone string) bool) *Selector {
	return &Selector{self: self, sameRegion: sameRegion, avoided: make(map[string]avoidance)}
}

// SetMembers replaces the live members, which may include this node.
func (s *Selector) SetMembers(live []members.Member) {
	ordered := slices.Clone(live)
	slices.SortFunc(ordered, func(a, b members.Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all = slices.DeleteFunc(ordered, func(member members.Member) bool {
		return member.Address == "" && member.Name != s.self.Name
	})
	s.region, s.others = nil, nil
	for _, member := range s.all {
		switch {
		case s.sameRegion(member.Zone):
			s.region = append(s.region, member)
		default:
			s.others = append(s.others, member)
		}
	}
}

// Pick returns the node to follow; false if the store is to be read.
func (s *Selector) Pick(now time.Time) (members.Member, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.storeFails(now) {
		return s.fallback(now)
	}
	return s.relay(now)
}

// NextSource returns the node to follow next: while the store fails, the one followed last if it is not avoided;
// otherwise the one returned by Pick.
func (s *Selector) NextSource(followed string, now time.Time) (members.Member, bool) {
	if member, found := s.Resume(followed, now); found {
		return member, true
	}
	return s.Pick(now)
}

// relay returns the reader that this node follows while the store answers; false if it reads from the store.
func (s *Selector) relay(now time.Time) (members.Member, bool) {
	if len(s.region) < minRelayNodes {
		return s.confirmer(now)
	}
	return s.reader(now)
}

// Confirmer returns the node that reads the store without lag on behalf of the nodes that read it
// with lag; false if that is this node.
func (s *Selector) Confirmer(now time.Time) (members.Member, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.confirmer(now)
}

// confirmer returns the first node in the common order that is not avoided; false if that is this node.
func (s *Selector) confirmer(now time.Time) (members.Member, bool) {
	for _, member := range s.all {
		if member.Name == s.self.Name {
			break
		}
		if !s.avoids(member, now) {
			return member, true
		}
	}
	return members.Member{}, false
}

// reader returns the reader of the region that this node follows; false if it is
// one itself.
func (s *Selector) reader(now time.Time) (members.Member, bool) {
	count := readerCount(len(s.region))
	readers := make([]members.Member, 0, count)
	for _, member := range s.region {
		if member.Name == s.self.Name {
			return members.Member{}, false
		}
		if !s.avoids(member, now) {
			readers = append(readers, member)
		}
		if len(readers) == count {
			return readers[xxhash.Sum64String(s.self.Name)%uint64(count)], true
		}
	}
	return members.Member{}, false
}

// readerCount returns how many of the given number of nodes read from the store.
func readerCount(nodes int) int { return 1 + nodes/nodesPerReader }

// IsReader reports whether this node reads from the store for others.
func (s *Selector) IsReader() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.region) < minRelayNodes {
		return len(s.all) > 1 && s.all[0].Name == s.self.Name
	}
	first := s.region[:readerCount(len(s.region))]
	return slices.ContainsFunc(first, func(member members.Member) bool { return member.Name == s.self.Name })
}

// Follows reports whether this node follows a reader of its region while the store answers.
func (s *Selector) Follows(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.relay(now)
	return found
}

// RetryPoolNode returns the node that manages the retry budget of this one; false if that is this
// node itself.
func (s *Selector) RetryPoolNode(now time.Time) (members.Member, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reader(now)
}

// fallback returns a node to follow while the store does not answer this one: the preferred one, else one
// of the readers, else any. Nodes start with different readers, so that they do not all follow the same one.
func (s *Selector) fallback(now time.Time) (members.Member, bool) {
	if member, found := s.byName(s.preferred, now); found {
		return member, true
	}
	for _, group := range [][]members.Member{s.region, s.others} {
		if len(group) == 0 {
			continue
		}
		readers := readerCount(len(group))
		first := int(xxhash.Sum64String(s.self.Name) % uint64(readers))
		if available := s.available(slices.Concat(group[first:readers], group[:first]), now); len(available) > 0 {
			return available[0], true
		}
		if others := s.available(group[readers:], now); len(others) > 0 {
			return others[rand.IntN(len(others))], true
		}
	}
	return members.Member{}, false
}

// available returns those of the members that are neither avoided nor this node.
func (s *Selector) available(candidates []members.Member, now time.Time) []members.Member {
	available := make([]members.Member, 0, len(candidates))
	for _, member := range candidates {
		if member.Name != s.self.Name && !s.avoids(member, now) {
			available = append(available, member)
		}
	}
	return available
}

// Resume returns the node of the given name if the store does not answer this one and that
// node may still be followed.
func (s *Selector) Resume(name string, now time.Time) (members.Member, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.storeFails(now) {
		return members.Member{}, false
	}
	return s.byName(name, now)
}

// byName returns another node by its name, if it may be followed.
func (s *Selector) byName(name string, now time.Time) (members.Member, bool) {
	if name == "" || name == s.self.Name {
		return members.Member{}, false
	}
	for _, member := range slices.Concat(s.region, s.others) {
		if member.Name == name && !s.avoids(member, now) {
			return member, true
		}
	}
	return members.Member{}, false
}

// Prefer sets a node that is connected to the store. If many nodes are not connected, trying them in order
// may not reach one that is.
func (s *Selector) Prefer(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.preferred = name
}

func (s *Selector) avoids(member members.Member, now time.Time) bool {
	return now.Before(s.avoided[member.Name].until)
}

// Others returns the other live members that have an address, those of this node's region first.
func (s *Selector) Others() []members.Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(slices.Concat(s.region, s.others), func(member members.Member) bool { return member.Name == s.self.Name })
}

// RandomRemote returns a random other node, in another zone if there is one: the nodes of a zone
// are often cut off together.
func (s *Selector) RandomRemote() (members.Member, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sameZone, otherZones []members.Member
	for _, member := range slices.Concat(s.region, s.others) {
		switch {
		case member.Name == s.self.Name:
		case member.Zone == s.self.Zone:
			sameZone = append(sameZone, member)
		default:
			otherZones = append(otherZones, member)
		}
	}
	if len(otherZones) == 0 {
		otherZones = sameZone
	}
	if len(otherZones) == 0 {
		return members.Member{}, false
	}
	return otherZones[rand.IntN(len(otherZones))], true
}

// ResetAvoided clears the avoidance of all nodes.
func (s *Selector) ResetAvoided() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.avoided)
}

// StoreFailed records a failure of the store; for storeAvoidance, other nodes are followed.
func (s *Selector) StoreFailed(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storeFailedAt = now
}

// storeFails reports whether the store has failed recently.
func (s *Selector) storeFails(now time.Time) bool {
	return now.Sub(s.storeFailedAt) < storeAvoidance
}

// ReportResult records the result of a request to a node; a canceled request is ignored.
func (s *Selector) ReportResult(ctx context.Context, name string, err error, now time.Time) {
	switch {
	case err == nil:
		s.Succeeded(name)
	case errors.Is(ctx.Err(), context.Canceled):
	case errors.Is(err, errStale):
		s.Refused(name, now)
	default:
		s.Failed(name, now)
	}
}

// Failed records that a node did not answer.
func (s *Selector) Failed(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	length := min(max(2*s.avoided[name].length, initialAvoidance), maxAvoidance)
	if s.storeFails(now) {
		// Possibly no node has recent data now, so the failure says little about this one.
		length = initialAvoidance
	}
	s.avoided[name] = avoidance{until: now.Add(length), length: length}
}

// Refused records that a node has answered that it has no recent data.
func (s *Selector) Refused(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.avoided[name] = avoidance{until: now.Add(staleAvoidance)}
}

// StoreCallers returns how many of the given number of nodes call the store while it answers. For a node that
// follows another one it returns all of them, since followers call the store only when no other node does.
func (s *Selector) StoreCallers(nodes int) int {
	if !s.IsReader() {
		return nodes
	}
	return readerCount(nodes)
}

// Succeeded records that a node answered with recent data of one kind of objects; it is then preferred for
// all kinds.
func (s *Selector) Succeeded(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.avoided, name)
	s.preferred = name
}
