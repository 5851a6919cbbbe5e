package owner

import (
	"sync/atomic"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/admission"
	"github.com/driftstage/driftstage/internal/backend"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// execution is a started attempt. Its outcome and its end at the server occur in
// either order: a cancelled attempt may keep running at the server for a while.
type execution struct {
	server *server
	id     admission.ID
	// request is the caller's request, for the log.
	request string
	// first is set by whichever of recordOutcome and end is called first.
	first atomic.Bool
}

// end records that the server has stopped running the attempt.
func (execution *execution) end() {
	if execution.first.CompareAndSwap(false, true) {
		return
	}
	execution.server.mutex.Lock()
	defer execution.server.mutex.Unlock()
	execution.server.apply(execution.server.core.Release(execution.server.options.Now(), execution.id))
}

// recordOutcome records the outcome in the admission core, and releases the slot
// if the end was already reported.
func (execution *execution) recordOutcome(result backend.Result) {
	server := execution.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	now := server.options.Now()
	server.observe(now, result.Draining, result.SnapshotsHeld)
	outcome := outcomeOf(result)
	server.apply(server.core.RecordOutcome(now, execution.id, outcome))
	server.log.state(server.core.View())
	if outcome == admission.Failed {
		server.log.fault(execution.request, result.Failure)
	}
	if !execution.first.CompareAndSwap(false, true) {
		server.apply(server.core.Release(now, execution.id))
	}
}

func outcomeOf(result backend.Result) admission.Outcome {
	if result.Failure == nil {
		return admission.Succeeded
	}
	switch result.Failure.Code {
	case verdict.CodeShed:
		return admission.Shed
	case verdict.CodeDraining, verdict.CodeVersionNotHeld:
		return admission.Refused
	case verdict.CodeCanceled, verdict.CodeOverloaded:
		return admission.Canceled
	default:
		return admission.Failed
	}
}

func backendRequest(request *message.SubRequest, deadline time.Time) *backend.Request {
	shards := make([]v1.ShardID, len(request.Shards))
	for index, shard := range request.Shards {
		shards[index] = v1.ShardID(shard)
	}
	return &backend.Request{
		RequestID:  request.RequestID,
		Shards:     shards,
		Partitions: request.Partitions,
		Snapshot:   request.Snapshot,
		Body:       request.Body,
		Deadline:   deadline,
	}
}

func fill(reply *message.SubReply, result backend.Result) {
	if result.Failure != nil {
		fail(reply, result.Failure)
		return
	}
	reply.Verdict = int(verdict.Ran)
	reply.Snapshot = result.Snapshot
	reply.Parts = make([]message.ShardPart, len(result.Parts))
	for index, part := range result.Parts {
		reply.Parts[index] = message.ShardPart{Shard: int(part.Shard), Body: part.Body}
	}
}

func fail(reply *message.SubReply, failure *verdict.Error) {
	reply.Verdict = int(failure.Verdict)
	reply.Code = string(failure.Code)
	reply.Reason = failure.Message
	reply.RetryAfterMicros = failure.RetryAfter.Microseconds()
}
