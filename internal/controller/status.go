package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// The reasons of conditions.
const (
	reasonValid     = "Valid"
	reasonInvalid   = "Invalid"
	reasonEveryNode = "EveryNode"
	reasonSpreading = "Spreading"
)

// maxReportedErrors bounds the number of errors in the message of a refusal.
const maxReportedErrors = 32

// acceptedStatus returns the status after an acceptance. The Accepted condition
// refers to the newest validated generation; it is unchanged if an earlier one is
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

// refusedStatus returns the status after a refusal; the accepted spec is unchanged.
func refusedStatus(status v1.QueryServiceStatus, generation int64, fieldErrors []v1.FieldError, now time.Time) v1.QueryServiceStatus {
	status.ObservedGeneration = generation
	status.Conditions = withCondition(status.Conditions, v1.Condition{
		Type:               v1.ConditionAccepted,
		Status:             v1.ConditionFalse,
		Reason:             reasonInvalid,
		Message:            joinFieldErrors(fieldErrors),
		ObservedGeneration: generation,
	}, now)
	return status
}

// reportedStatus returns the status with the propagation of the accepted revision.
func reportedStatus(status v1.QueryServiceStatus, p propagation, now time.Time) v1.QueryServiceStatus {
	lagging := p.lagging[:min(len(p.lagging), v1.MaxLaggingNames)]
	status.Nodes = v1.NodeCounts{Total: p.total, Applied: p.applied, Lagging: lagging}
	condition := v1.Condition{
		Type:               v1.ConditionInForce,
		Status:             v1.ConditionFalse,
		Reason:             reasonSpreading,
		Message:            fmt.Sprintf("%d of %d nodes", p.applied, p.total),
		ObservedGeneration: status.Accepted.Generation,
	}
	if p.complete() {
		condition.Status = v1.ConditionTrue
		condition.Reason = reasonEveryNode
		status.Nodes.Lagging = nil
	}
	status.Conditions = withCondition(status.Conditions, condition, now)
	return status
}

// withCondition returns a copy with one condition replaced. The transition time is
// kept if the condition's status is unchanged.
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

func joinFieldErrors(fieldErrors []v1.FieldError) string {
	var lines []string
	for _, fieldError := range fieldErrors[:min(len(fieldErrors), maxReportedErrors)] {
		lines = append(lines, fieldError.Error())
	}
	if more := len(fieldErrors) - len(lines); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "; ")
}
