package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/routing"
)

var epoch = time.Unix(1_000_000, 0)

func testTopology() Topology {
	return Topology{
		Node:    "node",
		Self:    Locality{Zone: "near-1", Region: "near"},
		Regions: map[string]string{"near-1": "near", "near-2": "near", "far-1": "far"},
	}
}

func server(id, zone string) Server {
	return Server{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: zone, Slots: 2}
}

func directoryOf(servers ...Server) *Directory {
	directory := New(testTopology(), nil)
	directory.SetNodeLimits(retrybudget.Limits{Ratio: 1, Capacity: 10}, false, NodeCounts{Local: 1, Remote: 1}, epoch)
	for _, server := range servers {
		directory.Put(server, epoch)
	}
	return directory
}

func newCriteria(estimate *Estimate, tried ...*Endpoint) Criteria {
	return Criteria{Service: "s", Estimate: estimate, Tried: tried, TimeLeft: 200 * time.Millisecond}
}

// established returns an estimate as after many observations.
func established(mean time.Duration) *Estimate {
	estimate := NewEstimate(mean)
	estimate.count = int(1 / meanWeight)
	return estimate
}

func choose(t *testing.T, directory *Directory, request Criteria, now time.Time) Choice {
	t.Helper()
	choice, availability := directory.Choose(request, now)
	is.New(t).Equal(availability, Chosen)
	return choice
}

func TestNearestServerIsChosenFirst(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("far", "far-1"), server("mid", "near-2"), server("near", "near-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	first := choose(t, directory, newCriteria(estimate), epoch)
	is.Equal(first.Server.ID, "near")
	second := choose(t, directory, newCriteria(estimate, first.Endpoint), epoch)
	is.Equal(second.Server.ID, "mid")
	third := choose(t, directory, newCriteria(estimate, first.Endpoint, second.Endpoint), epoch)
	is.Equal(third.Server.ID, "far")
	_, availability := directory.Choose(newCriteria(estimate, first.Endpoint, second.Endpoint, third.Endpoint), epoch)
	is.Equal(availability, NoServer)
}

func TestSlowLocalServerLosesToARemoteOne(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	now := epoch
	for range 10 {
		choice := choose(t, directory, Criteria{Service: "s", Estimate: NewEstimate(20 * time.Millisecond), TimeLeft: time.Hour}, now)
		is.Equal(choice.Server.ID, "near")
		now = now.Add(300 * time.Millisecond)
		directory.Finish(choice, established(20*time.Millisecond), ResultAnswered, now)
	}
	is.Equal(choose(t, directory, newCriteria(estimate), now).Server.ID, "far")
	later := now.Add(10 * slownessHalfLife)
	is.Equal(choose(t, directory, newCriteria(estimate), later).Server.ID, "near") // tried again after a while
}

func TestSlowServerIsTriedAgainWithOneRequest(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	slow := directory.byID["near"]
	slow.slowness, slow.slownessUpdatedAt = 8, epoch
	later := epoch.Add(2 * slownessHalfLife)
	is.Equal(choose(t, directory, newCriteria(estimate), later).Server.ID, "near")
	is.Equal(choose(t, directory, newCriteria(estimate), later).Server.ID, "far")
}

func TestFailedServerIsTriedAgainWithOneRequest(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	directory.Finish(choose(t, directory, newCriteria(estimate), epoch), estimate, ResultFailed, epoch)
	later := epoch.Add(maxBackoff)
	probe := choose(t, directory, newCriteria(estimate), later)
	is.Equal(probe.Server.ID, "near")
	is.Equal(choose(t, directory, newCriteria(estimate), later).Server.ID, "far")
	directory.Finish(probe, estimate, ResultAnswered, later)
	is.Equal(choose(t, directory, newCriteria(estimate), later).Server.ID, "near")
	is.Equal(choose(t, directory, newCriteria(estimate), later).Server.ID, "near")
}

func TestStalledServerIsAvoided(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	stuck := choose(t, directory, newCriteria(estimate), epoch)
	later := epoch.Add(150 * time.Millisecond)
	is.Equal(choose(t, directory, newCriteria(estimate), later).Server.ID, "far")
	directory.Finish(stuck, estimate, ResultAbandoned, later)
	is.Equal(choose(t, directory, newCriteria(estimate), later).Server.ID, "far") // also after the request was given up
	is.Equal(choose(t, directory, newCriteria(estimate), later.Add(time.Minute)).Server.ID, "near")
}

func TestOneLongRequestIsNoStall(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	choose(t, directory, newCriteria(estimate), epoch) // takes long
	other := choose(t, directory, newCriteria(estimate), epoch.Add(time.Millisecond))
	is.Equal(other.Server.ID, "near")
	answeredAt := epoch.Add(21 * time.Millisecond)
	directory.Finish(other, estimate, ResultAnswered, answeredAt)
	is.Equal(choose(t, directory, newCriteria(estimate), epoch.Add(100*time.Millisecond)).Server.ID, "near")
}

func TestResultsThatCauseBackoff(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultRefused, ResultUnreachable, ResultReset} {
		is := is.New(t)
		directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
		estimate := NewEstimate(20 * time.Millisecond)
		choice := choose(t, directory, newCriteria(estimate), epoch)
		directory.Finish(choice, estimate, result, epoch)
		is.Equal(choose(t, directory, newCriteria(estimate), epoch.Add(time.Millisecond)).Server.ID, "far")
		is.Equal(choose(t, directory, newCriteria(estimate), epoch.Add(time.Minute)).Server.ID, "near")
	}
}

