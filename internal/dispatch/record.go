package dispatch

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/trace"
)

// lazyDigest logs the digest of a request. The digest is computed only if the line is
// written.
type lazyDigest struct{ identity *quarantine.Identity }

// LogValue implements slog.LogValuer.
func (l lazyDigest) LogValue() slog.Value {
	if l.identity == nil {
		return slog.StringValue("")
	}
	return slog.StringValue(l.identity.Digest().String())
}

func (r *run) recordAccepted() {
	r.trace.Add(trace.EventAccepted, r.request.Arrived,
		slog.Any("digest", lazyDigest{r.request.Identity}),
		slog.String("route", r.request.Route.Name),
		slog.Uint64("version", r.request.Version),
		slog.Int("shards", len(r.plan.Services)),
		slog.Bool("repeatable", r.plan.Repeatable),
		slog.Int("least_shards", r.plan.LeastShards),
		slog.Float64("target_ms", trace.Milliseconds(r.plan.Target)),
		slog.Float64("deadline_ms", trace.Milliseconds(r.plan.Deadline)),
		slog.Float64("node_delay_ms", trace.Milliseconds(r.dispatcher.load.Delay())))
}

func (r *run) recordDeferred(service string, extra bool, availability endpoints.Availability) {
	r.dispatcher.observer.SendDeferred(availability)
	r.trace.Add(trace.EventDeferred, time.Now(),
		slog.String("service", service),
		slog.Bool("extra", extra),
		slog.String("cause", availability.String()))
}

// recordHold records why the request is held before anything is sent.
func (r *run) recordHold(hold exchange.Hold) {
	if hold == exchange.HoldNone {
		return
	}
	r.dispatcher.observer.RequestHeld(hold)
	r.trace.Add(trace.EventHeld, time.Now(), slog.String("cause", hold.String()))
}

func (r *run) recordFinished(outcome *exchange.Outcome) {
	now := time.Now()
	r.dispatcher.observer.RequestFinished(r.plan.Gather, outcome, now.Sub(r.request.Arrived))
	attrs := []slog.Attr{
		slog.String("status", outcome.Status.String()),
		slog.String("cause", string(outcome.Cause)),
		slog.Int("missing", outcome.Missing),
	}
	if len(outcome.Unlisted) > 0 {
		attrs = append(attrs, slog.String("unlisted", strings.Join(outcome.Unlisted, ",")))
	}
	r.trace.Add(trace.EventFinished, now, attrs...)
	r.traceAttempts()
	late := now.Sub(r.request.Arrived) > r.plan.Target
	extra := r.core.Sends() > len(r.plan.Services)
	r.trace.End(outcome.Status != exchange.StatusAnswered || outcome.Missing > 0 || late || extra)
}

func (r *run) recordAbandoned() {
	r.dispatcher.observer.RequestAbandoned(r.plan.Gather)
	r.trace.Add(trace.EventFinished, time.Now(),
		slog.String("status", "abandoned"),
		slog.String("cause", context.Cause(r.context).Error()))
	r.traceAttempts()
	r.trace.End(true)
}
