package members

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// allZones reports all zones as part of the region.
func allZones(string) bool { return true }

func TestCount(t *testing.T) {
	start := time.Unix(1000, 0)
	self, other, third := Member{Name: "a", Sequence: 1}, Member{Name: "b", Sequence: 1}, Member{Name: "c", Sequence: 1}
	renewed := Member{Name: "b", Sequence: 2}
	type observation struct {
		after   time.Duration
		members []Member
		want    int
	}
	for _, test := range []struct {
		name  string
		steps []observation
	}{
		{"alone", []observation{{0, nil, 1}, {0, []Member{self}, 1}}},
		{"others count", []observation{{0, []Member{self, other, third}, 3}}},
		{"a removed one no longer counts", []observation{{0, []Member{self, other}, 2}, {time.Second, []Member{self}, 1}}},
		{"a silent one expires", []observation{{0, []Member{other}, 2}, {29 * time.Second, []Member{other}, 2}, {31 * time.Second, []Member{other}, 1}}},
		{"an announcement renews", []observation{{0, []Member{other}, 2}, {20 * time.Second, []Member{renewed}, 2}, {40 * time.Second, []Member{renewed}, 2}}},
		{"an expired one comes back", []observation{{0, []Member{other}, 2}, {31 * time.Second, []Member{other}, 1}, {32 * time.Second, []Member{renewed}, 2}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(Member{Name: "a", Zone: "z"}, allZones)
			for _, step := range test.steps {
				now := start.Add(step.after)
				table.Observe(step.members, now)
				is.New(t).Equal(table.Count(now, 30*time.Second).All, step.want)
			}
		})
	}
}

func TestRegionCount(t *testing.T) {
	inRegion := func(zone string) bool { return zone == "z" || zone == "y" }
	table := NewTable(Member{Name: "a", Zone: "z"}, inRegion)
	table.Observe([]Member{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}, {Name: "c", Zone: "y"}, {Name: "d", Zone: "x"}}, time.Unix(1, 0))
	is.New(t).Equal(table.Count(time.Unix(2, 0), time.Minute), Count{All: 4, Region: 3})
}

func TestIntervalsGrowWithNodeCount(t *testing.T) {
	is := is.New(t)
	is.Equal(intervalsAt(9), intervals{announce: minAnnounceInterval, read: minReadInterval})
	is.Equal(intervalsAt(3600), intervals{announce: time.Hour, read: 12 * time.Minute})
}

// Members that a list lacks for a while, as that of a restored registry does, count until their
// lifetime is over.
func TestKeptMembersExpire(t *testing.T) {
	is := is.New(t)
	const lifetime = time.Minute
	now := time.Now()
	table := NewTable(Member{Name: "own"}, allZones)
	table.Observe([]Member{{Name: "a"}, {Name: "b"}}, now)
	table.KeepUnlisted(now.Add(lifetime))
	table.Observe([]Member{{Name: "a", Sequence: 1}}, now.Add(time.Second))
	is.Equal(table.Count(now.Add(lifetime-1), lifetime).All, 3)
	is.Equal(table.Count(now.Add(lifetime), lifetime).All, 2)
	table.Observe([]Member{{Name: "b", Sequence: 1}}, now.Add(lifetime))
	is.Equal(table.Count(now.Add(lifetime), lifetime).All, 2) // members that are not listed are dropped again
}
