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
	// Revisions of the old servers' entries, the order, and the new servers' entries.
	oldCreated   = catalog.Revision(10)
	orderCreated = catalog.Revision(20)
	newCreated   = catalog.Revision(30)
)

var testBounds = rollout.Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}

// versionFixture is a directory of two old and two new servers of one service.
type versionFixture struct {
	directory *Directory
	tracker   *rollout.Tracker
	now       time.Time
	estimate  *Estimate
}

func newVersionFixture() *versionFixture {
	fixture := &versionFixture{
		directory: New(Topology{Node: "n", Self: Locality{Zone: "z", Region: "r"}, Regions: map[string]string{"z": "r"}}, nil),
		tracker:   rollout.NewTracker(testBounds),
		now:       time.Now(),
		estimate:  NewEstimate(10 * time.Millisecond),
	}
	fixture.directory.SetRolloutTracker(fixture.tracker)
	fixture.directory.SetNodeLimits(retrybudget.Limits{Ratio: 1, Capacity: 1000}, false, NodeCounts{Local: 1, Remote: 1, Known: true}, fixture.now)
	for index := range 2 {
		fixture.put(fmt.Sprintf("old-%d", index), oldVersion, oldCreated)
	}
	return fixture
}

// newRolloutFixture returns a fixture with an order that was made while the node ran, and with
// the servers that the order started.
func newRolloutFixture(state rollout.State, stage rollout.Stage, elapsed time.Duration) *versionFixture {
	fixture := newVersionFixture()
	fixture.reached(orderCreated - 1)
	fixture.order(state, stage, elapsed)
	fixture.reached(newCreated)
	fixture.putNew()
	return fixture
}

func (f *versionFixture) put(id string, version rollout.Version, created catalog.Revision) {
	f.directory.Put(Server{ID: id, Service: "s", Address: id, Zone: "z", Slots: 1000, Version: version, Created: created}, f.now)
}

func (f *versionFixture) putNew() {
	for index := range 2 {
		f.put(fmt.Sprintf("new-%d", index), newVersion, newCreated)
	}
}

func (f *versionFixture) order(state rollout.State, stage rollout.Stage, elapsed time.Duration) {
	f.orderOf(newVersion, rollout.Status{State: state, Stage: stage, Elapsed: elapsed})
}

// orderOf orders a version with the given status.
func (f *versionFixture) orderOf(target rollout.Version, status rollout.Status) {
	status.Target = target
	f.tracker.Put(rollout.Order{
		Service: "s", Target: target, Duration: 20 * time.Second, Created: orderCreated,
		Revision: 40 + catalog.Revision(status.State)*10 + catalog.Revision(status.Stage), Status: status,
	}, f.now)
}

func (f *versionFixture) reached(revision catalog.Revision) { f.tracker.Reached(revision, f.now) }

// send sends count requests and returns how many went to each version.
func (f *versionFixture) send(count int, extra bool, result Result, repeatable bool) map[rollout.Version]int {
	sent := make(map[rollout.Version]int)
	route := &routing.Route{Name: "route", Repeatable: repeatable}
	for range count {
		if !extra {
			f.directory.EarnRetries("s", f.now)
		}
		choice, availability := f.directory.Choose(Criteria{Service: "s", Route: route, Extra: extra, Estimate: f.estimate, TimeLeft: time.Second}, f.now)
		if availability != Chosen {
			sent["none"]++
			continue
		}
		sent[choice.Server.Version]++
		f.directory.Finish(choice, f.estimate, result, f.now.Add(10*time.Millisecond))
	}
	return sent
}

// sendUnanswered sends count requests without answers, so that they spread over the servers,
// and returns how many went to each version.
func (f *versionFixture) sendUnanswered(count int) map[rollout.Version]int {
	sent := make(map[rollout.Version]int)
	for range count {
		choice, _ := f.directory.Choose(Criteria{Service: "s", Estimate: f.estimate, TimeLeft: time.Second}, f.now)
		sent[choice.Server.Version]++
	}
	return sent
}

