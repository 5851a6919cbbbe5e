package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/routing"
)

const (
	oldVersion = rollout.Version("v1")
	newVersion = rollout.Version("v2")
	// revisions of the old servers' entries, the order, and the new servers' entries.
	oldCreated   = catalog.Revision(10)
	orderCreated = catalog.Revision(20)
	newCreated   = catalog.Revision(30)
)

var testBounds = rollout.Bounds{Share: 0.1, Slack: 50, RollBack: 5 * time.Second}

// versionWorld is a directory of two old and two new servers of one service.
type versionWorld struct {
	directory *Directory
	tracker   *rollout.Tracker
	now       time.Time
	estimate  *Estimate
}

func newVersionWorld() *versionWorld {
	world := &versionWorld{
		directory: New(Topology{Node: "n", Own: Place{Zone: "z", Region: "r"}, Regions: map[string]string{"z": "r"}}, nil),
		tracker:   rollout.NewTracker(testBounds),
		now:       time.Now(),
		estimate:  NewEstimate(10 * time.Millisecond),
	}
	world.directory.FollowRollouts(world.tracker)
	world.directory.Share(retrybudget.Limits{Ratio: 1, Capacity: 1000}, false, Sharers{Near: 1, Far: 1, Settled: true}, world.now)
	for index := range 2 {
		world.put(fmt.Sprintf("old-%d", index), oldVersion, oldCreated)
	}
	return world
}

// newOrderedWorld is such a world with an order that came while the node ran, and with the
// servers that it started.
func newOrderedWorld(state rollout.State, stage rollout.Stage, elapsed time.Duration) *versionWorld {
	world := newVersionWorld()
	world.reach(orderCreated - 1)
	world.order(state, stage, elapsed)
	world.reach(newCreated)
	world.putNew()
	return world
}

func (w *versionWorld) put(id string, version rollout.Version, created catalog.Revision) {
	w.directory.Put(Server{ID: id, Service: "s", Address: id, Zone: "z", Slots: 1000, Version: version, Created: created}, w.now)
}

func (w *versionWorld) putNew() {
	for index := range 2 {
		w.put(fmt.Sprintf("new-%d", index), newVersion, newCreated)
	}
}

func (w *versionWorld) order(state rollout.State, stage rollout.Stage, elapsed time.Duration) {
	w.orderOf(newVersion, rollout.Status{State: state, Stage: stage, Elapsed: elapsed})
}

// orderOf orders a version, with a status about it.
func (w *versionWorld) orderOf(target rollout.Version, status rollout.Status) {
	status.Target = target
	w.tracker.Put(rollout.Order{
		Service: "s", Target: target, Duration: 20 * time.Second, Created: orderCreated,
		Revision: 40 + catalog.Revision(status.State)*10 + catalog.Revision(status.Stage), Status: status,
	}, w.now)
}

func (w *versionWorld) reach(revision catalog.Revision) { w.tracker.Reached(revision, w.now) }

// ask sends so many requests and returns how many went to each version.
func (w *versionWorld) ask(count int, extra bool, result Result, repeatable bool) map[rollout.Version]int {
	seen := make(map[rollout.Version]int)
	route := &routing.Route{Name: "route", Repeatable: repeatable}
	for range count {
		if !extra {
			w.directory.EarnRetries("s", w.now)
		}
		choice, availability := w.directory.Choose(Demand{Service: "s", Route: route, Extra: extra, Work: w.estimate, Left: time.Second}, w.now)
		if availability != Chosen {
			seen["none"]++
			continue
		}
		seen[choice.Server.Version]++
		w.directory.Finish(choice, w.estimate, result, w.now.Add(10*time.Millisecond))
	}
	return seen
}

// hold sends so many requests that are not answered, so that they spread over the servers.
func (w *versionWorld) hold(count int) map[rollout.Version]int {
	seen := make(map[rollout.Version]int)
	for range count {
		choice, _ := w.directory.Choose(Demand{Service: "s", Work: w.estimate, Left: time.Second}, w.now)
		seen[choice.Server.Version]++
	}
	return seen
}

