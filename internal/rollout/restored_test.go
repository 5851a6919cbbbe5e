package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
)

// at returns the running order at a number of the store's counter, in an era.
func at(era catalog.Era, number uint64, stage Stage) Order {
	order := runningOrder(catalog.NewRevision(era, number), stage)
	order.Created = catalog.NewRevision(era, 10)
	return order
}

// started is a server that the order started in the first era.
var started = Candidate{ID: "new", Version: "v2", Created: catalog.NewRevision(1, 12)}

// exposesStarted reports whether one of 100 requests may go to that server.
func exposesStarted(tracker *Tracker, now time.Time) bool {
	for range 100 {
		tracker.Request("s")
		if tracker.Admit(Attempt{Service: "s", Repeatable: true}, now).Allows(started) {
			return true
		}
	}
	return false
}

// restoredTracker returns a tracker that knows the order in the first era, in the given state,
// and that the store was restored since.
func restoredTracker(now time.Time, state State) (*Tracker, Order) {
	tracker := NewTracker(testBounds)
	tracker.Reached(catalog.NewRevision(1, 5), now)
	order := at(1, 30, StageFull)
	order.Status.State = state
	tracker.Put(order, now)
	tracker.Reached(catalog.NewRevision(1, 30), now)
	tracker.StoreRestored(2, now)
	return tracker, order
}

// Guards against requests to a new version by a permission of an earlier era of the store.
func TestPermissionEndsWithItsEra(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker, order := restoredTracker(now, StateRunning)
	is.True(!exposesStarted(tracker, now))
	tracker.Reached(order.Revision, now) // late update of the earlier era
	is.True(!exposesStarted(tracker, now))
	tracker.ReplaceRestored([]Order{at(2, 20, StageCanary)}, now)
	tracker.Reached(catalog.NewRevision(2, 20), now)
	is.True(exposesStarted(tracker, now))
}

// Guards against the loss of a decision, a rollback or a completion, when the store is
// restored.
func TestDecisionSurvivesRestoreOfStore(t *testing.T) {
	for _, state := range []State{StateCompleted, StateRolledBack} {
		is := is.New(t)
		now := time.Now()
		tracker, order := restoredTracker(now, state)
		replacement := Candidate{ID: "i-later", Version: "v1", Created: catalog.NewRevision(1, 40)}
		allowed := tracker.DefaultAdmission("s", now).Allows(replacement)
		tracker.ReplaceRestored([]Order{at(2, 20, StageLoad)}, now)
		tracker.Put(at(2, 21, StageLoad), now) // another node continues from the backup
		tracker.Reached(catalog.NewRevision(2, 21), now)
		is.Equal(exposesStarted(tracker, now), state == StateCompleted)
		is.Equal(tracker.DefaultAdmission("s", now).Allows(replacement), allowed)
		unwritten, missing := tracker.LostDecisions()
		is.True(!missing)
		is.Equal(len(unwritten), 1)
		is.Equal(unwritten[0].Status, order.Status)
		is.Equal(unwritten[0].Revision, catalog.NewRevision(2, 21)) // condition of the write
		written := unwritten[0]
		written.Revision++
		is.True(tracker.Update(written, now))
		unwritten, _ = tracker.LostDecisions()
		is.Equal(len(unwritten), 0)
	}
}

// Guards against requests to the servers of a withdrawn order that the backup has brought back.
func TestRestoredOrderStaysWithdrawn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker, _ := restoredTracker(now, StateRunning)
	tracker.Remove("s")
	tracker.ReplaceRestored([]Order{at(2, 20, StageFull)}, now)
	tracker.Reached(catalog.NewRevision(2, 20), now)
	orders, _ := tracker.Orders()
	is.Equal(len(orders), 0)
	is.True(!tracker.DefaultAdmission("s", now).Allows(started))
	anew := at(2, 30, StageWaiting)
	anew.Created = catalog.NewRevision(2, 30)
	tracker.Put(anew, now)
	orders, _ = tracker.Orders()
	is.Equal(len(orders), 1) // a new order
}