func TestVersionsOfOrders(t *testing.T) {
	const count = 100
	tests := []struct {
		name  string
		state rollout.State
		stage rollout.Stage
		// elapsed is how long the order of 20 s has run.
		elapsed time.Duration
		extra   bool
		// minimum and maximum number of the count sends that the new version gets.
		minimum, maximum int
	}{
		{"not answered yet", rollout.StateNone, rollout.StageWaiting, 0, false, 0, 0},
		{"waiting", rollout.StateRunning, rollout.StageWaiting, 0, false, 0, 0},
		// 0.04 of the requests. The process started before the order was made, so its
		// part of the slack is 16, of which a quarter is available by now.
		{"canary", rollout.StateRunning, rollout.StageCanary, 4 * time.Second, false, 3, 17},
		{"extra sends in the canary stage", rollout.StateRunning, rollout.StageCanary, 4 * time.Second, true, 0, 0},
		{"load", rollout.StateRunning, rollout.StageLoad, 10 * time.Second, false, 8, 22},
		{"shift", rollout.StateRunning, rollout.StageShift, 14 * time.Second, false, 12, 26},
		{"extra sends in the shift stage", rollout.StateRunning, rollout.StageShift, 14 * time.Second, true, 0, 0},
		{"whole", rollout.StateRunning, rollout.StageFull, 16 * time.Second, false, count, count},
		// The old servers stay until the order is completed.
		{"extra sends in the whole stage", rollout.StateRunning, rollout.StageFull, 16 * time.Second, true, 0, 0},
		{"extra sends when completed", rollout.StateCompleted, rollout.StageFull, 17 * time.Second, true, count, count},
		{"completed", rollout.StateCompleted, rollout.StageFull, 17 * time.Second, false, count, count},
		{"rolled back", rollout.StateRolledBack, rollout.StageLoad, 10 * time.Second, false, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newRolloutFixture(test.state, test.stage, test.elapsed)
			sent := fixture.send(count, test.extra, ResultAnswered, true)
			is.Equal(sent["none"], 0)
			if got := sent[newVersion]; got < test.minimum || got > test.maximum {
				t.Errorf("the new version got %d of %d, want %d to %d", got, count, test.minimum, test.maximum)
			}
		})
	}
}

func TestVersionWithoutKnownOrderWaits(t *testing.T) {
	is := is.New(t)
	fixture := newVersionFixture()
	fixture.reached(orderCreated - 1)
	fixture.putNew()
	is.Equal(fixture.send(50, false, ResultAnswered, true)[newVersion], 0) // it may belong to an unknown order
	fixture.reached(newCreated - 1)
	is.Equal(fixture.send(50, false, ResultAnswered, true)[newVersion], 0)
	fixture.reached(newCreated)
	is.True(fixture.sendUnanswered(4)[newVersion] > 0) // no order: an ordinary replacement
}

func TestNewServerOfTheVersionInUseNeedsNoOrder(t *testing.T) {
	is := is.New(t)
	fixture := newVersionFixture()
	fixture.reached(oldCreated)
	fixture.put("old-2", oldVersion, newCreated)
	is.Equal(fixture.sendUnanswered(3)[oldVersion], 3)
	is.Equal(len(fixture.directory.byID["old-2"].inFlight), 1)
}

func TestNodeWithStaleOrdersExposesNothing(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageShift, 14*time.Second)
	fixture.now = fixture.now.Add(5 * time.Second)
	is.Equal(fixture.send(50, false, ResultAnswered, true)[newVersion], 0) // the orders are 5 s old
	fixture.reached(newCreated)
	is.True(fixture.send(50, false, ResultAnswered, true)[newVersion] > 0)
	fixture.now = fixture.now.Add(3 * time.Second)
	fixture.reached(newCreated)
	is.Equal(fixture.send(50, false, ResultAnswered, true)[newVersion], 0) // its results are unreported for 3 s
	reports, news := fixture.tracker.Reports(fixture.now)
	is.True(news)
	fixture.tracker.MarkReported([]rollout.Key{reports[0].Key()}, fixture.now)
	is.True(fixture.send(50, false, ResultAnswered, true)[newVersion] > 0)
}

func TestIsolatedNodeUsesTheNewVersionWhenOldServersAreGone(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageCanary, 0)
	fixture.now = fixture.now.Add(6 * time.Second)
	fixture.send(2, false, ResultUnreachable, true) // both old ones
	is.Equal(fixture.send(10, false, ResultAnswered, true)[newVersion] > 0, true)
}

func TestHaltedVersionGetsNothing(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageFull, 0)
	route := &routing.Route{Name: "route", Repeatable: true}
	choice, _ := fixture.directory.Choose(Criteria{Service: "s", Route: route, Estimate: fixture.estimate, TimeLeft: time.Second}, fixture.now)
	is.Equal(choice.Server.Version, newVersion)
	is.True(fixture.directory.Serving(choice.Endpoint))
	reports, _ := fixture.tracker.Reports(fixture.now)
	is.True(fixture.tracker.Halt(reports[0].Key()))
	is.True(!fixture.directory.Serving(choice.Endpoint)) // requests that wait for a connection are withheld
	is.Equal(fixture.send(50, false, ResultAnswered, true)[newVersion], 0)
	is.True(!fixture.tracker.Halt(reports[0].Key())) // already halted
}