func TestReusedAddressIsNotTriedAgain(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("only", "near-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	directory.Finish(choose(t, directory, newCriteria(estimate), epoch), estimate, ResultWrongServer, epoch)
	_, availability := directory.Choose(newCriteria(estimate), epoch.Add(time.Hour))
	is.Equal(availability, NoServer)
	directory.Put(server("next", "near-1"), epoch)
	is.Equal(choose(t, directory, newCriteria(estimate), epoch).Server.ID, "next")
}

func TestServerThatFailedIsStillTheLastResort(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("only", "near-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	directory.Finish(choose(t, directory, newCriteria(estimate), epoch), estimate, ResultFailed, epoch)
	is.Equal(choose(t, directory, newCriteria(estimate), epoch).Server.ID, "only")
}

func TestDrainingAndRemovedServersGetNothing(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("a", "near-1"), server("b", "near-1"))
	estimate := NewEstimate(20 * time.Millisecond)
	draining := server("a", "near-1")
	draining.Draining = true
	directory.Put(draining, epoch)
	is.Equal(choose(t, directory, newCriteria(estimate), epoch).Server.ID, "b")
	directory.Remove("b")
	_, availability := directory.Choose(newCriteria(estimate), epoch)
	is.Equal(availability, NoServer)
}

func TestReplaceRemovesUnlistedServers(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("a", "near-1"), server("b", "near-1"))
	removed := directory.Replace([]Server{server("b", "near-1"), server("c", "near-1")}, epoch)
	is.Equal(removed, []string{"a"})
	is.Equal(directory.Count(), 2)
}

func TestLimitOfRequestsAtAServer(t *testing.T) {
	is := is.New(t)
	wide := server("only", "near-1")
	wide.Slots = 8 // so that the connections are the limit
	directory := directoryOf(wide)
	table, err := routing.NewTable(1, routing.Limits{}, []routing.Service{{Name: "s", MaximumConnections: 10}}, nil)
	is.NoErr(err)
	directory.Configure(table, epoch)
	directory.SetNodeLimits(retrybudget.Limits{}, false, NodeCounts{Local: 2, Remote: 6}, epoch)
	is.Equal(directory.IdleLimit(server("only", "near-1")), 2)
	is.Equal(directory.IdleLimit(server("beside", "near-2")), 2) // another zone of the region
	is.Equal(directory.IdleLimit(server("other", "far-1")), 0)   // less than one each
	estimate := NewEstimate(20 * time.Millisecond)
	var choices []Choice
	for range 4 { // two fifths of ten
		choices = append(choices, choose(t, directory, newCriteria(estimate), epoch))
	}
	_, availability := directory.Choose(newCriteria(estimate), epoch)
	is.Equal(availability, Busy)
	directory.Finish(choices[0], estimate, ResultReset, epoch)
	_, availability = directory.Choose(newCriteria(estimate), epoch)
	is.Equal(availability, Busy) // the limit was decreased
	for _, choice := range choices[1:] {
		directory.Finish(choice, estimate, ResultAnswered, epoch)
	}
	later := epoch.Add(10 * time.Second)
	for range 4 {
		choose(t, directory, newCriteria(estimate), later) // it has grown again
	}
}