func TestVersionsOfOrders(t *testing.T) {
	const count = 100
	tests := []struct {
		name  string
		state rollout.State
		stage rollout.Stage
		// elapsed is for how long the order of 20 s has run.
		elapsed time.Duration
		extra   bool
		// least and most that the new version gets of count sends.
		least, most int
	}{
		{"not answered yet", rollout.StateNone, rollout.StageWaiting, 0, false, 0, 0},
		{"waiting", rollout.StateRunning, rollout.StageWaiting, 0, false, 0, 0},
		// 0.04 of the requests; the order came after the process, which has 16 of the slack, a
		// quarter of them by now.
		{"canary", rollout.StateRunning, rollout.StageCanary, 4 * time.Second, false, 3, 17},
		{"extra sends in the canary stage", rollout.StateRunning, rollout.StageCanary, 4 * time.Second, true, 0, 0},
		{"load", rollout.StateRunning, rollout.StageLoad, 10 * time.Second, false, 8, 22},
		{"shift", rollout.StateRunning, rollout.StageShift, 14 * time.Second, false, 12, 26},
		{"extra sends in the shift stage", rollout.StateRunning, rollout.StageShift, 14 * time.Second, true, 0, 0},
		{"whole", rollout.StateRunning, rollout.StageWhole, 16 * time.Second, false, count, count},
		// The old servers are there until the order is completed.
		{"extra sends in the whole stage", rollout.StateRunning, rollout.StageWhole, 16 * time.Second, true, 0, 0},
		{"extra sends when completed", rollout.StateCompleted, rollout.StageWhole, 17 * time.Second, true, count, count},
		{"completed", rollout.StateCompleted, rollout.StageWhole, 17 * time.Second, false, count, count},
		{"rolled back", rollout.StateRolledBack, rollout.StageLoad, 10 * time.Second, false, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			world := newOrderedWorld(test.state, test.stage, test.elapsed)
			seen := world.ask(count, test.extra, ResultAnswered, true)
			is.Equal(seen["none"], 0)
			if got := seen[newVersion]; got < test.least || got > test.most {
				t.Errorf("the new version got %d of %d, want %d to %d", got, count, test.least, test.most)
			}
		})
	}
}

func TestVersionWithoutKnownOrderWaits(t *testing.T) {
	is := is.New(t)
	world := newVersionWorld()
	world.reach(orderCreated - 1)
	world.putNew()
	is.Equal(world.ask(50, false, ResultAnswered, true)[newVersion], 0) // an order may stand behind it
	world.reach(newCreated - 1)
	is.Equal(world.ask(50, false, ResultAnswered, true)[newVersion], 0)
	world.reach(newCreated)
	is.True(world.hold(4)[newVersion] > 0) // no order: an ordinary replacement
}

func TestNewServerOfTheVersionInUseNeedsNoOrder(t *testing.T) {
	is := is.New(t)
	world := newVersionWorld()
	world.reach(oldCreated)
	world.put("old-2", oldVersion, newCreated)
	is.Equal(world.hold(3)[oldVersion], 3)
	is.Equal(len(world.directory.byID["old-2"].underWay), 1)
}

func TestNodeWithoutWordExposesNothing(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageShift, 14*time.Second)
	world.now = world.now.Add(5 * time.Second)
	is.Equal(world.ask(50, false, ResultAnswered, true)[newVersion], 0) // nothing was heard of the store for 5 s
	world.reach(newCreated)
	is.True(world.ask(50, false, ResultAnswered, true)[newVersion] > 0)
	world.now = world.now.Add(3 * time.Second)
	world.reach(newCreated)
	is.Equal(world.ask(50, false, ResultAnswered, true)[newVersion], 0) // what came of it is unreported for 3 s
	reports, news := world.tracker.Reports(world.now)
	is.True(news)
	world.tracker.Reported([]rollout.Key{reports[0].Key()}, world.now)
	is.True(world.ask(50, false, ResultAnswered, true)[newVersion] > 0)
}

func TestCutOffNodeGoesOverWhenOldServersAreGone(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageCanary, 0)
	world.now = world.now.Add(6 * time.Second)
	world.ask(2, false, ResultUnreachable, true) // both old ones
	is.Equal(world.ask(10, false, ResultAnswered, true)[newVersion] > 0, true)
}

func TestHaltedVersionGetsNothing(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageWhole, 0)
	route := &routing.Route{Name: "route", Repeatable: true}
	choice, _ := world.directory.Choose(Demand{Service: "s", Route: route, Work: world.estimate, Left: time.Second}, world.now)
	is.Equal(choice.Server.Version, newVersion)
	is.True(world.directory.Open(choice.Endpoint))
	reports, _ := world.tracker.Reports(world.now)
	is.True(world.tracker.Halt(reports[0].Key()))
	is.True(!world.directory.Open(choice.Endpoint)) // what waits for a connection is not sent
	is.Equal(world.ask(50, false, ResultAnswered, true)[newVersion], 0)
	is.True(!world.tracker.Halt(reports[0].Key())) // known
}

