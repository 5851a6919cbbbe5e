package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/driftstage/driftstage/api/v1"
)

func drawSituation(t *rapid.T) *situation {
	total := rapid.IntRange(0, 5).Draw(t, "total")
	result := &situation{
		knownRevision: rapid.Int64Range(0, 5).Draw(t, "known"),
		tombstone:     rapid.Int64Range(0, 2).Draw(t, "tombstone"),
		sinceReport:   time.Duration(rapid.IntRange(0, 120).Draw(t, "since report")) * time.Second,
		spread: &progress{
			total:      total,
			applied:    rapid.IntRange(0, total).Draw(t, "applied"),
			laggingFor: time.Duration(rapid.IntRange(0, 10).Draw(t, "lagging")) * time.Second,
		},
	}
	if rapid.Bool().Draw(t, "spread unknown") {
		result.spread = nil
	}
	return result
}

func drawObject(t *rapid.T) (*v1.QueryServiceObject, *v1.QueryServiceStatus) {
	spec := json.RawMessage(`{"servers":[{"name":"a","address":"127.0.0.1:1","zone":"z","slots":1,"connections":1}],"shards":[{"id":0,"replicas":["a"]}]}`)
	if rapid.Bool().Draw(t, "invalid") {
		spec = json.RawMessage(`{"shards":[]}`)
	}
	object := &v1.QueryServiceObject{
		APIVersion: v1.APIVersion,
		Kind:       v1.KindQueryService,
		Metadata:   v1.ObjectMeta{Name: "fleet", Generation: rapid.Int64Range(1, 3).Draw(t, "generation")},
		Spec:       spec,
	}
	if rapid.Bool().Draw(t, "finalizer") {
		object.Metadata.Finalizers = []string{v1.Finalizer}
	}
	if rapid.Bool().Draw(t, "deleted") {
		object.Metadata.DeletionTimestamp = &time.Time{}
	}
	status := &v1.QueryServiceStatus{ObservedGeneration: rapid.Int64Range(0, object.Metadata.Generation).Draw(t, "observed")}
	if rapid.Bool().Draw(t, "accepted") {
		status.Accepted = &v1.Accepted{Generation: status.ObservedGeneration, Revision: rapid.Int64Range(1, 5).Draw(t, "revision")}
	}
	return object, status
}

// TestDecisionsAreSafe states what must never be decided.
func TestDecisionsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object, status := drawObject(t)
		situation := drawSituation(t)
		next := decide(object, status, situation)
		deleted := object.Metadata.DeletionTimestamp != nil
		switch next.kind {
		case stepAccept:
			if deleted || !hasFinalizer(object) {
				t.Fatal("accepted without the finalizer that keeps its tombstone")
			}
			if next.generation < status.ObservedGeneration {
				t.Fatal("accepted a spec older than the one judged")
			}
		case stepTombstone, stepRemoveFinalizer:
			if !deleted {
				t.Fatal("ended a service that nobody deleted")
			}
			if next.kind == stepRemoveFinalizer && (situation.tombstone == 0 || situation.spread == nil || 2*situation.spread.applied <= situation.spread.total) {
				t.Fatal("let the deletion end before most members have the tombstone")
			}
		case stepRefuse:
			if len(next.faults) == 0 {
				t.Fatal("refused without a reason")
			}
		case stepReport:
			if status.Accepted == nil {
				t.Fatal("reported on nothing accepted")
			}
		}
	})
}

// TestRefusalKeepsWhatWasAccepted for any status and faults.
func TestRefusalKeepsWhatWasAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object, status := drawObject(t)
		after := refusedStatus(*status, object.Metadata.Generation, []v1.FieldError{{Path: "spec", Message: "wrong"}}, time.Now())
		if after.Accepted != status.Accepted {
			t.Fatal("a refusal changed what is accepted")
		}
	})
}

// TestInForceDoesNotFlap: a member that is starting does not turn InForce false.
func TestInForceDoesNotFlap(t *testing.T) {
	is := is.New(t)
	status := reportedStatus(v1.QueryServiceStatus{Accepted: &v1.Accepted{}}, progress{total: 3, applied: 3}, time.Now())
	starting := situation{spread: &progress{total: 4, applied: 3, laggingFor: inForceGrace - 1}, sinceReport: time.Hour}
	is.True(!mustReport(&status, &starting))
	starting.spread.laggingFor = inForceGrace
	is.True(mustReport(&status, &starting))
	status = reportedStatus(status, *starting.spread, time.Now())
	is.Equal(status.Conditions[0].Status, v1.ConditionFalse)
	starting.spread.applied = 4
	is.True(mustReport(&status, &starting))
}

// TestAcceptedNeverReverts: a revision that is given out is above the one it
// replaces and above all that were given out before, in this epoch or an earlier one.
func TestAcceptedNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted := int64(0)
		for epoch := range int64(4) {
			current := &revisions{epoch: epoch + 1}
			for range rapid.IntRange(0, 5).Draw(t, "acceptances") {
				above := accepted
				if rapid.Bool().Draw(t, "a later epoch stands") {
					above = rapid.Int64Range(0, 6<<counterBits).Draw(t, "standing")
				}
				next, possible := current.next(max(above, accepted))
				if !possible {
					continue
				}
				if next <= above || next <= accepted {
					t.Fatalf("revision %d after %d, accepted %d", next, above, accepted)
				}
				accepted = next
			}
		}
	})
}

func TestRevisionsOfOneEpoch(t *testing.T) {
	is := is.New(t)
	revisions := &revisions{epoch: 3}
	first, possible := revisions.next(0)
	is.True(possible)
	is.Equal(first, int64(3)<<32|1)
	second, possible := revisions.next(first)
	is.True(possible && second > first)
	_, possible = revisions.next(4 << 32)
	is.True(!possible) // a later epoch's revision stands
}

// TestSpreadTracker asks often while a member lags, and seldom afterwards.
func TestSpreadTracker(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := &spreadTracker{}
	is.True(!tracker.due(now))
	tracker.follow(7, false, now)
	is.True(tracker.due(now))
	is.True(tracker.spread() == nil)
	asked := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(measureTick) {
		if tracker.due(now) {
			asked++
			tracker.take(7, progress{total: 3, applied: 2}, now)
		}
	}
	is.True(asked > 25 && asked < 40)
	is.True(tracker.spread().laggingFor > 50*time.Second)
	tracker.take(6, progress{total: 3, applied: 3}, now) // a late answer about another revision
	is.Equal(tracker.spread().applied, 2)
	tracker.take(7, progress{total: 3, applied: 3}, now)
	is.True(!tracker.due(now.Add(settledInterval/2 - 1)))
	is.True(tracker.due(now.Add(settledInterval)))
	tracker.take(7, progress{total: 4, applied: 3}, now)
	is.Equal(tracker.spread().laggingFor, time.Duration(0)) // counted anew
	tracker.follow(8, false, now)
	is.True(tracker.spread() == nil && tracker.due(now))
}