func TestUnrepeatableRequestsGoToANewVersionLast(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageCanary, 0)
	is.Equal(fixture.send(100, false, ResultAnswered, false)[newVersion], 0)
	fixture.order(rollout.StateRunning, rollout.StageLoad, 9*time.Second)
	is.True(fixture.send(100, false, ResultAnswered, false)[newVersion] > 0) // there are no repeatable ones
	is.True(fixture.send(1, false, ResultAnswered, true)["none"] == 0)
	is.Equal(fixture.send(100, false, ResultAnswered, false)[newVersion], 0) // repeatable ones go first
	fixture.order(rollout.StateRunning, rollout.StageShift, 14*time.Second)
	is.True(fixture.send(100, false, ResultAnswered, false)[newVersion] > 0)
}

func TestWithdrawnVersionGetsNothing(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageCanary, 0)
	fixture.tracker.Remove("s")
	is.Equal(fixture.send(50, false, ResultAnswered, true)[newVersion], 0)
}

func TestWithdrawnVersionServesIfNoOtherIsLeft(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageCanary, 0)
	fixture.tracker.Remove("s")
	for index := range 2 {
		fixture.directory.Remove(fmt.Sprintf("old-%d", index))
	}
	is.Equal(fixture.send(50, false, ResultAnswered, true)[newVersion], 50)
}

func TestWithdrawnOrderOfTheVersionInUseHasNoEffect(t *testing.T) {
	is := is.New(t)
	fixture := newVersionFixture()
	fixture.reached(orderCreated - 1)
	fixture.orderOf(oldVersion, rollout.Status{State: rollout.StateRunning})
	fixture.tracker.Remove("s")
	is.Equal(fixture.send(50, false, ResultAnswered, true)[oldVersion], 50)
}

func TestOrderOfTheVersionInUseIsChanged(t *testing.T) {
	is := is.New(t)
	fixture := newVersionFixture()
	fixture.reached(orderCreated - 1)
	fixture.orderOf(oldVersion, rollout.Status{State: rollout.StateRunning})
	fixture.order(rollout.StateRunning, rollout.StageWaiting, 0)
	fixture.reached(newCreated)
	fixture.putNew()
	is.Equal(fixture.sendUnanswered(50)[newVersion], 0)
	fixture.order(rollout.StateRolledBack, rollout.StageWaiting, 0)
	is.Equal(fixture.send(50, false, ResultAnswered, true)[oldVersion], 50)
}

func TestReplacementAfterACompletedOrderOfTheVersionInUse(t *testing.T) {
	is := is.New(t)
	fixture := newVersionFixture()
	fixture.reached(orderCreated - 1)
	fixture.orderOf(oldVersion, rollout.Status{State: rollout.StateCompleted})
	fixture.put("old-2", oldVersion, 100)
	fixture.reached(100)
	fixture.sendUnanswered(30)
	for index := range 3 {
		is.True(len(fixture.directory.byID[fmt.Sprintf("old-%d", index)].inFlight) > 0)
	}
}

func TestRepeatedOrderRestrictsServersOfTheFirst(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageCanary, 0)
	fixture.tracker.Remove("s")
	fixture.tracker.Put(rollout.Order{Service: "s", Target: newVersion, Duration: 20 * time.Second, Created: 100, Revision: 100}, fixture.now)
	fixture.reached(100)
	is.Equal(fixture.sendUnanswered(50)[newVersion], 0)
}

func TestLoadStageRotatesTheServers(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageLoad, 9*time.Second)
	route := &routing.Route{Name: "route", Repeatable: true}
	used := make(map[string]bool)
	for range 12 {
		sent := make(map[string]bool)
		for range 20 {
			fixture.directory.EarnRetries("s", fixture.now)
			choice, _ := fixture.directory.Choose(Criteria{Service: "s", Route: route, Estimate: fixture.estimate, TimeLeft: time.Second}, fixture.now)
			if choice.Server.Version == newVersion {
				sent[choice.Server.ID] = true
				used[choice.Server.ID] = true
			}
		}
		is.True(len(sent) <= 1) // one server at a time
		fixture.now = fixture.now.Add(800 * time.Millisecond)
		fixture.reached(newCreated)
	}
	is.Equal(len(used), 2)
}

func TestReportCountsBothVersions(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageShift, 14*time.Second)
	fixture.send(100, false, ResultServerError, true)
	reports, _ := fixture.tracker.Reports(fixture.now)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Requests, uint32(100))
	is.Equal(reports[0].OldInFlight, 0)
	counts := reports[0].Routes[0]
	added := rollout.Counts{}
	for _, server := range counts.New {
		added = added.Plus(server)
	}
	is.Equal(added.Failed, reports[0].Sent)
	is.Equal(added.Failed+counts.Old.Failed, uint32(100))
}
