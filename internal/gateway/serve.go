package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/verdict"
)

func (gateway *Gateway) serveQuery(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	name, _ := ctx.UserValue("service").(string)
	query, gathered := gateway.run(ctx, name)
	if gathered.Failure != nil {
		gateway.writeFailure(ctx, name, query, gathered)
	} else {
		writeAnswer(ctx, fasthttp.StatusOK, newAnswer(query, gathered))
	}
	if gateway.draining.Load() {
		ctx.Response.SetConnectionClose()
	}
	gateway.metrics.observe(query, gathered, time.Since(start))
}

func (gateway *Gateway) writeFailure(ctx *fasthttp.RequestCtx, name string, query scatter.Query, gathered scatter.Answer) {
	err := gathered.Failure
	if query.Service == nil || gathered.Coverage.Shards == 0 {
		writeAnswer(ctx, statusOf(err), answer{
			RequestID: query.RequestID,
			Service:   name,
			Verdict:   err.Verdict,
			Failure:   newFailure(err),
		})
		return
	}
	writeAnswer(ctx, statusOf(err), newAnswer(query, gathered))
}

// run processes one request. A refusal is an answer with a NotRun failure.
func (gateway *Gateway) run(ctx *fasthttp.RequestCtx, name string) (scatter.Query, scatter.Answer) {
	if err := gateway.refusal(); err != nil {
		return scatter.Query{}, refusedAnswer(err)
	}
	service, known := gateway.options.Services.Service(name)
	if !known {
		return scatter.Query{}, refusedAnswer(verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no accepted configuration for service %q", name))
	}
	query, err := parseQuery(ctx, service)
	if err != nil {
		return query, refusedAnswer(verdict.From(err))
	}
	if !gateway.inFlight.acquire(service) {
		overloaded := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d queries of the service are under way in this node", service.Spec.Limits.InFlight)
		overloaded.RetryAfter = gateway.metrics.expectedDuration(service.Name)
		return query, refusedAnswer(overloaded)
	}
	defer gateway.inFlight.release(service)
	return query, gateway.options.Runner.Run(gateway.baseContext, query)
}

// refusal returns why the node accepts no requests at present, or nil.
func (gateway *Gateway) refusal() *verdict.Error {
	var refusal *verdict.Error
	if gateway.draining.Load() {
		refusal = verdict.New(verdict.NotRun, verdict.CodeDraining, "this node is stopping; ask another one")
	} else if reason := gateway.options.NotReadyReason(); reason != "" {
		refusal = verdict.New(verdict.NotRun, verdict.CodeNotReady, "this node is not ready: %s", reason)
	} else {
		return nil
	}
	refusal.RetryAfter = notReadyRetryAfter
	return refusal
}

func refusedAnswer(err *verdict.Error) scatter.Answer {
	return scatter.Answer{Verdict: err.Verdict, Failure: err}
}
