package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// The reasons in conditions.
const (
	reasonValid     = "Valid"
	reasonInvalid   = "Invalid"
	reasonEveryNode = "EveryNode"
	reasonSpreading = "Spreading"
)

// maxReportedFaults bounds the message of a refusal.
const maxReportedFaults = 32

// acceptedStatus is the status after an acceptance. The Accepted condition
// speaks of the newest generation judged: it stays when an earlier one is
// accepted again.
func acceptedStatus(status v1.QueryServiceStatus, accepted v1.Accepted, observed int64, now time.Time) v1.QueryServiceStatus {
	status.ObservedGeneration = observed
	status.Accepted = &accepted
	status.Nodes = v1.NodeCounts{Total: status.Nodes.Total}
	if accepted.Generation == observed {
		status.Conditions = withCondition(status.Conditions, v1.Condition{
			Type:               v1.ConditionAccepted,
			Status:             v1.ConditionTrue,
			Reason:             reasonValid,
			Message:            fmt.Sprintf("revision %d", accepted.Revision),
			ObservedGeneration: accepted.Generation,
		}, now)
	}
	status.Conditions = withCondition(status.Conditions, v1.Condition{
		Type:               v1.ConditionInForce,
		Status:             v1.ConditionFalse,
		Reason:             reasonSpreading,
		ObservedGeneration: accepted.Generation,
	}, now)
	return status
}

// refusedStatus is the status after a refusal: what was accepted stays.
func refusedStatus(status v1.QueryServiceStatus, generation int64, faults []v1.FieldError, now time.Time) v1.QueryServiceStatus {
	status.ObservedGeneration = generation
	status.Conditions = withCondition(status.Conditions, v1.Condition{
		Type:               v1.ConditionAccepted,
		Status:             v1.ConditionFalse,
		Reason:             reasonInvalid,
		Message:            joinFaults(faults),
		ObservedGeneration: generation,
	}, now)
	return status
}

// reportedStatus tells how far the accepted revision has come.
func reportedStatus(status v1.QueryServiceStatus, spread progress, now time.Time) v1.QueryServiceStatus {
	lagging := spread.lagging[:min(len(spread.lagging), v1.MaxLaggingNames)]
	status.Nodes = v1.NodeCounts{Total: spread.total, Applied: spread.applied, Lagging: lagging}
	condition := v1.Condition{
		Type:               v1.ConditionInForce,
		Status:             v1.ConditionFalse,
		Reason:             reasonSpreading,
		Message:            fmt.Sprintf("%d of %d nodes", spread.applied, spread.total),
		ObservedGeneration: status.Accepted.Generation,
	}
	if spread.complete() {
		condition.Status = v1.ConditionTrue
		condition.Reason = reasonEveryNode
		status.Nodes.Lagging = nil
	}
	status.Conditions = withCondition(status.Conditions, condition, now)
	return status
}

// withCondition returns a copy with one condition replaced. The time of the
// transition stays when the condition's status does.
func withCondition(conditions []v1.Condition, condition v1.Condition, now time.Time) []v1.Condition {
	result := slices.Clone(conditions)
	condition.LastTransitionTime = now.UTC().Truncate(time.Millisecond)
	earlier := findCondition(result, condition.Type)
	if earlier == nil {
		return append(result, condition)
	}
	if earlier.Status == condition.Status {
		condition.LastTransitionTime = earlier.LastTransitionTime
	}
	*earlier = condition
	return result
}

func joinFaults(faults []v1.FieldError) string {
	var lines []string
	for _, fault := range faults[:min(len(faults), maxReportedFaults)] {
		lines = append(lines, fault.Error())
	}
	if more := len(faults) - len(lines); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "; ")
}