// A node leaves one slot of a server to the others, so that waiting requests can still go to
// another server; with very few other nodes in the region it may use all of them.
func TestSlotsBoundTheRequestsAtAServer(t *testing.T) {
	for _, test := range []struct {
		near, slots, want int
	}{
		{near: 5, slots: 3, want: 2},
		{near: 5, slots: 5, want: 4},
		{near: 5, slots: 1, want: 1},
		{near: 2, slots: 3, want: 3},
		{near: 1, slots: 3, want: 6},
		{near: 30, slots: 4, want: 3},
	} {
		is := is.New(t)
		only := server("only", "near-1")
		only.Slots = test.slots
		directory := directoryOf(only)
		directory.SetNodeLimits(retrybudget.Limits{}, false, NodeCounts{Local: test.near, Remote: 1}, epoch)
		estimate := NewEstimate(20 * time.Millisecond)
		for range test.want {
			choose(t, directory, newCriteria(estimate), epoch)
		}
		_, availability := directory.Choose(newCriteria(estimate), epoch)
		is.Equal(availability, Busy)
	}
}

// connections is the set of servers to which the node has idle connections.
type connections map[string]bool

func (c connections) HasIdle(incarnation string) bool { return c[incarnation] }

// A server that has reset a new connection would reset the next one as well; an idle
// connection to it remains usable.
func TestNoNewConnectionRightAfterAReset(t *testing.T) {
	is := is.New(t)
	idle := connections{}
	directory := New(testTopology(), idle)
	directory.Put(server("only", "near-1"), epoch)
	estimate := NewEstimate(20 * time.Millisecond)
	directory.Finish(choose(t, directory, newCriteria(estimate), epoch), estimate, ResultReset, epoch)
	soon := epoch.Add(connectPause / 2)
	_, availability := directory.Choose(newCriteria(estimate), soon)
	is.Equal(availability, Busy)
	idle["only"] = true
	directory.Finish(choose(t, directory, newCriteria(estimate), soon), estimate, ResultAnswered, soon)
	delete(idle, "only")
	choose(t, directory, newCriteria(estimate), epoch.Add(2*connectPause))
}

func TestIdleLimitOfUnboundedServers(t *testing.T) {
	is.New(t).Equal(directoryOf().IdleLimit(server("a", "near-1")), NoLimit)
}

func TestRetryBudgetOfAService(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("a", "near-1"))
	directory.SetNodeLimits(retrybudget.Limits{Ratio: 0.5, Capacity: 1, Started: epoch.Add(time.Hour)}, false, NodeCounts{Local: 1, Remote: 1}, epoch)
	estimate := NewEstimate(20 * time.Millisecond)
	extra := newCriteria(estimate)
	extra.Extra = true
	_, availability := directory.Choose(extra, epoch)
	is.Equal(availability, NoBudget)
	directory.EarnRetries("s", epoch)
	directory.EarnRetries("s", epoch)
	choose(t, directory, extra, epoch)
	_, availability = directory.Choose(extra, epoch)
	is.Equal(availability, NoBudget)
}

func TestHedgeToAnotherRegionWaitsAsLongAsPossible(t *testing.T) {
	is := is.New(t)
	estimate := NewEstimate(20 * time.Millisecond)
	remoteOnly := choose(t, directoryOf(server("near", "near-1"), server("far", "far-1")), newCriteria(estimate), epoch)
	withLocal := choose(t, directoryOf(server("near", "near-1"), server("mid", "near-2")), newCriteria(estimate), epoch)
	is.True(remoteOnly.HedgeDelay > withLocal.HedgeDelay)
	is.True(remoteOnly.HedgeDelay < 150*time.Millisecond) // leaves time for the hedge
}

func TestSlowLocalServerCausesNoEarlyHedge(t *testing.T) {
	is := is.New(t)
	estimate := NewEstimate(20 * time.Millisecond)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	slow := directory.byID["near"]
	slow.slowness, slow.slownessUpdatedAt = 20, epoch
	choice := choose(t, directory, newCriteria(estimate), epoch)
	is.Equal(choice.Server.ID, "far")
	alone := choose(t, directoryOf(server("far", "far-1")), newCriteria(estimate), epoch)
	is.Equal(choice.HedgeDelay, alone.HedgeDelay)
}

func TestEstimateFollowsProcessingTime(t *testing.T) {
	is := is.New(t)
	estimate := NewEstimate(100 * time.Millisecond)
	for index := range 2000 {
		processing := 10 * time.Millisecond
		if index%50 == 0 { // two in a hundred
			processing = 80 * time.Millisecond
		}
		estimate.observe(processing, false)
	}
	is.True(estimate.Mean() > 8*time.Millisecond && estimate.Mean() < 18*time.Millisecond)
	is.True(estimate.Quantile() >= estimate.Mean() && estimate.Quantile() < 40*time.Millisecond)
}
