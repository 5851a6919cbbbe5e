package controller

import (
	"slices"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

const (
	// inForceGrace is how long a lagging member is borne before InForce, once
	// true, turns false: members that are just starting must not make it flap.
	inForceGrace = 5 * time.Second
	// laggingInterval is the least time between reports while InForce is false.
	laggingInterval = 2 * time.Second
	// countInterval is the least time between reports of a mere change of the
	// number of members.
	countInterval = time.Minute
	// tombstoneGrace is how long a tombstone waits for every member; then most
	// of them are enough, since members repair each other.
	tombstoneGrace = 5 * time.Second
)

// stepKind is what to do next for a resource.
type stepKind uint8

const (
	stepNone stepKind = iota
	// stepAddFinalizer comes before the first acceptance.
	stepAddFinalizer
	// stepAccept writes the judged spec and a new revision to the status.
	stepAccept
	// stepRefuse writes the faults to the status.
	stepRefuse
	// stepReport writes how far the accepted revision has come.
	stepReport
	// stepTombstone publishes a tombstone.
	stepTombstone
	// stepRemoveFinalizer lets the deletion end.
	stepRemoveFinalizer
)

// step is a decision.
type step struct {
	kind stepKind
	// spec, as written in generation, is to be accepted; or faults are to be
	// reported.
	spec       *v1.QueryServiceSpec
	generation int64
	faults     []v1.FieldError
	// spread is to be reported.
	spread *progress
}

// situation is what a decision rests on besides the resource.
type situation struct {
	// knownRevision is the highest that this node holds of the service.
	knownRevision int64
	// spread is that of the tombstone if there is one, else of what was
	// accepted; nil while it is unknown.
	spread *progress
	// sinceReport is the time since the last report of this resource.
	sinceReport time.Duration
	// tombstone is the revision of a tombstone published in this epoch, or zero.
	tombstone int64
}

// decide returns the next step for a resource; it has no effects.
func decide(object *v1.QueryServiceObject, status *v1.QueryServiceStatus, situation *situation) step {
	if object.Metadata.DeletionTimestamp != nil {
		return step{kind: decideDeletion(object, situation)}
	}
	accepted := status.Accepted
	if accepted != nil && !hasFinalizer(object) {
		return step{kind: stepAddFinalizer}
	}
	if status.ObservedGeneration != object.Metadata.Generation {
		return judge(object)
	}
	if accepted != nil && situation.knownRevision > accepted.Revision {
		// What is in force is newer than what the Object API tells: accept the
		// same spec again, above it.
		return step{kind: stepAccept, spec: &accepted.Spec, generation: accepted.Generation}
	}
	if accepted != nil && mustReport(status, situation) {
		return step{kind: stepReport, spread: situation.spread}
	}
	return step{}
}

func judge(object *v1.QueryServiceObject) step {
	spec, faults := object.Judge()
	switch {
	case len(faults) > 0:
		return step{kind: stepRefuse, faults: faults}
	case !hasFinalizer(object):
		return step{kind: stepAddFinalizer}
	default:
		return step{kind: stepAccept, spec: spec, generation: object.Metadata.Generation}
	}
}

func decideDeletion(object *v1.QueryServiceObject, situation *situation) stepKind {
	if !hasFinalizer(object) {
		return stepNone
	}
	if situation.tombstone == 0 {
		return stepTombstone
	}
	spread := situation.spread
	if spread == nil {
		return stepNone
	}
	mostHaveIt := spread.laggingFor >= tombstoneGrace && 2*spread.applied > spread.total
	if spread.complete() || mostHaveIt {
		return stepRemoveFinalizer
	}
	return stepNone
}

// mustReport tells whether the status differs enough from the truth.
func mustReport(status *v1.QueryServiceStatus, situation *situation) bool {
	spread := situation.spread
	if spread == nil {
		return false
	}
	reported := findCondition(status.Conditions, v1.ConditionInForce)
	if reported == nil {
		return true
	}
	if reported.Status == v1.ConditionTrue {
		if !spread.complete() {
			return spread.laggingFor >= inForceGrace
		}
		return spread.total != status.Nodes.Total && situation.sinceReport >= countInterval
	}
	if spread.complete() {
		return true
	}
	changed := spread.total != status.Nodes.Total || spread.applied != status.Nodes.Applied
	return changed && situation.sinceReport >= laggingInterval
}

func hasFinalizer(object *v1.QueryServiceObject) bool {
	return slices.Contains(object.Metadata.Finalizers, v1.Finalizer)
}

func findCondition(conditions []v1.Condition, wanted v1.ConditionType) *v1.Condition {
	for index := range conditions {
		if conditions[index].Type == wanted {
			return &conditions[index]
		}
	}
	return nil
}
