package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/trace"
)

func (run *run) recordAccepted() {
	run.trace.Add(trace.EventAccepted, run.request.Arrived,
		slog.String("route", run.request.Route.Name),
		slog.Uint64("version", run.request.Version),
		slog.Int("shards", len(run.plan.Services)),
		slog.Bool("repeatable", run.plan.Repeatable),
		slog.Int("least_shards", run.plan.LeastShards),
		slog.Float64("target_ms", trace.Milliseconds(run.plan.Target)),
		slog.Float64("deadline_ms", trace.Milliseconds(run.plan.Deadline)),
		slog.Float64("node_delay_ms", trace.Milliseconds(run.dispatcher.load.Delay())))
}

func (run *run) recordDeferred(service string, extra bool, availability endpoints.Availability) {
	run.dispatcher.observer.SendDeferred(availability)
	run.trace.Add(trace.EventDeferred, time.Now(),
		slog.String("service", service),
		slog.Bool("extra", extra),
		slog.String("cause", availability.String()))
}

func (run *run) recordSent(send exchange.Send) {
	run.trace.Add(trace.EventSent, time.Now(),
		slog.String("service", run.plan.Services[send.ID.Shard]),
		slog.Int("attempt", send.ID.Number),
		slog.String("reason", send.Reason.String()),
		slog.String("server", send.Choice.Server.ID),
		slog.String("zone", send.Choice.Server.Zone),
		slog.Int("under_way", send.Choice.UnderWay),
		slog.Float64("expected_ms", trace.Milliseconds(send.Choice.Expected)),
		slog.Float64("late_after_ms", trace.Milliseconds(send.Choice.LateAfter)),
		slog.Float64("budget", send.Choice.BudgetLeft))
}

func (run *run) recordEnded(end ended) {
	run.dispatcher.observer.AttemptEnded(end.reason, end.reply.Kind)
	attrs := []slog.Attr{
		slog.String("service", run.plan.Services[end.id.Shard]),
		slog.Int("attempt", end.id.Number),
		slog.String("result", end.reply.Kind.String()),
		slog.String("verdict", end.reply.Verdict.String()),
		slog.Int("status", end.reply.Status),
	}
	if end.reply.Err != nil {
		attrs = append(attrs, slog.String("cause", end.reply.Err.Error()))
	}
	run.trace.Add(trace.EventEnded, time.Now(), attrs...)
}

func (run *run) recordCanceled(id exchange.AttemptID) {
	run.trace.Add(trace.EventCanceled, time.Now(),
		slog.String("service", run.plan.Services[id.Shard]),
		slog.Int("attempt", id.Number))
}

func (run *run) recordFinished(outcome *exchange.Outcome) {
	now := time.Now()
	run.dispatcher.observer.RequestFinished(run.plan.Gather, outcome, now.Sub(run.request.Arrived))
	run.trace.Add(trace.EventFinished, now,
		slog.String("status", outcome.Status.String()),
		slog.String("cause", string(outcome.Cause)),
		slog.Int("missing", outcome.Missing))
	late := now.Sub(run.request.Arrived) > run.plan.Target
	extra := run.core.Sends() > len(run.plan.Services)
	run.trace.End(outcome.Status != exchange.StatusAnswered || outcome.Missing > 0 || late || extra)
}

func (run *run) recordGivenUp() {
	run.dispatcher.observer.RequestAbandoned(run.plan.Gather)
	run.trace.Add(trace.EventFinished, time.Now(),
		slog.String("status", "abandoned"),
		slog.String("cause", context.Cause(run.context).Error()))
	run.trace.End(true)
}
