package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
)

var testBounds = Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}

// runningOrder returns a running order in a stage.
func runningOrder(revision catalog.Revision, stage Stage) Order {
	return Order{
		Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 10, Revision: revision,
		Status: Status{State: StateRunning, Target: "v2", Stage: stage},
	}
}

// exposes reports whether one of 100 requests may go to the target.
func exposes(tracker *Tracker, now time.Time) bool {
	for range 100 {
		tracker.Request("s")
		if tracker.Admit(Attempt{Service: "s", Repeatable: true}, now).Allows(Candidate{ID: "new", Version: "v2", Created: 20}) {
			return true
		}
	}
	return false
}

func TestExposureEnds(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name    string
		event   func(tracker *Tracker)
		now     time.Time
		exposed bool
	}{
		{"store confirmed just now", func(*Tracker) {}, at(0.1), true},
		{"store silent for too long", func(*Tracker) {}, at(4.1), false},
		{"store confirmed again", func(tracker *Tracker) { tracker.Reached(21, at(4)) }, at(4.1), true},
		{"rolled back", func(tracker *Tracker) {
			order := runningOrder(22, StageShift)
			order.Status.State = StateRolledBack
			tracker.Put(order, at(0.1))
		}, at(0.2), false},
		{"halted by a reply", func(tracker *Tracker) { tracker.Halt(runningOrder(20, StageShift).Key()) }, at(0.2), false},
		{"withdrawn", func(tracker *Tracker) { tracker.Remove("s") }, at(0.2), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker(testBounds)
			tracker.Reached(20, start)
			tracker.Put(runningOrder(20, StageShift), start)
			test.event(tracker)
			is.Equal(exposes(tracker, test.now), test.exposed)
		})
	}
}

// Guards against an older state of an order that arrives late and replaces the newer one.
func TestEndedOrderStaysEnded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := NewTracker(testBounds)
	tracker.Reached(20, now)
	ended := runningOrder(30, StageLoad)
	ended.Status.State = StateRolledBack
	tracker.Put(ended, now)
	tracker.Put(runningOrder(25, StageFull), now) // older
	is.True(!exposes(tracker, now))
	tracker.Replace([]Order{runningOrder(25, StageFull)}, now) // an old list
	is.True(!exposes(tracker, now))
}

func TestElapsedContinuesFromStatus(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := NewTracker(testBounds)
	order := runningOrder(20, StageCanary)
	order.Status.Elapsed = 3 * time.Second
	tracker.Put(order, now)
	is.Equal(tracker.Usages(now.Add(2 * time.Second))[0].Elapsed, 5*time.Second)
}

func TestStatusOfEarlierOrderIsIgnored(t *testing.T) {
	is := is.New(t)
	order := runningOrder(20, StageFull)
	order.Status.State = StateCompleted
	order.Target = "v3"
	is.Equal(order.Current(), Status{Target: "v3"})
	is.True(!order.Ended())
}

func TestNilTrackerAllowsAll(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Bounds{})
	is.True(tracker == nil)
	tracker.Request("s")
	is.True(tracker.Admit(Attempt{Service: "s"}, time.Now()).Allows(Candidate{Version: "v9", Created: 9}))
}

// A process that is younger than the order may have replaced one that has used its part of the
// slack, so it gets none.
func TestProcessYoungerThanOrderHasNoSlack(t *testing.T) {
	for _, test := range []struct {
		name    string
		learned catalog.Revision
		slack   bool
	}{
		{"older", 5, true},
		{"younger", 15, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			tracker := NewTracker(Bounds{Slack: 50, RollbackTime: testBounds.RollbackTime})
			tracker.Reached(test.learned, now)
			order := runningOrder(20, StageShift)
			tracker.Put(order, now)
			tracker.Reached(order.Revision, now)
			is.Equal(exposes(tracker, now), test.slack)
		})
	}
}
