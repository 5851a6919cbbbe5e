package rollout

import (
	"testing"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Updates of orders arrive in any sequence, including late ones. A tracker never returns to an
// older state of an order, and admits nothing to a target that it knows to be rolled back or
// halted.
func TestTrackerNeverRegresses(t *testing.T) {
	const service = "s"
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker(Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second})
		now := epoch
		// history holds all states of the single object in the store, sorted by revision.
		var history []Order
		// removed is set while the object does not exist: it has no further state then.
		removed := true
		revision := catalog.Revision(1)
		newest := make(map[Key]catalog.Revision)
		bad := make(map[Key]bool)
		put := func(order Order) {
			tracker.Put(order, now)
			known, _ := tracker.Orders()
			if len(known) == 1 && known[0].Key() == order.Key() && known[0].Current().State == StateRolledBack {
				bad[order.Key()] = true
			}
		}
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 60).Draw(t, "steps")
		for _, step := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			known, _ := tracker.Orders()
			switch step {
			case 0:
				revision++
				target := rapid.SampledFrom([]Version{"v2", "v3"}).Draw(t, "target")
				history = append(history, Order{Service: service, Target: target, Duration: 20 * time.Second, Created: revision, Revision: revision})
				removed = false
				put(history[len(history)-1])
			case 1:
				if removed || history[len(history)-1].Ended() {
					continue
				}
				revision++
				next := history[len(history)-1]
				next.Revision = revision
				next.Status = Status{
					State:  rapid.SampledFrom([]State{StateRunning, StateRunning, StateRolledBack}).Draw(t, "state"),
					Target: next.Target,
					Stage:  rapid.SampledFrom([]Stage{StageCanary, StageLoad, StageShift, StageFull}).Draw(t, "stage"),
				}
				history = append(history, next)
				put(next)
			case 2:
				if len(history) > 0 {
					put(rapid.SampledFrom(history).Draw(t, "late"))
				}
			case 3:
				removed = true
				tracker.Remove(service)
			case 4:
				tracker.Replace(known, now)
			case 5:
				tracker.Reached(revision, now)
			case 6:
				if len(known) == 1 && tracker.Halt(known[0].Key()) {
					bad[known[0].Key()] = true
				}
			}
			checkTracker(t, tracker, newest, bad, now)
		}
	})
}

// checkTracker checks the known orders against the newest revisions seen so far, and the
// admissions against the targets known to be bad.
func checkTracker(t *rapid.T, tracker *Tracker, newest map[Key]catalog.Revision, bad map[Key]bool, now time.Time) {
	known, _ := tracker.Orders()
	for _, order := range known {
		key := order.Key()
		if order.Revision < newest[key] {
			t.Fatalf("revision %d of %v was known, now %d", newest[key], key, order.Revision)
		}
		newest[key] = order.Revision
	}
	tracker.Request("s")
	for key := range bad {
		if len(known) == 1 && known[0].Created > key.Created {
			continue // replaced by a newer order
		}
		candidate := Candidate{ID: "new", Version: key.Target, Created: key.Created + 1}
		if tracker.Admit(Attempt{Service: "s", Repeatable: true}, now).Allows(candidate) {
			t.Fatalf("a send to the target of %v was admitted", key)
		}
		if tracker.DefaultAdmission("s", now).Allows(candidate) {
			t.Fatalf("the target of %v is allowed", key)
		}
	}
}

func TestTrackerIgnoresLateUpdatesOfRemovedOrders(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second})
	running := Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 2, Revision: 2}
	tracker.Put(running, epoch)
	bad := running
	bad.Revision, bad.Status = 3, Status{State: StateRolledBack, Target: "v2"}
	tracker.Put(bad, epoch)
	tracker.Remove("s")
	tracker.Put(running, epoch)
	known, _ := tracker.Orders()
	is.Equal(len(known), 0)
	is.True(!tracker.DefaultAdmission("s", epoch).Allows(Candidate{ID: "new", Version: "v2", Created: 4}))
	again := Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 5, Revision: 5}
	tracker.Put(again, epoch)
	known, _ = tracker.Orders()
	is.Equal(known, []Order{again}) // a new order of the same version counts
}

