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
	query, gathered := gateway.query(ctx, name)
	if gathered.Failure != nil {
		gateway.fail(ctx, name, query, gathered)
	} else {
		writeAnswer(ctx, fasthttp.StatusOK, newAnswer(query, gathered))
	}
	if gateway.draining.Load() {
		ctx.Response.SetConnectionClose()
	}
	gateway.metrics.observe(query, gathered, time.Since(start))
}

func (gateway *Gateway) fail(ctx *fasthttp.RequestCtx, name string, query scatter.Query, gathered scatter.Answer) {
	failed := gathered.Failure
	if query.Service == nil || gathered.Coverage.Shards == 0 {
		writeAnswer(ctx, statusOf(failed), answer{
			RequestID: query.RequestID,
			Service:   name,
			Verdict:   failed.Verdict,
			Failure:   newFailure(failed),
		})
		return
	}
	writeAnswer(ctx, statusOf(failed), newAnswer(query, gathered))
}

// query runs one request; a refusal is an answer with a NotRun failure.
func (gateway *Gateway) query(ctx *fasthttp.RequestCtx, name string) (scatter.Query, scatter.Answer) {
	if err := gateway.refusal(); err != nil {
		return scatter.Query{}, refused(err)
	}
	service, known := gateway.options.Services.Service(name)
	if !known {
		return scatter.Query{}, refused(verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no accepted configuration for service %q", name))
	}
	query, err := parseQuery(ctx, service)
	if err != nil {
		return query, refused(verdict.From(err))
	}
	if !gateway.inFlight.enter(service) {
		overloaded := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d queries of the service are under way in this node", service.Spec.Limits.InFlight)
		overloaded.RetryAfter = gateway.metrics.typicalDuration(service.Name)
		return query, refused(overloaded)
	}
	defer gateway.inFlight.leave(service)
	return query, gateway.options.Runner.Run(gateway.running, query)
}

// refusal tells why the node takes no requests at present.
func (gateway *Gateway) refusal() *verdict.Error {
	var refusal *verdict.Error
	if gateway.draining.Load() {
		refusal = verdict.New(verdict.NotRun, verdict.CodeDraining, "this node is stopping; ask another one")
	} else if reason := gateway.options.Ready(); reason != "" {
		refusal = verdict.New(verdict.NotRun, verdict.CodeNotReady, "this node is not ready: %s", reason)
	} else {
		return nil
	}
	refusal.RetryAfter = notReadyRetryAfter
	return refusal
}

func refused(err *verdict.Error) scatter.Answer {
	return scatter.Answer{Verdict: err.Verdict, Failure: err}
}
