package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/trace"
	"github.com/driftstage/driftstage/internal/upstream"
)

// ended is an attempt that has ended.
type ended struct {
	id     exchange.AttemptID
	reason exchange.Reason
	reply  upstream.Reply
}

// repliesAhead is how many attempts may end before the run looks at their replies.
const repliesAhead = 16

// run is the execution of one request.
type run struct {
	dispatcher *Dispatcher
	request    Request
	estimate   *endpoints.Estimate
	core       *exchange.Core
	context    context.Context
	replies    chan ended
	// attempts are those of each shard.
	attempts [][]*attempt
	deadline time.Time
	trace    *trace.Trace
	// deferred is why a send of each service was put off last; it is recorded
	// once, not at each look.
	deferred map[string]endpoints.Availability
	plan     exchange.Plan
	// hold is why the request waits before anything is sent; each cause is recorded
	// once, not at each look.
	hold exchange.Hold
	// admission permits the sends of a request under which servers may end.
	admission quarantine.Admission
	// suspended is for how long the machine had been suspended when the run began.
	suspended time.Duration
}

func newRun(ctx context.Context, dispatcher *Dispatcher, request Request, plan exchange.Plan) *run {
	run := &run{
		dispatcher: dispatcher,
		request:    request,
		estimate:   dispatcher.estimate(request.Route),
		context:    ctx,
		replies:    make(chan ended, repliesAhead),
		attempts:   make([][]*attempt, len(plan.Services)),
		deadline:   request.Arrived.Add(plan.Deadline),
		trace:      dispatcher.recorder.Begin(request.Message.ID, request.Arrived),
		plan:       plan,
		suspended:  dispatcher.suspended(),
	}
	run.core = exchange.New(plan, run)
	return run
}

// Listed implements exchange.Servers.
func (r *run) Listed(service string) bool {
	return r.dispatcher.directory.Listed(service, r.request.Route)
}

// Settling implements exchange.Servers.
func (r *run) Settling() bool { return r.dispatcher.directory.Settling(time.Now()) }

// Growing implements exchange.Servers.
func (r *run) Growing() bool {
	return r.dispatcher.directory.Growing(r.plan.Services, time.Now())
}

// Pressed implements exchange.Servers.
func (r *run) Pressed() bool { return r.dispatcher.directory.Pressed(time.Now()) }

// Fresh implements exchange.Servers.
func (r *run) Fresh() bool { return r.dispatcher.directory.Fresh(time.Now()) }

// Prospect implements exchange.Servers.
func (r *run) Prospect(service string) endpoints.Prospect {
	return r.dispatcher.directory.Prospect(service, r.request.Route, time.Now())
}

// Choose implements exchange.Servers.
func (r *run) Choose(service string, tried, only []*endpoints.Endpoint, extra bool) (endpoints.Choice, endpoints.Availability) {
	now := time.Now()
	demand := r.demand(service, now)
	demand.Tried, demand.Only, demand.Extra = tried, only, extra
	choice, availability := r.dispatcher.directory.Choose(demand, now)
	if known, waits := r.deferred[service]; availability != endpoints.Chosen && (!waits || known != availability) {
		r.noteDeferred(service, availability)
		r.recordDeferred(service, extra, availability)
	}
	return choice, availability
}

// OutOfReach implements exchange.Servers.
func (r *run) OutOfReach(endpoint *endpoints.Endpoint) bool {
	return r.dispatcher.directory.OutOfReach(endpoint, time.Now())
}

// RefundRetry implements exchange.Servers.
func (r *run) RefundRetry(service string) { r.dispatcher.directory.RefundRetry(service, time.Now()) }

func (r *run) noteDeferred(service string, availability endpoints.Availability) {
	if r.deferred == nil {
		r.deferred = make(map[string]endpoints.Availability)
	}
	r.deferred[service] = availability
}

func (r *run) demand(service string, now time.Time) endpoints.Demand {
	return endpoints.Demand{
		Service: service,
		Route:   r.request.Route,
		Work:    r.estimate,
		Left:    r.plan.Target - now.Sub(r.request.Arrived),
		Delay:   r.dispatcher.delay(),
	}
}