// Changing the duration of an order does not reset its elapsed time.
func TestElapsedContinuesWhenOrderChanges(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second})
	order := Order{
		Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 2, Revision: 3,
		Status: Status{State: StateRunning, Target: "v2", Stage: StageCanary, Elapsed: time.Second},
	}
	tracker.Put(order, epoch)
	order.Revision, order.Duration = 4, 30*time.Second
	tracker.Put(order, epoch.Add(5*time.Second))
	is.Equal(tracker.Usages(epoch.Add(5 * time.Second))[0].Elapsed, 6*time.Second)
	is.Equal(tracker.Usages(epoch.Add(7 * time.Second))[0].Elapsed, 8*time.Second)
	order.Revision, order.Status.Elapsed = 5, 10*time.Second
	tracker.Put(order, epoch.Add(7*time.Second))
	is.Equal(tracker.Usages(epoch.Add(8 * time.Second))[0].Elapsed, 11*time.Second) // the status has run longer
}

// An earlier state from one peer does not undo a later one from another: the list from the
// store would not restore it.
func TestAdoptedOrdersNeverRegress(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second})
	order := Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 2, Revision: 3}
	tracker.Adopt([]Order{order}, 5, epoch)
	tracker.Adopt(nil, 1, epoch)
	known, reached := tracker.Orders()
	is.Equal(known, []Order{order})
	is.Equal(int(reached), 5)
	tracker.Adopt(nil, 6, epoch)
	known, _ = tracker.Orders()
	is.Equal(len(known), 0) // withdrawn meanwhile
	tracker.Reached(7, epoch)
	tracker.Adopt([]Order{order}, 8, epoch)
	known, _ = tracker.Orders()
	is.Equal(len(known), 0) // the store takes precedence
}

// An admission stays as it was, whatever is ordered meanwhile.
func TestAdmissionKeepsWithdrawnOrders(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second})
	for index, target := range []Version{"v2", "v3"} {
		revision := catalog.Revision(2 + index)
		tracker.Put(Order{Service: "s", Target: target, Duration: 20 * time.Second, Created: revision, Revision: revision}, epoch)
		tracker.Remove("s")
	}
	before := tracker.DefaultAdmission("s", epoch)
	tracker.Put(Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 9, Revision: 9}, epoch)
	for _, target := range []Version{"v2", "v3"} {
		is.True(!before.Allows(Candidate{ID: "new", Version: target, Created: 20}))
	}
	is.True(before.Allows(Candidate{ID: "old", Created: 1})) // a server without a version
}

// A result that arrives while a report is in flight is left for the next report.
func TestLaterResultsStayUnreported(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(testBounds)
	order := runningOrder(20, StageFull)
	tracker.Reached(20, epoch)
	tracker.Put(order, epoch)
	at := func(milliseconds int) time.Time { return epoch.Add(time.Duration(milliseconds) * time.Millisecond) }
	answer := func(now time.Time) {
		candidate := Candidate{ID: "new", Version: "v2", Created: 20}
		admission := tracker.Admit(Attempt{Service: "s", Repeatable: true}, now)
		tracker.Begin(candidate, admission)
		tracker.End(candidate, admission, "route", Sample{Result: OutcomeAnswered}, now)
	}
	unreported := func(now time.Time) bool {
		_, unreported := tracker.Reports(now)
		return unreported
	}
	answer(at(100))
	made := at(200)
	answer(at(300))
	tracker.MarkReported([]Key{order.Key()}, made)
	is.True(unreported(at(400)))
	is.Equal(tracker.Usages(at(400))[0].Unreported, 200*time.Millisecond) // since the report was made
	tracker.MarkReported([]Key{order.Key()}, at(400))
	is.True(!unreported(at(500)))
}

// Guards against a node that serves nothing of a service for good: it has found the target bad, while
// another node completed the rollout. A completed rollout stays completed, and its target may be the
// only version that is left.
func TestCompletedRolloutIsNotHalted(t *testing.T) {
	start := time.Now()
	completed := runningOrder(22, StageFull)
	completed.Status.State = StateCompleted
	target := Candidate{ID: "new", Version: "v2", Created: 20}
	for name, halt := range map[string][]bool{"found bad before": {true, false}, "found bad after": {false, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker(testBounds)
			tracker.Reached(20, start)
			tracker.Put(runningOrder(20, StageFull), start)
			if halt[0] {
				is.True(tracker.Halt(completed.Key()))
				is.True(tracker.Halted("s", target))
			}
			tracker.Put(completed, start)
			if halt[1] {
				is.True(!tracker.Halt(completed.Key()))
			}
			is.True(!tracker.Halted("s", target))
		})
	}
}
