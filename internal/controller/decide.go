package controller

import (
	"slices"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

const (
	// inForceGrace is how long a member may lag before InForce turns from true to
	// false, so that starting members do not make it flap.
	inForceGrace = 5 * time.Second
	// laggingInterval is the minimum time between reports while InForce is false.
	laggingInterval = 2 * time.Second
	// countInterval is the minimum time between reports if only the number of
	// members changes.
	countInterval = time.Minute
	// tombstoneGrace is how long a deletion waits for every member to hold the
	// tombstone. After that a majority suffices, since members repair each other.
	tombstoneGrace = 5 * time.Second
)

// stepKind is the kind of the next step for a resource.
type stepKind uint8

const (
	stepNone stepKind = iota
	// stepAddFinalizer adds the finalizer, before the first acceptance.
	stepAddFinalizer
	// stepAccept writes the validated spec and a new revision to the status.
	stepAccept
	// stepRefuse writes the validation errors to the status.
	stepRefuse
	// stepReport writes the propagation of the accepted revision to the status.
	stepReport
	// stepTombstone publishes a tombstone.
	stepTombstone
	// stepRemoveFinalizer removes the finalizer, which completes the deletion.
	stepRemoveFinalizer
)

// step is the next step for a resource, as returned by decide.
type step struct {
	kind stepKind
	// spec and its generation are set for stepAccept, fieldErrors for stepRefuse.
	spec        *v1.QueryServiceSpec
	generation  int64
	fieldErrors []v1.FieldError
	// propagation is set for stepReport.
	propagation *propagation
}

// decisionInput is the input of a decision besides the resource.
type decisionInput struct {
	// knownRevision is the highest revision of the service on this node.
	knownRevision int64
	// propagation is that of the tombstone if there is one, else of the accepted
	// revision; nil while it is unknown.
	propagation *propagation
	// sinceReport is the time since the last report of this resource.
	sinceReport time.Duration
	// tombstone is the revision of a tombstone published in this epoch, or zero.
	tombstone int64
}

// decide returns the next step for a resource; it has no effects.
func decide(object *v1.QueryServiceObject, status *v1.QueryServiceStatus, input *decisionInput) step {
	if object.Metadata.DeletionTimestamp != nil {
		return step{kind: decideDeletion(object, input)}
	}
	accepted := status.Accepted
	if accepted != nil && !hasFinalizer(object) {
		return step{kind: stepAddFinalizer}
	}
	if status.ObservedGeneration != object.Metadata.Generation {
		return validate(object)
	}
	if accepted != nil && input.knownRevision > accepted.Revision {
		// The revision in force is newer than the one in the Object API: accept the
		// same spec again with a higher revision.
		return step{kind: stepAccept, spec: &accepted.Spec, generation: accepted.Generation}
	}
	if accepted != nil && mustReport(status, input) {
		return step{kind: stepReport, propagation: input.propagation}
	}
	return step{}
}

func validate(object *v1.QueryServiceObject) step {
	spec, fieldErrors := object.ParseSpec()
	switch {
	case len(fieldErrors) > 0:
		return step{kind: stepRefuse, fieldErrors: fieldErrors}
	case !hasFinalizer(object):
		return step{kind: stepAddFinalizer}
	default:
		return step{kind: stepAccept, spec: spec, generation: object.Metadata.Generation}
	}
}

func decideDeletion(object *v1.QueryServiceObject, input *decisionInput) stepKind {
	if !hasFinalizer(object) {
		return stepNone
	}
	if input.tombstone == 0 {
		return stepTombstone
	}
	p := input.propagation
	if p == nil {
		return stepNone
	}
	majorityAfterGrace := p.laggingFor >= tombstoneGrace && 2*p.applied > p.total
	if p.complete() || majorityAfterGrace {
		return stepRemoveFinalizer
	}
	return stepNone
}

// mustReport reports whether the status must be updated with the propagation.
func mustReport(status *v1.QueryServiceStatus, input *decisionInput) bool {
	p := input.propagation
	if p == nil {
		return false
	}
	reported := findCondition(status.Conditions, v1.ConditionInForce)
	if reported == nil {
		return true
	}
	if reported.Status == v1.ConditionTrue {
		if !p.complete() {
			return p.laggingFor >= inForceGrace
		}
		return p.total != status.Nodes.Total && input.sinceReport >= countInterval
	}
	if p.complete() {
		return true
	}
	changed := p.total != status.Nodes.Total || p.applied != status.Nodes.Applied
	return changed && input.sinceReport >= laggingInterval
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
