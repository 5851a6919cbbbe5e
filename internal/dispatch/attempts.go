package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/trace"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// attempt is one attempt of a run and its record for the trace.
type attempt struct {
	cancel context.CancelFunc
	record attemptRecord
}

// attemptRecord holds the values that a trace logs of an attempt, and nothing else: it stays
// in memory until the trace is written.
type attemptRecord struct {
	service              string
	number               int
	reason               exchange.Reason
	server, zone         string
	inFlight             int
	expected, hedgeDelay time.Duration
	budget               float64
	sentAt               time.Time
	// canceledAt and endedAt are zero until the attempt is canceled or ends.
	canceledAt, endedAt time.Time
	result              upstream.Kind
	verdict             verdict.Verdict
	status              int
	pace                float64
	err                 error
}

func (r *run) noteSent(send exchange.Send, cancel context.CancelFunc) {
	started := &attempt{cancel: cancel}
	r.attempts[send.ID.Shard] = append(r.attempts[send.ID.Shard], started)
	if r.trace == nil {
		return
	}
	started.record = attemptRecord{
		service:    r.plan.Services[send.ID.Shard],
		number:     send.ID.Number,
		reason:     send.Reason,
		server:     send.Choice.Server.ID,
		zone:       send.Choice.Server.Zone,
		inFlight:   send.Choice.InFlight,
		expected:   send.Choice.Expected,
		hedgeDelay: send.Choice.HedgeDelay,
		budget:     send.Choice.BudgetLeft,
		sentAt:     time.Now(),
	}
}

func (r *run) noteEnded(end attemptEnd) {
	r.dispatcher.observer.AttemptEnded(end.reason, end.reply.Kind)
	record := &r.attempts[end.id.Shard][end.id.Number].record
	record.endedAt = time.Now()
	record.result, record.verdict, record.status = end.reply.Kind, end.reply.Verdict, end.reply.Status
	record.pace, record.err = end.reply.Load.Pace, end.reply.Err
}

func (r *run) cancel(id exchange.AttemptID) {
	canceled := r.attempts[id.Shard][id.Number]
	canceled.cancel()
	canceled.record.canceledAt = time.Now()
}

// traceAttempts adds the attempts to the trace.
func (r *run) traceAttempts() {
	if r.trace == nil {
		return
	}
	count := 0
	for _, attempts := range r.attempts {
		count += len(attempts)
	}
	attempts, gather := r.attempts, r.plan.Gather
	r.trace.AddLazy(count, func() []trace.Step { return attemptSteps(attempts, gather) })
}

// attemptSteps returns the trace steps of the attempts of all shards. The shards of a
// gathered request whose only attempt succeeded are summarized in one step.
func attemptSteps(shards [][]*attempt, gather bool) []trace.Step {
	var steps []trace.Step
	var succeeded []*attemptRecord
	for _, attempts := range shards {
		if gather && len(attempts) == 1 && attempts[0].record.succeeded() {
			succeeded = append(succeeded, &attempts[0].record)
			continue
		}
		for _, attempt := range attempts {
			steps = attempt.record.appendSteps(steps)
		}
	}
	if len(succeeded) > 0 {
		steps = append(steps, summary(succeeded))
	}
	return steps
}

// succeeded reports whether the attempt got a successful reply.
func (a *attemptRecord) succeeded() bool {
	return !a.endedAt.IsZero() && a.result == upstream.Answered && a.status < http.StatusMultipleChoices
}

func (a *attemptRecord) duration() time.Duration { return a.endedAt.Sub(a.sentAt) }

// summary returns one step for successful attempts, with the details of the slowest one.
func summary(succeeded []*attemptRecord) trace.Step {
	slices.SortFunc(succeeded, func(a, b *attemptRecord) int { return int(a.duration() - b.duration()) })
	slowest := succeeded[len(succeeded)-1]
	latest := slowest.endedAt
	for _, record := range succeeded {
		if record.endedAt.After(latest) {
			latest = record.endedAt
		}
	}
	return trace.Step{Event: trace.EventAnswered, Time: latest, Attrs: []slog.Attr{
		slog.Int("count", len(succeeded)),
		slog.Float64("median_ms", trace.Milliseconds(succeeded[len(succeeded)/2].duration())),
		slog.Float64("slowest_ms", trace.Milliseconds(slowest.duration())),
		slog.String("slowest_service", slowest.service),
		slog.String("slowest_server", slowest.server),
		slog.String("slowest_zone", slowest.zone),
	}}
}

func (a *attemptRecord) appendSteps(steps []trace.Step) []trace.Step {
	steps = append(steps, trace.Step{Event: trace.EventSent, Time: a.sentAt, Attrs: []slog.Attr{
		slog.String("service", a.service),
		slog.Int("attempt", a.number),
		slog.String("reason", a.reason.String()),
		slog.String("server", a.server),
		slog.String("zone", a.zone),
		slog.Int("under_way", a.inFlight),
		slog.Float64("expected_ms", trace.Milliseconds(a.expected)),
		slog.Float64("late_after_ms", trace.Milliseconds(a.hedgeDelay)),
		slog.Float64("budget", a.budget),
	}})
	if !a.canceledAt.IsZero() {
		steps = append(steps, trace.Step{Event: trace.EventCanceled, Time: a.canceledAt, Attrs: []slog.Attr{
			slog.String("service", a.service),
			slog.Int("attempt", a.number),
		}})
	}
	if a.endedAt.IsZero() {
		return steps
	}
	attrs := []slog.Attr{
		slog.String("service", a.service),
		slog.Int("attempt", a.number),
		slog.String("result", a.result.String()),
		slog.String("verdict", a.verdict.String()),
		slog.Int("status", a.status),
		slog.Float64("pace", a.pace),
	}
	if a.err != nil {
		attrs = append(attrs, slog.String("cause", a.err.Error()))
	}
	return append(steps, trace.Step{Event: trace.EventEnded, Time: a.endedAt, Attrs: attrs})
}