// An order that the backup lacks continues when its operators write it again. Its servers are
// older than that, but still belong to it. The order ends if it is not written again.
func TestOrderMissingInBackup(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker, _ := restoredTracker(now, StateRunning)
	tracker.ReplaceRestored(nil, now)
	tracker.Reached(catalog.NewRevision(2, 20), now)
	is.True(!exposesStarted(tracker, now))
	is.True(!tracker.DefaultAdmission("s", now).Allows(started))
	again := at(2, 25, StageWaiting)
	again.Created, again.Status = again.Revision, Status{}
	tracker.Put(again, now.Add(time.Second))
	is.True(!tracker.DefaultAdmission("s", now).Allows(started))
	is.Equal(tracker.Usages(now.Add(time.Second))[0].Elapsed, time.Duration(0))

	tracker, _ = restoredTracker(now, StateRunning)
	tracker.ReplaceRestored(nil, now)
	tracker.DropMissing(now.Add(catalog.OperatorRewriteTime - time.Millisecond))
	_, missing := tracker.LostDecisions()
	is.True(missing)
	tracker.DropMissing(now.Add(catalog.OperatorRewriteTime))
	_, missing = tracker.LostDecisions()
	is.True(!missing)
	is.True(!tracker.DefaultAdmission("s", now).Allows(started)) // as after a withdrawal
}

// Guards against a node that has started since and takes the servers of a rewritten order for
// ordinary ones, because their entries are older than the order.
func TestServersOfRewrittenOrderAreKnownToAllNodes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker, _ := restoredTracker(now, StateRunning)
	tracker.ReplaceRestored(nil, now)
	again := at(2, 25, StageCanary)
	again.Created = again.Revision
	tracker.Put(again, now)
	reports, _ := tracker.Reports(now)
	is.Equal(len(reports), 1)

	seen := Candidate{ID: "new", Version: "v2", Created: catalog.NewRevision(2, 22)} // as listed in this era
	young := NewTracker(testBounds)
	young.StoreRestored(2, now)
	young.Put(again, now)
	young.Reached(catalog.NewRevision(2, 25), now)
	is.True(young.DefaultAdmission("s", now).Allows(seen))
	young.LowerSince(reports[0].Key(), reports[0].Since)
	is.True(!young.DefaultAdmission("s", now).Allows(seen))

	learned, _ := tracker.Orders()
	status := again
	status.Revision++
	status.Since = learned[0].Since // as stored in the status
	status.Status.State = StateRolledBack
	younger := NewTracker(testBounds)
	younger.Put(status, now)
	is.True(!younger.DefaultAdmission("s", now).Allows(seen))
}

// Guards against a decision that is replaced by a write of an earlier era whose condition held
// by chance.
func TestLateWriteOfEarlierEraChangesNoDecision(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker, _ := restoredTracker(now, StateRunning)
	ended := at(2, 20, StageLoad)
	ended.Status.State = StateRolledBack
	tracker.Put(ended, now)
	tracker.Reached(ended.Revision, now)
	tracker.Put(at(2, 21, StageShift), now)
	is.True(!exposesStarted(tracker, now))
	unwritten, _ := tracker.LostDecisions()
	is.Equal(len(unwritten), 1)
}

// Guards against servers of a new version that get ordinary traffic because a restored store
// lists them before their order, which no node knew, is written again.
func TestServersListedBeforeRewrittenOrder(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := NewTracker(testBounds)
	tracker.Reached(catalog.NewRevision(1, 30), now)
	tracker.StoreRestored(2, now)
	tracker.ReplaceRestored(nil, now)
	tracker.Reached(catalog.NewRevision(2, 20), now)
	listed := Candidate{ID: "new", Version: "v2", Created: catalog.NewRevision(2, 22)}
	tracker.Reached(catalog.NewRevision(2, 24), now.Add(time.Second))
	is.True(tracker.DefaultAdmission("s", now.Add(time.Second)).NewerThanOrders(listed))
	again := at(2, 25, StageWaiting)
	again.Created, again.Status = again.Revision, Status{}
	tracker.Put(again, now.Add(2*time.Second))
	is.True(tracker.DefaultAdmission("s", now.Add(2*time.Second)).IsTarget(listed))
	is.True(!tracker.DefaultAdmission("s", now.Add(catalog.OperatorRewriteTime)).Allows(listed))
	reports, _ := tracker.Reports(now.Add(2 * time.Second))
	is.Equal(reports[0].Since, catalog.NewRevision(1, 30)) // reported to other nodes

	tracker.Remove("s")
	other := Candidate{ID: "other", Version: "v3", Created: catalog.NewRevision(2, 40)}
	tracker.Reached(catalog.NewRevision(2, 50), now.Add(catalog.OperatorRewriteTime))
	is.True(!tracker.DefaultAdmission("s", now.Add(catalog.OperatorRewriteTime)).NewerThanOrders(other)) // no order was written
}
