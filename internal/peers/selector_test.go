package peers

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/members"
)

var testTime = time.Unix(1_000_000, 0)

func inRegion(zone string) bool { return strings.HasPrefix(zone, "near") }

// nodes returns the given number of members of a zone.
func nodes(zone string, count int) []members.Member {
	all := make([]members.Member, count)
	for index := range all {
		name := fmt.Sprintf("%s-node-%d", zone, index)
		all[index] = members.Member{Name: name, Zone: zone, Address: name + ":1"}
	}
	return all
}

// picks returns the node that each of the members follows; empty for the store.
func picks(all []members.Member, prepare func(s *Selector), now time.Time) map[string]string {
	picked := make(map[string]string)
	for _, self := range all {
		s := NewSelector(self, inRegion)
		s.SetMembers(all)
		if prepare != nil {
			prepare(s)
		}
		followed, _ := s.Pick(now)
		picked[self.Name] = followed.Name
	}
	return picked
}

// readers returns the members that read from the store.
func readers(picked map[string]string) []string {
	var found []string
	for name, followed := range picked {
		if followed == "" {
			found = append(found, name)
		}
	}
	return found
}

func TestFewNodesReadTheStore(t *testing.T) {
	for _, test := range []struct{ nodes, readers int }{
		{1, 1}, {minRelayNodes - 1, minRelayNodes - 1}, // few enough for all to read
		{minRelayNodes, 1}, {40, 1}, {60, 2}, {720, 16},
	} {
		is := is.New(t)
		picked := picks(nodes("near", test.nodes), nil, testTime)
		reading := readers(picked)
		is.Equal(len(reading), test.readers)
		followers := make(map[string]int)
		for _, followed := range picked {
			followers[followed]++
		}
		for _, name := range reading {
			is.True(followers[name] <= 2*nodesPerReader) // roughly balanced
		}
		for _, followed := range picked {
			is.True(followed == "" || picked[followed] == "") // no node follows a follower
		}
	}
}

func TestOtherRegionsAreNotFollowed(t *testing.T) {
	is := is.New(t)
	near := nodes("near", 10)
	s := NewSelector(near[0], inRegion)
	s.SetMembers(append(nodes("far", 30), near...))
	if followed, found := s.Pick(testTime); found {
		is.Equal(followed.Zone, "near")
	}
}

func TestUnresponsiveNodeIsSkipped(t *testing.T) {
	is := is.New(t)
	all := nodes("near", 20)
	first := readers(picks(all, nil, testTime))[0]
	fail := func(s *Selector) { s.Failed(first, testTime) }
	second := picks(all, fail, testTime.Add(time.Second))
	for name, followed := range second {
		is.True(followed != first || name == first)
	}
	is.Equal(len(readers(second)), 2)                                               // the first one and the next in order
	is.Equal(readers(picks(all, fail, testTime.Add(2*initialAvoidance)))[0], first) // tried again
}

func TestAvoidanceGrowsUntilAnswer(t *testing.T) {
	is := is.New(t)
	s := NewSelector(members.Member{Name: "own"}, inRegion)
	now := testTime
	for range 10 {
		s.Failed("other", now)
	}
	is.Equal(s.avoided["other"].length, maxAvoidance)
	s.Succeeded("other")
	s.Failed("other", now)
	is.Equal(s.avoided["other"].length, initialAvoidance)
}

// While the store is down for all nodes, none has recent data. The readers must be used again
// soon after it returns.
func TestStoreOutageCausesOnlyShortAvoidance(t *testing.T) {
	is := is.New(t)
	s := NewSelector(members.Member{Name: "own"}, inRegion)
	now := testTime
	for range 10 {
		s.StoreFailed(now)
		s.Failed("other", now)
		now = now.Add(time.Second)
	}
	is.Equal(s.avoided["other"].length, initialAvoidance)
}

func TestAnyNodeIsFollowedWhileTheStoreFails(t *testing.T) {
	is := is.New(t)
	self := nodes("near", 1)[0]
	s := NewSelector(self, inRegion)
	s.SetMembers(append(nodes("far", 1), self))
	_, found := s.Pick(testTime)
	is.True(!found)
	s.StoreFailed(testTime)
	followed, found := s.Pick(testTime.Add(time.Second))
	is.True(found)
	is.Equal(followed.Zone, "far")
	_, found = s.Pick(testTime.Add(storeAvoidance))
	is.True(!found) // the store is tried again
	s.StoreFailed(testTime.Add(storeAvoidance))
	s.Failed(followed.Name, testTime.Add(storeAvoidance))
	_, found = s.Pick(testTime.Add(storeAvoidance))
	is.True(!found) // no node is left
}

func TestMembersWithoutAddressAreNotFollowed(t *testing.T) {
	is := is.New(t)
	all := nodes("near", minRelayNodes+2)
	for index := range all {
		all[index].Address = ""
	}
	is.Equal(len(readers(picks(all, nil, testTime))), len(all))
}

// While the store fails for all nodes, the nodes of a region must not all follow the same one.
func TestFollowersSpreadWhileTheStoreFails(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, nodes := range []int{60, 330, 1200} {
		var live []members.Member
		for index := range nodes {
			live = append(live, members.Member{Name: fmt.Sprint("node-", index), Zone: "z", Address: "127.0.0.1:1"})
		}
		followers := make(map[string]int)
		for _, self := range live {
			selector := NewSelector(self, func(string) bool { return true })
			selector.SetMembers(live)
			selector.StoreFailed(now)
			picked, found := selector.Pick(now)
			is.True(found)
			followers[picked.Name]++
		}
		for _, count := range followers {
			is.True(count <= 2*nodesPerReader)
		}
	}
}

// IsReader is true for exactly those nodes that the others follow.
func TestOnlyFollowedNodesAreReaders(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{minRelayNodes - 1, minRelayNodes, 200, 985} {
		all := nodes("near", count)
		followed, readers := make(map[string]bool), make(map[string]bool)
		for _, self := range all {
			selector := NewSelector(self, inRegion)
			selector.SetMembers(all)
			if picked, found := selector.Pick(testTime); found {
				followed[picked.Name] = true
			}
			if selector.IsReader() {
				readers[self.Name] = true
			}
		}
		is.Equal(readers, followed)
	}
}

// A node that is connected to the store is preferred while the store does not answer this node.
func TestConnectedNodeIsPreferred(t *testing.T) {
	is := is.New(t)
	all := nodes("near", 60)
	s := NewSelector(all[0], inRegion)
	s.SetMembers(all)
	s.Prefer("near-node-40")
	followed, _ := s.Pick(testTime)
	is.True(followed.Name != "near-node-40") // the store may answer
	s.StoreFailed(testTime)
	followed, _ = s.Pick(testTime)
	is.Equal(followed.Name, "near-node-40")
	s.Refused("near-node-40", testTime)
	followed, _ = s.Pick(testTime)
	is.True(followed.Name != "near-node-40")
	s.Prefer("near-node-0") // a node never follows itself
	followed, _ = s.Pick(testTime)
	is.True(followed.Name != "near-node-0")
}