func TestUnrepeatableRequestsGoToANewVersionLast(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageCanary, 0)
	is.Equal(world.ask(100, false, ResultAnswered, false)[newVersion], 0)
	world.order(rollout.StateRunning, rollout.StageLoad, 9*time.Second)
	is.True(world.ask(100, false, ResultAnswered, false)[newVersion] > 0) // there are no others
	is.True(world.ask(1, false, ResultAnswered, true)["none"] == 0)
	is.Equal(world.ask(100, false, ResultAnswered, false)[newVersion], 0) // others go first
	world.order(rollout.StateRunning, rollout.StageShift, 14*time.Second)
	is.True(world.ask(100, false, ResultAnswered, false)[newVersion] > 0)
}

func TestWithdrawnVersionGetsNothing(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageCanary, 0)
	world.tracker.Remove("s")
	is.Equal(world.ask(50, false, ResultAnswered, true)[newVersion], 0)
}

func TestWithdrawnVersionServesWhereNoOtherIsLeft(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageCanary, 0)
	world.tracker.Remove("s")
	for index := range 2 {
		world.directory.Remove(fmt.Sprintf("old-%d", index))
	}
	is.Equal(world.ask(50, false, ResultAnswered, true)[newVersion], 50)
}

func TestWithdrawnOrderOfTheVersionInUseTakesNothing(t *testing.T) {
	is := is.New(t)
	world := newVersionWorld()
	world.reach(orderCreated - 1)
	world.orderOf(oldVersion, rollout.Status{State: rollout.StateRunning})
	world.tracker.Remove("s")
	is.Equal(world.ask(50, false, ResultAnswered, true)[oldVersion], 50)
}

func TestOrderOfTheVersionInUseIsChanged(t *testing.T) {
	is := is.New(t)
	world := newVersionWorld()
	world.reach(orderCreated - 1)
	world.orderOf(oldVersion, rollout.Status{State: rollout.StateRunning})
	world.order(rollout.StateRunning, rollout.StageWaiting, 0)
	world.reach(newCreated)
	world.putNew()
	is.Equal(world.hold(50)[newVersion], 0)
	world.order(rollout.StateRolledBack, rollout.StageWaiting, 0)
	is.Equal(world.ask(50, false, ResultAnswered, true)[oldVersion], 50)
}

func TestReplacementAfterACompletedOrderOfTheVersionInUse(t *testing.T) {
	is := is.New(t)
	world := newVersionWorld()
	world.reach(orderCreated - 1)
	world.orderOf(oldVersion, rollout.Status{State: rollout.StateCompleted})
	world.put("old-2", oldVersion, 100)
	world.reach(100)
	world.hold(30)
	for index := range 3 {
		is.True(len(world.directory.byID[fmt.Sprintf("old-%d", index)].underWay) > 0)
	}
}

func TestRepeatedOrderBoundsServersOfTheFirst(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageCanary, 0)
	world.tracker.Remove("s")
	world.tracker.Put(rollout.Order{Service: "s", Target: newVersion, Duration: 20 * time.Second, Created: 100, Revision: 100}, world.now)
	world.reach(100)
	is.Equal(world.hold(50)[newVersion], 0)
}

func TestLoadStageTurnsFromServerToServer(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageLoad, 9*time.Second)
	route := &routing.Route{Name: "route", Repeatable: true}
	turns := make(map[string]bool)
	for range 12 {
		seen := make(map[string]bool)
		for range 20 {
			world.directory.EarnRetries("s", world.now)
			choice, _ := world.directory.Choose(Demand{Service: "s", Route: route, Work: world.estimate, Left: time.Second}, world.now)
			if choice.Server.Version == newVersion {
				seen[choice.Server.ID] = true
				turns[choice.Server.ID] = true
			}
		}
		is.True(len(seen) <= 1) // one server at a time
		world.now = world.now.Add(800 * time.Millisecond)
		world.reach(newCreated)
	}
	is.Equal(len(turns), 2)
}

func TestEvidenceOfBothVersions(t *testing.T) {
	is := is.New(t)
	world := newOrderedWorld(rollout.StateRunning, rollout.StageShift, 14*time.Second)
	world.ask(100, false, ResultErred, true)
	reports, _ := world.tracker.Reports(world.now)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Requests, uint32(100))
	is.Equal(reports[0].OldUnderWay, 0)
	counts := reports[0].Routes[0]
	added := rollout.Counts{}
	for _, server := range counts.New {
		added = added.Plus(server)
	}
	is.Equal(added.Failed, reports[0].Sent)
	is.Equal(added.Failed+counts.Old.Failed, uint32(100))
}
