package members

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// registry is a registry in memory.
type registry struct {
	mutex   sync.Mutex
	members map[string]Member
	writes  int
	down    bool
}

var errDown = errors.New("down")

func (registry *registry) Announce(member Member, _ time.Time) error {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.down {
		return errDown
	}
	registry.writes++
	registry.members[member.Name] = member
	return nil
}

func (registry *registry) Members(time.Time) ([]Member, error) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.down {
		return nil, errDown
	}
	var all []Member
	for _, member := range registry.members {
		all = append(all, member)
	}
	return all, nil
}

func (registry *registry) setDown(down bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.down = down
}

// counter remembers the last count told.
type counter struct {
	mutex sync.Mutex
	count int
}

func (counter *counter) MembersRead([]Member) {}

func (counter *counter) MembersCounted(count Count) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.count = 0
	if count.Settled {
		counter.count = count.All
	}
}

func (counter *counter) get() int {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return counter.count
}

// channel is an observer that hands on counts.
type channel chan Count

func (channel channel) MembersRead([]Member) {}

func (channel channel) MembersCounted(count Count) { channel <- count }

func TestNodesThatStartTogetherCountEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := &registry{members: make(map[string]Member)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		counters := make([]counter, 3)
		stops := make([]context.CancelFunc, 3)
		for index := range counters {
			nodeContext, stop := context.WithCancel(ctx)
			stops[index] = stop
			announcer := NewAnnouncer(shared, Member{Name: string(rune('a' + index))}, everywhere, &counters[index])
			go announcer.Run(nodeContext)
		}
		time.Sleep(startInterval - time.Second)
		is.Equal(counters[0].get(), 0) // no count is settled before others can have announced themselves
		time.Sleep(2 * time.Second)
		for index := range counters {
			is.Equal(counters[index].get(), 3)
		}
		stops[2]()
		time.Sleep(intervalsAt(3).lifetime() + 2*readInterval)
		is.Equal(counters[0].get(), 2) // the stopped node no longer counts
	})
}

func TestCountSurvivesARegistryThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := &registry{members: map[string]Member{"other": {Name: "other"}}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var told counter
		go NewAnnouncer(shared, Member{Name: "own"}, everywhere, &told).Run(ctx)
		time.Sleep(startInterval + time.Second)
		is.Equal(told.get(), 2)
		shared.setDown(true)
		time.Sleep(5 * intervalsAt(3).lifetime())
		is.Equal(told.get(), 2) // nothing is concluded from silence
	})
}

func TestRestartedNodeIsToldTheOthersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := &registry{members: map[string]Member{"b": {Name: "b"}, "c": {Name: "c"}}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		told := make(chan Count, 8)
		go NewAnnouncer(shared, Member{Name: "a"}, everywhere, channel(told)).Run(ctx)
		is.Equal(<-told, Count{All: 3, Region: 3})
		is.Equal(<-told, Count{All: 3, Region: 3, Settled: true})
	})
}

func TestAtLeast(t *testing.T) {
	is.New(t).Equal(Count{All: 60, Region: 2, Settled: true}.AtLeast(Count{All: 10, Region: 4}), Count{All: 60, Region: 4, Settled: true})
}
