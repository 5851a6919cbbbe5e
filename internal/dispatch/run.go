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

// attemptEnd is the end of an attempt, as sent to the run's loop.
type attemptEnd struct {
	id     exchange.AttemptID
	reason exchange.Reason
	reply  upstream.Reply
}

// replyBuffer is the number of attempts that may end before the loop handles the first one.
const replyBuffer = 16

// run is the execution of one request. It implements exchange.Servers.
type run struct {
	dispatcher *Dispatcher
	request    Request
	estimate   *endpoints.Estimate
	core       *exchange.Core
	context    context.Context
	replies    chan attemptEnd
	// attempts holds the attempts of each shard.
	attempts [][]*attempt
	deadline time.Time
	trace    *trace.Trace
	// deferred is why a send to each service was last deferred. A cause is recorded when
	// it changes, not at each check.
	deferred map[string]endpoints.Availability
	plan     exchange.Plan
	// hold is why the request is held before anything is sent. A cause is recorded when
	// it changes, not at each check.
	hold exchange.Hold
	// admission permits the sends of a request that may crash servers.
	admission quarantine.Admission
	// suspendedBefore is the total time for which the machine had been suspended when the run
	// began.
	suspendedBefore time.Duration
}

func newRun(ctx context.Context, dispatcher *Dispatcher, request Request, plan exchange.Plan) *run {
	run := &run{
		dispatcher:      dispatcher,
		request:         request,
		estimate:        dispatcher.estimate(request.Route),
		context:         ctx,
		replies:         make(chan attemptEnd, replyBuffer),
		attempts:        make([][]*attempt, len(plan.Services)),
		deadline:        request.Arrived.Add(plan.Deadline),
		trace:           dispatcher.recorder.Start(request.Message.ID, request.Arrived),
		plan:            plan,
		suspendedBefore: dispatcher.suspended(),
	}
	run.core = exchange.New(plan, run)
	return run
}

// HasServer implements exchange.Servers.
func (r *run) HasServer(service string) bool {
	return r.dispatcher.directory.HasServer(service, r.request.Route)
}

// ListIncomplete implements exchange.Servers.
func (r *run) ListIncomplete() bool { return r.dispatcher.directory.ListIncomplete(time.Now()) }

// ListGrowing implements exchange.Servers.
func (r *run) ListGrowing() bool {
	return r.dispatcher.directory.ListGrowing(r.plan.Services, time.Now())
}

// Shedding implements exchange.Servers.
func (r *run) Shedding() bool { return r.dispatcher.directory.Shedding(time.Now()) }

// JustStarted implements exchange.Servers.
func (r *run) JustStarted() bool { return r.dispatcher.directory.JustStarted(time.Now()) }

// ServiceHealth implements exchange.Servers.
func (r *run) ServiceHealth(service string) endpoints.ServiceHealth {
	return r.dispatcher.directory.ServiceHealth(service, r.request.Route, time.Now())
}

// Choose implements exchange.Servers.
func (r *run) Choose(service string, tried, only []*endpoints.Endpoint, extra bool) (endpoints.Choice, endpoints.Availability) {
	now := time.Now()
	criteria := r.criteria(service, now)
	criteria.Tried, criteria.Only, criteria.Extra = tried, only, extra
	choice, availability := r.dispatcher.directory.Choose(criteria, now)
	if last, deferred := r.deferred[service]; availability != endpoints.Chosen && (!deferred || last != availability) {
		r.noteDeferred(service, availability)
		r.recordDeferred(service, extra, availability)
	}
	return choice, availability
}

// ZoneUnreachable implements exchange.Servers.
func (r *run) ZoneUnreachable(endpoint *endpoints.Endpoint) bool {
	return r.dispatcher.directory.ZoneUnreachable(endpoint, time.Now())
}

// RefundRetry implements exchange.Servers.
func (r *run) RefundRetry(service string) { r.dispatcher.directory.RefundRetry(service, time.Now()) }

func (r *run) noteDeferred(service string, availability endpoints.Availability) {
	if r.deferred == nil {
		r.deferred = make(map[string]endpoints.Availability)
	}
	r.deferred[service] = availability
}

func (r *run) criteria(service string, now time.Time) endpoints.Criteria {
	return endpoints.Criteria{
		Service:         service,
		Route:           r.request.Route,
		Estimate:        r.estimate,
		TimeLeft:        r.plan.Target - now.Sub(r.request.Arrived),
		SchedulingDelay: r.dispatcher.delay(),
	}
}

// refuse ends the request before anything is sent.
func (r *run) refuse(cause exchange.Cause) *exchange.Outcome { return r.refuseWithRetryAfter(cause, 0) }

