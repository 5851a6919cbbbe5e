package scatter

import (
	"context"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/query"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// execute runs one attempt through the server's first owner, or through the second
// owner if the first certainly did not accept it.
func (scatterer *Scatterer) execute(ctx context.Context, route route, request *message.SubRequest, deadline time.Time) ownerReply {
	reply, failure := scatterer.call(ctx, route.first, request, deadline)
	if route.second.id != "" && ctx.Err() == nil && ownerUnavailable(reply, failure) {
		// Copied because the first call may still use the request.
		requestCopy := *request
		reply, failure = scatterer.call(ctx, route.second, &requestCopy, deadline)
	}
	result := ownerReply{server: request.Server, reply: query.Reply{Attempt: query.AttemptID(request.AttemptID)}}
	if failure != nil {
		result.reply.Failure = failure
		return result
	}
	if reply.AttemptID != request.AttemptID {
		result.reply.Failure = verdict.New(verdict.MayHaveRun, verdict.CodeBadReply, "reply is for attempt %d", reply.AttemptID)
		return result
	}
	if reply.Load.Server == request.Server {
		result.load = &reply.Load
	}
	convertReply(&result.reply, reply)
	return result
}

// ownerUnavailable reports whether an owner could not be reached or refused an
// attempt for reasons other than the server's state: the attempt did not run, and
// the server may still accept it through another owner.
func ownerUnavailable(reply *message.SubReply, failure *verdict.Error) bool {
	if failure != nil {
		return failure.Verdict == verdict.NotRun
	}
	if verdict.Verdict(reply.Verdict) != verdict.NotRun {
		return false
	}
	switch verdict.Code(reply.Code) {
	case verdict.CodeDraining:
		return !reply.Load.Draining
	case verdict.CodeRevisionMismatch, verdict.CodeNotReady:
		return true
	default:
		return false
	}
}

func (scatterer *Scatterer) call(ctx context.Context, owner target, request *message.SubRequest, deadline time.Time) (*message.SubReply, *verdict.Error) {
	if owner.id == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "no node owns the server")
	}
	request.RemainingMicros = time.Until(deadline).Microseconds()
	if owner.id == scatterer.options.NodeID {
		return scatterer.options.Local.Execute(ctx, request), nil
	}
	reply, err := scatterer.options.Owners.Execute(ctx, owner.address, request)
	if err != nil {
		return nil, verdict.From(err)
	}
	return reply, nil
}

func convertReply(converted *query.Reply, reply *message.SubReply) {
	if reply.Code != "" {
		converted.Failure = &verdict.Error{
			Verdict:    verdict.Verdict(reply.Verdict),
			Code:       verdict.Code(reply.Code),
			Message:    reply.Reason,
			RetryAfter: time.Duration(reply.RetryAfterMicros) * time.Microsecond,
		}
		return
	}
	converted.Snapshot = reply.Snapshot
	converted.Parts = make([]query.Part, len(reply.Parts))
	for index, part := range reply.Parts {
		converted.Parts[index] = query.Part{Shard: v1.ShardID(part.Shard), Body: part.Body}
	}
}
