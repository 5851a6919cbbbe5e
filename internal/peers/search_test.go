package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/members"
)

// searched is what a search meets.
type searched struct {
	mutex    sync.Mutex
	lost     bool
	silent   bool
	inTouch  bool
	asked    int
	found    int
	selector *Selector
}

func (s *searched) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (s *searched) ask(string) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked++
	if s.silent {
		return false, errors.New("silent")
	}
	return s.inTouch, nil
}

// searching runs a search among twenty nodes.
func searching(t *testing.T, test func(is *is.I, met *searched)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := nodes("near", 20)
		met := &searched{selector: NewSelector(all[0], inRegion)}
		met.selector.SetMembers(all)
		search := Search{
			Selector: met.selector,
			Lost: func(time.Time) (lost bool) {
				met.set(func() { lost = met.lost })
				return lost
			},
			Found: func(time.Time) { met.set(func() { met.found++ }) },
			ask:   met.ask,
		}
		go search.Run(ctx)
		test(is.New(t), met)
	})
}

func TestNobodyIsAskedWhileTheNodeIsInTouch(t *testing.T) {
	searching(t, func(is *is.I, met *searched) {
		time.Sleep(time.Minute)
		met.set(func() { is.Equal(met.asked, 0) })
	})
}

func TestAnswerAfterSilenceIsASign(t *testing.T) {
	searching(t, func(is *is.I, met *searched) {
		met.set(func() { met.lost, met.silent = true, true })
		met.selector.Failed("near-node-1", time.Now())
		time.Sleep(12 * time.Second)
		met.set(func() {
			is.Equal(met.found, 0)
			met.silent = false
		})
		time.Sleep(searchInterval + time.Millisecond)
		met.set(func() { is.Equal(met.found, 1) })
		is.Equal(len(met.selector.avoided), 0) // all get a new chance
		time.Sleep(time.Minute)
		met.set(func() { is.Equal(met.found, 1) }) // further answers say nothing new
	})
}

// While the store is away for all, the others answer that they hear nothing either: it
// is not called more often for that.
func TestOthersThatAreNotInTouchAreNoSign(t *testing.T) {
	searching(t, func(is *is.I, met *searched) {
		met.set(func() { met.lost = true })
		time.Sleep(time.Minute)
		met.set(func() {
			is.Equal(met.found, 0)
			is.True(met.asked <= int(time.Minute/searchRest)) // and they are asked less often
		})
	})
}

func TestNodeInTouchIsASign(t *testing.T) {
	searching(t, func(is *is.I, met *searched) {
		met.set(func() { met.lost = true })
		time.Sleep(10 * time.Second)
		met.set(func() { met.inTouch = true })
		time.Sleep(searchRest + searchInterval)
		met.set(func() { is.Equal(met.found, 1) })
	})
}

// Nodes that were cut off together reach each other now and then: that does not hide the
// sign that counts.
func TestAnswersOfNodesThatAreCutOffTooHideNothing(t *testing.T) {
	searching(t, func(is *is.I, met *searched) {
		met.set(func() { met.lost, met.silent = true, true })
		for range 6 {
			time.Sleep(silenceOfCut * searchInterval)
			met.set(func() { met.silent = false })
			time.Sleep(searchInterval)
			met.set(func() { met.silent = true })
		}
		met.set(func() {
			is.True(met.found <= 3) // 2 s, 4 s
			met.found, met.silent, met.inTouch = 0, false, true
		})
		time.Sleep(searchRest + searchInterval)
		met.set(func() { is.Equal(met.found, 1) })
	})
}

// A store that turns away this node alone is not called much more often because others
// are in touch with it.
func TestSignsThatDoNotHelpBecomeRare(t *testing.T) {
	searching(t, func(is *is.I, met *searched) {
		met.set(func() { met.lost, met.inTouch = true, true })
		time.Sleep(4 * time.Minute)
		met.set(func() {
			is.True(met.found <= 12) // 2, 4, 8, 16 s, then each 30 s
			met.lost = false
		})
		time.Sleep(time.Second)
		met.set(func() { met.lost, met.found = true, 0 })
		time.Sleep(searchInterval + time.Millisecond)
		met.set(func() { is.Equal(met.found, 1) }) // at once in another outage
	})
}

func TestNodesOfOtherZonesAreAskedForContact(t *testing.T) {
	is := is.New(t)
	own := members.Member{Name: "own", Zone: "near-1"}
	s := NewSelector(own, inRegion)
	_, found := s.Distant()
	is.True(!found)
	same := nodes("near-1", 5)
	s.SetMembers(append(same, own))
	member, found := s.Distant()
	is.True(found)
	is.Equal(member.Zone, "near-1") // there is no other zone
	s.SetMembers(append(append(nodes("far", 1), same...), own))
	for range 20 {
		member, _ = s.Distant()
		is.Equal(member.Zone, "far")
	}
}

// The question for contact does not make a node one that is followed: it would read the
// store more often.
func TestContactIsToldToOthers(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	inTouch := false
	link := NewLink("kind", PlainCodec[endpoints.Server]{}, NewSelector(members.Member{}, inRegion))
	contact := Contact{InTouch: func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return inTouch
	}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	server := NewServer(Asker{}, func() (Snapshot, bool) { return Snapshot{}, false }, link, contact)
	go func() { _ = server.Serve(listener) }()
	got, err := askContact(listener.Addr().String())
	is.NoErr(err)
	is.True(!got)
	mutex.Lock()
	inTouch = true
	mutex.Unlock()
	got, err = askContact(listener.Addr().String())
	is.NoErr(err)
	is.True(got)
	is.True(!link.Followed())
	listener.Close()
	_, err = askContact(listener.Addr().String())
	is.True(err != nil)
}
