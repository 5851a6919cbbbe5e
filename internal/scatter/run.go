package scatter

import (
	"context"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/query"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// replyBuffer is how many replies may be queued for the loop of a query.
const replyBuffer = 64

// run is one running query. Only its loop accesses the core.
type run struct {
	scatterer *Scatterer
	service   *service
	pinned    *config.Service
	request   *Query
	core      *query.Query
	replies   chan ownerReply
	cancels   map[query.AttemptID]context.CancelFunc
	// pending holds the core's actions that have not been performed yet, and routes
	// the owners for its Sends.
	pending query.Actions
	routes  []route
}

// ownerReply is the result of an attempt as passed to the loop.
type ownerReply struct {
	reply  query.Reply
	server string
	// load is the server's load as reported by the owner; nil if there is no report.
	load *message.ServerLoad
}

// loop feeds replies and timer events to the core until it answers.
func (run *run) loop(caller context.Context) Answer {
	// Attempts are cancelled when the loop ends: hedges and hedged attempts must not
	// outlive the answer.
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	defer cancel()
	due := run.step(run.core.Start)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	for {
		if answer := run.perform(ctx); answer != nil {
			return run.answer(answer)
		}
		next := due
		select {
		case reply := <-run.replies:
			next = run.handle(reply)
		case <-timer.C:
			next = run.step(run.core.Tick)
			timer.Reset(time.Until(next))
		case <-caller.Done():
			next = run.step(run.core.Abort)
		}
		if !next.Equal(due) {
			timer.Reset(time.Until(next))
			due = next
		}
	}
}

// step advances the core under the lock of the service, and returns the time of
// its next tick.
func (run *run) step(advance func(now time.Time) query.Actions) time.Time {
	run.service.mutex.Lock()
	defer run.service.mutex.Unlock()
	run.collect(advance(time.Now()))
	return run.core.NextTick()
}

// collect adds the actions of a step to the pending ones, each attempt with its
// owners. The mutex of the service is held.
func (run *run) collect(actions query.Actions) {
	for index := range actions.Sends {
		run.routes = append(run.routes, run.service.routes[actions.Sends[index].Server.Name])
	}
	if len(run.pending.Sends) == 0 {
		run.pending.Sends = actions.Sends
	} else {
		run.pending.Sends = append(run.pending.Sends, actions.Sends...)
	}
	run.pending.Cancels = append(run.pending.Cancels, actions.Cancels...)
	if actions.Answer != nil {
		run.pending.Answer = actions.Answer
	}
}

// handle feeds a reply and all queued replies to the core.
func (run *run) handle(reply ownerReply) time.Time {
	run.service.mutex.Lock()
	defer run.service.mutex.Unlock()
	now := time.Now()
	run.handleOne(now, reply)
	for range len(run.replies) {
		run.handleOne(now, <-run.replies)
	}
	return run.core.NextTick()
}

func (run *run) handleOne(now time.Time, reply ownerReply) {
	if reply.load != nil {
		run.service.fleet.ObserveLoad(now, reply.server, loadOf(reply.load))
	} else if ownerFailed(reply.reply.Failure) {
		run.service.fleet.OwnerUnreachable(now, reply.server)
		run.service.log.ownerFailed(reply.server, reply.reply.Failure)
	}
	delete(run.cancels, reply.reply.Attempt)
	run.scatterer.options.Metrics.replied(reply.reply.Failure)
	run.collect(run.core.HandleReply(now, reply.reply))
}

// ownerFailed reports whether an attempt failed because of its owner, rather than
// because it was cancelled here.
func ownerFailed(failure *verdict.Error) bool {
	switch failure.Code {
	case verdict.CodeUnreachable, verdict.CodeLost, verdict.CodeDraining, verdict.CodeNotReady, verdict.CodeRevisionMismatch:
		return true
	default:
		return false
	}
}

// perform performs the pending actions and returns the core's answer, if there is
// one. An attempt that a later step has already cancelled is never sent.
func (run *run) perform(ctx context.Context) *query.Answer {
	actions := run.pending
	routes := run.routes
	run.pending, run.routes = query.Actions{}, nil
	for index := range actions.Sends {
		if !slices.Contains(actions.Cancels, actions.Sends[index].Attempt) {
			run.send(ctx, &actions.Sends[index], routes[index])
		}
	}
	for _, id := range actions.Cancels {
		if cancel, ok := run.cancels[id]; ok {
			cancel()
			delete(run.cancels, id)
		}
	}
	return actions.Answer
}

func (run *run) send(ctx context.Context, send *query.Send, route route) {
	attemptContext, cancel := context.WithCancel(ctx)
	run.cancels[send.Attempt] = cancel
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
	run.scatterer.options.Metrics.answered(decided, run.core.Counts())
	run.service.log.answered(run.request.RequestID, decided)
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
