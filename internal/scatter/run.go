package scatter

import (
	"context"
	"time"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/query"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// replyBuffer is how many replies may wait for the loop of a query.
const replyBuffer = 64

// run is one query under way. Only its loop touches the core.
type run struct {
	scatterer *Scatterer
	service   *service
	pinned    *config.Service
	request   *Query
	core      *query.Query
	replies   chan ownerReply
	cancels   map[query.AttemptID]context.CancelFunc
}

// ownerReply is the end of an attempt as it reaches the loop.
type ownerReply struct {
	reply  query.Reply
	server string
	// load is what the owner reported; nil when it could not be asked.
	load *message.ServerLoad
}

// loop feeds replies and the clock to the core until it answers.
func (run *run) loop(caller context.Context) Answer {
	// Attempts end with the loop; losers must not outlive the answer.
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	actions := run.step(run.core.Start)
	for {
		if answer := run.carryOut(ctx, actions); answer != nil {
			return run.answer(answer)
		}
		timer.Reset(time.Until(run.nextTick()))
		select {
		case reply := <-run.replies:
			actions = run.handle(reply)
		case <-timer.C:
			actions = run.step(run.core.Tick)
		case <-caller.Done():
			actions = run.step(run.core.Abort)
		}
	}
}

// step advances the core under the lock of the service.
func (run *run) step(advance func(now time.Time) query.Actions) query.Actions {
	run.service.mutex.Lock()
	defer run.service.mutex.Unlock()
	return advance(time.Now())
}

func (run *run) nextTick() time.Time {
	run.service.mutex.Lock()
	defer run.service.mutex.Unlock()
	return run.core.NextTick()
}

func (run *run) handle(reply ownerReply) query.Actions {
	return run.step(func(now time.Time) query.Actions {
		if reply.load != nil {
			run.service.fleet.Observe(now, reply.server, loadOf(reply.load))
		} else if ownerFailed(reply.reply.Failure) {
			run.service.fleet.Suspect(now, reply.server)
		}
		delete(run.cancels, reply.reply.Attempt)
		return run.core.Handle(now, reply.reply)
	})
}

// ownerFailed tells whether an attempt failed for want of an owner, rather than
// because it was given up here.
func ownerFailed(failure *verdict.Error) bool {
	switch failure.Code {
	case verdict.CodeUnreachable, verdict.CodeLost, verdict.CodeDraining, verdict.CodeNotReady, verdict.CodeRevisionMismatch:
		return true
	default:
		return false
	}
}

// carryOut does what the core decided and returns its answer, if there is one.
func (run *run) carryOut(ctx context.Context, actions query.Actions) *query.Answer {
	for _, id := range actions.Cancels {
		if cancel, ok := run.cancels[id]; ok {
			cancel()
			delete(run.cancels, id)
		}
	}
	for index := range actions.Sends {
		run.send(ctx, &actions.Sends[index])
	}
	return actions.Answer
}

func (run *run) send(ctx context.Context, send *query.Send) {
	attemptContext, cancel := context.WithCancel(ctx)
	run.cancels[send.Attempt] = cancel
	route := run.service.routeOf(send.Server.Name)
	request := run.subRequest(send)
	deadline := send.Deadline
	go func() {
		defer cancel()
		reply := run.scatterer.execute(attemptContext, route, request, deadline)
		select {
		case run.replies <- reply:
		case <-ctx.Done():
		}
	}()
}

func (run *run) subRequest(send *query.Send) *message.SubRequest {
	shards := make([]int, len(send.Shards))
	for index, shard := range send.Shards {
		shards[index] = int(shard)
	}
	return &message.SubRequest{
		RequestID:  run.request.RequestID,
		AttemptID:  int64(send.Attempt),
		Service:    run.pinned.Name,
		Revision:   run.pinned.Revision,
		Server:     send.Server.Name,
		Shards:     shards,
		Partitions: len(run.pinned.Spec.Shards),
		Snapshot:   send.Snapshot,
		Class:      string(run.request.Class),
		Repeatable: run.request.Repeatable,
		Body:       run.request.Body,
	}
}

func (run *run) answer(decided *query.Answer) Answer {
	run.scatterer.options.Metrics.answered(decided, run.core.StaleReplies())
	answer := Answer{
		Revision: run.pinned.Revision,
		Snapshot: decided.Snapshot,
		Verdict:  decided.Verdict,
		Coverage: Coverage{Shards: decided.Shards, Covered: decided.Shards - len(decided.Missing)},
		Results:  make([]Result, len(decided.Parts)),
		Failure:  decided.Failure,
	}
	for _, missing := range decided.Missing {
		answer.Coverage.Missing = append(answer.Coverage.Missing, Missing(missing))
	}
	for index, part := range decided.Parts {
		answer.Results[index] = Result(part)
	}
	return answer
}