// refuseWithRetryAfter ends the request before anything is sent, and sets when the caller
// may retry.
func (r *run) refuseWithRetryAfter(cause exchange.Cause, retryAfter time.Duration) *exchange.Outcome {
	outcome := &exchange.Outcome{Status: exchange.StatusRefused, Cause: cause, Missing: len(r.plan.Services), RetryAfter: retryAfter}
	r.recordAccepted()
	r.recordFinished(outcome)
	return outcome
}

// elapsed returns the time since the request arrived. It includes suspensions of the machine,
// because the caller has been waiting during these.
func (r *run) elapsed() time.Duration {
	return time.Since(r.request.Arrived) + r.suspendedFor()
}

// suspendedFor returns for how long the machine has been suspended since the run began.
func (r *run) suspendedFor() time.Duration { return r.dispatcher.suspended() - r.suspendedBefore }

// loop drives the core until the request has its outcome; nil if the context ends first.
func (r *run) loop() *exchange.Outcome {
	r.recordAccepted()
	started := time.Now()
	batch := r.core.Start(r.elapsed())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	suspended := r.suspendedFor()
	for first := true; ; first = false {
		r.apply(batch, suspended)
		if first {
			// A node that takes long to send the requests of a gather takes about as long to
			// merge the replies: an answer begun at the target would be late by that time.
			r.core.ShortenTarget(time.Since(started))
		}
		if batch.Outcome != nil {
			r.recordFinished(batch.Outcome)
			return batch.Outcome
		}
		timer.Reset(max(batch.Wake-time.Since(r.request.Arrived)-suspended, 0))
		select {
		case end := <-r.replies:
			r.noteEnded(end)
			suspended = r.suspendedFor()
			batch = r.core.Reply(end.id, end.reply, time.Since(r.request.Arrived)+suspended)
		case <-timer.C:
			suspended = r.suspendedFor()
			batch = r.core.Tick(time.Since(r.request.Arrived) + suspended)
		case <-r.context.Done():
			r.recordAbandoned()
			return nil
		}
	}
}

// apply carries out a batch. suspended is how long the machine had been suspended since the run
// began when the batch was computed.
func (r *run) apply(batch exchange.Batch, suspended time.Duration) {
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
		go r.attempt(ctx, send, suspended)
	}
}

// attempt makes one attempt and reports its end to the loop. The attempt is withheld if the
// machine is suspended before it is sent.
func (r *run) attempt(ctx context.Context, send exchange.Send, suspended time.Duration) {
	choice := send.Choice
	reply := r.dispatcher.client.Do(ctx, upstream.Call{
		Request:     r.request.Message,
		ServerID:    send.Choice.Server.ID,
		Incarnation: send.Choice.Incarnation,
		Address:     send.Choice.Server.Address,
		Deadline:    r.deadline.Add(-suspended),
		IdleLimit:   r.dispatcher.directory.IdleLimit(send.Choice.Server),
		OmitHeaders: r.plan.Gather,
		MaySend: func() bool {
			awake := r.suspendedFor()-suspended < minSuspension
			return awake && r.dispatcher.directory.Serving(choice.Endpoint) && r.admission.MaySend()
		},
	})
	r.reportAttemptEnd(ctx, send, reply, time.Now())
	choice.SchedulingDelay = max(choice.SchedulingDelay, r.dispatcher.delay())
	r.dispatcher.directory.RecordLoad(choice, reply.Load, time.Now())
	r.dispatcher.directory.Finish(choice, r.estimate, result(reply), time.Now())
	select {
	case r.replies <- attemptEnd{id: send.ID, reason: send.Reason, reply: reply}:
	case <-r.context.Done():
	}
}

// answeredResult distinguishes server errors from other answers. A server that stops at the
// deadline that it was given has not failed.
func answeredResult(status int) endpoints.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return endpoints.ResultServerError
	}
	return endpoints.ResultAnswered
}

// result classifies a reply for the directory.
func result(reply upstream.Reply) endpoints.Result {
	switch reply.Kind {
	case upstream.Answered:
		return answeredResult(reply.Status)
	case upstream.Refused:
		return endpoints.ResultRefused
	case upstream.NotPermitted:
		return endpoints.ResultNotSent
	case upstream.WrongServer:
		return endpoints.ResultWrongServer
	case upstream.Unreachable:
		return endpoints.ResultUnreachable
	case upstream.Reset:
		return endpoints.ResultReset
	case upstream.Expired, upstream.NoMemory:
		return endpoints.ResultAbandoned
	default:
		return endpoints.ResultFailed
	}
}
