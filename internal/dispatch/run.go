package dispatch

import (
	"context"
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/trace"
	"github.com/driftstage/driftstage/internal/upstream"
)

// ended is an attempt that has ended.
type ended struct {
	id     exchange.AttemptID
	reason exchange.Reason
	reply  upstream.Reply
}

// run is the execution of one request.
type run struct {
	dispatcher *Dispatcher
	request    Request
	estimate   *endpoints.Estimate
	core       *exchange.Core
	context    context.Context
	replies    chan ended
	cancels    map[exchange.AttemptID]context.CancelFunc
	deadline   time.Time
	trace      *trace.Trace
	// deferred is why a send of each service was put off last; it is recorded
	// once, not at each look.
	deferred map[string]endpoints.Availability
	plan     exchange.Plan
}

func newRun(ctx context.Context, dispatcher *Dispatcher, request Request, plan exchange.Plan) *run {
	run := &run{
		dispatcher: dispatcher,
		request:    request,
		estimate:   dispatcher.estimate(request.Route),
		context:    ctx,
		// Every attempt can leave its reply without a reader.
		replies:  make(chan ended, len(plan.Services)*plan.MaximumAttempts),
		deferred: make(map[string]endpoints.Availability),
		cancels:  make(map[exchange.AttemptID]context.CancelFunc, len(plan.Services)),
		deadline: request.Arrived.Add(plan.Deadline),
		trace:    dispatcher.recorder.Begin(request.Message.ID, request.Arrived),
		plan:     plan,
	}
	run.core = exchange.New(plan, run)
	return run
}

// Feasible implements exchange.Servers.
func (run *run) Feasible(service string) bool {
	now := time.Now()
	return run.dispatcher.directory.Feasible(run.demand(service, now), now)
}

// Choose implements exchange.Servers.
func (run *run) Choose(service string, tried []*endpoints.Endpoint, extra bool) (endpoints.Choice, endpoints.Availability) {
	now := time.Now()
	demand := run.demand(service, now)
	demand.Tried, demand.Extra = tried, extra
	choice, availability := run.dispatcher.directory.Choose(demand, now)
	if known, waits := run.deferred[service]; availability != endpoints.Chosen && (!waits || known != availability) {
		run.deferred[service] = availability
		run.recordDeferred(service, extra, availability)
	}
	return choice, availability
}

func (run *run) demand(service string, now time.Time) endpoints.Demand {
	return endpoints.Demand{
		Service: service,
		Work:    run.estimate,
		Left:    run.plan.Target - now.Sub(run.request.Arrived),
		Delay:   run.dispatcher.delay(),
	}
}

// refuse ends the request before anything is sent.
func (run *run) refuse(cause exchange.Cause) *exchange.Outcome {
	outcome := &exchange.Outcome{Status: exchange.StatusRefused, Cause: cause, Missing: len(run.plan.Services)}
	run.recordAccepted()
	run.recordFinished(outcome)
	return outcome
}

func (run *run) since() time.Duration {
	return time.Since(run.request.Arrived)
}

func (run *run) loop() *exchange.Outcome {
	run.recordAccepted()
	batch := run.core.Start(run.since())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		run.apply(batch)
		if batch.Outcome != nil {
			run.recordFinished(batch.Outcome)
			return batch.Outcome
		}
		timer.Reset(max(batch.Wake-run.since(), 0))
		select {
		case end := <-run.replies:
			run.recordEnded(end)
			batch = run.core.Reply(end.id, end.reply, run.since())
		case <-timer.C:
			batch = run.core.Tick(run.since())
		case <-run.context.Done():
			run.recordGivenUp()
			return nil
		}
	}
}

func (run *run) apply(batch exchange.Batch) {
	for _, id := range batch.Cancels {
		run.cancels[id]()
		run.recordCanceled(id)
	}
	for _, send := range batch.Sends {
		ctx, cancel := context.WithCancel(run.context)
		run.cancels[send.ID] = cancel
		run.recordSent(send)
		go run.attempt(ctx, send)
	}
}

// attempt makes one attempt and reports its end.
func (run *run) attempt(ctx context.Context, send exchange.Send) {
	choice := send.Choice
	reply := run.dispatcher.client.Do(ctx, upstream.Call{
		Request:   run.request.Message,
		ServerID:  send.Choice.Server.ID,
		Address:   send.Choice.Server.Address,
		Deadline:  run.deadline,
		IdleLimit: run.dispatcher.directory.IdleLimit(send.Choice.Server),
		BodyOnly:  run.plan.Gather,
		Permitted: func() bool { return run.dispatcher.directory.Open(choice.Endpoint) },
	})
	choice.Delay = max(choice.Delay, run.dispatcher.delay())
	run.dispatcher.directory.Finish(choice, run.estimate, result(reply), time.Now())
	run.replies <- ended{id: send.ID, reason: send.Reason, reply: reply}
}

func result(reply upstream.Reply) endpoints.Result {
	switch reply.Kind {
	case upstream.Answered:
		return endpoints.ResultAnswered
	case upstream.Refused:
		return endpoints.ResultRefused
	case upstream.Withheld:
		return endpoints.ResultUnused
	case upstream.Foreign:
		return endpoints.ResultForeign
	case upstream.Unreachable:
		return endpoints.ResultUnreachable
	case upstream.Reset:
		return endpoints.ResultReset
	case upstream.Expired:
		return endpoints.ResultAbandoned
	default:
		return endpoints.ResultFailed
	}
}