// refuse ends the request before anything is sent.
func (r *run) refuse(cause exchange.Cause) *exchange.Outcome { return r.refuseFor(cause, 0) }

// refuseFor ends the request before anything is sent, and says when it may come again.
func (r *run) refuseFor(cause exchange.Cause, retryAfter time.Duration) *exchange.Outcome {
	outcome := &exchange.Outcome{Status: exchange.StatusRefused, Cause: cause, Missing: len(r.plan.Services), RetryAfter: retryAfter}
	r.recordAccepted()
	r.recordFinished(outcome)
	return outcome
}

// since returns how long ago the request arrived, suspensions of the machine included: its
// caller has waited through them.
func (r *run) since() time.Duration {
	return time.Since(r.request.Arrived) + r.slept()
}

// slept returns for how long the machine has been suspended since the run began.
func (r *run) slept() time.Duration { return r.dispatcher.suspended() - r.suspended }

func (r *run) loop() *exchange.Outcome {
	r.recordAccepted()
	begun := time.Now()
	batch := r.core.Start(r.since())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	slept := r.slept()
	for first := true; ; first = false {
		r.apply(batch, slept)
		if first {
			// A node that takes long to send the parts of a gather takes about as long to put
			// their answers together: one that is given at the target would be late by that.
			r.core.Shorten(time.Since(begun))
		}
		if batch.Outcome != nil {
			r.recordFinished(batch.Outcome)
			return batch.Outcome
		}
		timer.Reset(max(batch.Wake-time.Since(r.request.Arrived)-slept, 0))
		select {
		case end := <-r.replies:
			r.noteEnded(end)
			slept = r.slept()
			batch = r.core.Reply(end.id, end.reply, time.Since(r.request.Arrived)+slept)
		case <-timer.C:
			slept = r.slept()
			batch = r.core.Tick(time.Since(r.request.Arrived) + slept)
		case <-r.context.Done():
			r.recordGivenUp()
			return nil
		}
	}
}

// apply carries out a batch. The machine had been suspended for slept since the run began.
func (r *run) apply(batch exchange.Batch, slept time.Duration) {
	if batch.Hold != r.hold {
		r.hold = batch.Hold
		r.recordHold(batch.Hold)
	}
	for _, id := range batch.Cancels {
		r.cancel(id)
	}
	for _, send := range batch.Sends {
		ctx, cancel := context.WithCancel(r.context)
		r.noteSent(send, cancel)
		go r.attempt(ctx, send, slept)
	}
}

// attempt makes one attempt and reports its end. The attempt is withheld if the machine is
// suspended before it is sent.
func (r *run) attempt(ctx context.Context, send exchange.Send, slept time.Duration) {
	choice := send.Choice
	reply := r.dispatcher.client.Do(ctx, upstream.Call{
		Request:     r.request.Message,
		ServerID:    send.Choice.Server.ID,
		Incarnation: send.Choice.Incarnation,
		Address:     send.Choice.Server.Address,
		Deadline:    r.deadline.Add(-slept),
		IdleLimit:   r.dispatcher.directory.IdleLimit(send.Choice.Server),
		BodyOnly:    r.plan.Gather,
		Permitted: func() bool {
			awake := r.slept()-slept < shortestSuspension
			return awake && r.dispatcher.directory.Open(choice.Endpoint) && r.admission.Permits()
		},
	})
	r.tellKeeper(ctx, send, reply, time.Now())
	choice.Delay = max(choice.Delay, r.dispatcher.delay())
	r.dispatcher.directory.NoteLoad(choice, reply.Load, time.Now())
	r.dispatcher.directory.Finish(choice, r.estimate, result(reply), time.Now())
	select {
	case r.replies <- ended{id: send.ID, reason: send.Reason, reply: reply}:
	case <-r.context.Done():
	}
}

// answered tells an error of the server from other answers. A server that stops at the
// deadline that it was given has not erred.
func answered(status int) endpoints.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return endpoints.ResultErred
	}
	return endpoints.ResultAnswered
}

func result(reply upstream.Reply) endpoints.Result {
	switch reply.Kind {
	case upstream.Answered:
		return answered(reply.Status)
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
