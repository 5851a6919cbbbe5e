package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/driftstage/driftstage/api/v1"
)

func drawInput(t *rapid.T) *decisionInput {
	total := rapid.IntRange(0, 5).Draw(t, "total")
	result := &decisionInput{
		knownRevision: rapid.Int64Range(0, 5).Draw(t, "known"),
		tombstone:     rapid.Int64Range(0, 2).Draw(t, "tombstone"),
		sinceReport:   time.Duration(rapid.IntRange(0, 120).Draw(t, "since report")) * time.Second,
		propagation: &propagation{
			total:      total,
			applied:    rapid.IntRange(0, total).Draw(t, "applied"),
			laggingFor: time.Duration(rapid.IntRange(0, 10).Draw(t, "lagging")) * time.Second,
		},
	}
	if rapid.Bool().Draw(t, "spread unknown") {
		result.propagation = nil
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

// TestDecisionsAreSafe checks the invariants of decisions.
func TestDecisionsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object, status := drawObject(t)
		input := drawInput(t)
		next := decide(object, status, input)
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
			if next.kind == stepRemoveFinalizer && (input.tombstone == 0 || input.propagation == nil || 2*input.propagation.applied <= input.propagation.total) {
				t.Fatal("let the deletion end before most members have the tombstone")
			}
		case stepRefuse:
			if len(next.fieldErrors) == 0 {
				t.Fatal("refused without a reason")
			}
		case stepReport:
			if status.Accepted == nil {
				t.Fatal("reported on nothing accepted")
			}
		}
	})
}

// A refusal keeps the accepted spec for any status and validation errors.
func TestRefusalKeepsAcceptedSpec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object, status := drawObject(t)
		after := refusedStatus(*status, object.Metadata.Generation, []v1.FieldError{{Path: "spec", Message: "wrong"}}, time.Now())
		if after.Accepted != status.Accepted {
			t.Fatal("a refusal changed what is accepted")
		}
	})
}

// A starting member does not turn InForce to false.
func TestInForceDoesNotFlap(t *testing.T) {
	is := is.New(t)
	status := reportedStatus(v1.QueryServiceStatus{Accepted: &v1.Accepted{}}, propagation{total: 3, applied: 3}, time.Now())
	starting := decisionInput{propagation: &propagation{total: 4, applied: 3, laggingFor: inForceGrace - 1}, sinceReport: time.Hour}
	is.True(!mustReport(&status, &starting))
	starting.propagation.laggingFor = inForceGrace
	is.True(mustReport(&status, &starting))
	status = reportedStatus(status, *starting.propagation, time.Now())
	is.Equal(status.Conditions[0].Status, v1.ConditionFalse)
	starting.propagation.applied = 4
	is.True(mustReport(&status, &starting))
}

// A new revision is above the one that it replaces and above all earlier ones, of this
// epoch or an earlier one.
func TestRevisionsAlwaysIncrease(t *testing.T) {
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
	is.True(!possible) // a revision of a later epoch is in force
}

// Checks are frequent while a member lags, and rare afterwards.
func TestPropagationTracker(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := &propagationTracker{}
	is.True(!tracker.due(now))
	tracker.track(7, false, now)
	is.True(tracker.due(now))
	is.True(tracker.latest() == nil)
	checks := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(trackerInterval) {
		if tracker.due(now) {
			checks++
			tracker.record(7, propagation{total: 3, applied: 2}, now)
		}
	}
	is.True(checks > 25 && checks < 40)
	is.True(tracker.latest().laggingFor > 50*time.Second)
	tracker.record(6, propagation{total: 3, applied: 3}, now) // a late result for another revision
	is.Equal(tracker.latest().applied, 2)
	tracker.record(7, propagation{total: 3, applied: 3}, now)
	is.True(!tracker.due(now.Add(completeCheckInterval/2 - 1)))
	is.True(tracker.due(now.Add(completeCheckInterval)))
	tracker.record(7, propagation{total: 4, applied: 3}, now)
	is.Equal(tracker.latest().laggingFor, time.Duration(0)) // counted from zero again
	tracker.track(8, false, now)
	is.True(tracker.latest() == nil && tracker.due(now))
}
