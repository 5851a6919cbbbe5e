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

// attempt is one attempt of a run, and what its trace tells of it.
type attempt struct {
	cancel context.CancelFunc
	record attemptRecord
}

// attemptRecord is what a trace tells of an attempt. It holds no more than that, as it waits
// for its turn to be written.
type attemptRecord struct {
	service             string
	number              int
	reason              exchange.Reason
	server, zone        string
	underWay            int
	expected, lateAfter time.Duration
	budget              float64
	sentAt              time.Time
	// canceledAt and endedAt are zero unless that has happened.
	canceledAt, endedAt time.Time
	result              upstream.Kind
	verdict             verdict.Verdict
	status              int
	pace                float64
	err                 error
}

func (r *run) noteSent(send exchange.Send, cancel context.CancelFunc) {
	made := &attempt{cancel: cancel}
	r.attempts[send.ID.Shard] = append(r.attempts[send.ID.Shard], made)
	if r.trace == nil {
		return
	}
	made.record = attemptRecord{
		service:   r.plan.Services[send.ID.Shard],
		number:    send.ID.Number,
		reason:    send.Reason,
		server:    send.Choice.Server.ID,
		zone:      send.Choice.Server.Zone,
		underWay:  send.Choice.UnderWay,
		expected:  send.Choice.Expected,
		lateAfter: send.Choice.LateAfter,
		budget:    send.Choice.BudgetLeft,
		sentAt:    time.Now(),
	}
}

func (r *run) noteEnded(end ended) {
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

// addAttempts lets the trace tell of the attempts.
func (r *run) addAttempts() {
	if r.trace == nil {
		return
	}
	count := 0
	for _, made := range r.attempts {
		count += len(made)
	}
	attempts, gather := r.attempts, r.plan.Gather
	r.trace.AddLater(count, func() []trace.Step { return attemptSteps(attempts, gather) })
}

// attemptSteps returns the steps of the attempts for each shard. The shards of a gathered
// request whose only attempt went well are summed up.
func attemptSteps(shards [][]*attempt, gather bool) []trace.Step {
	var steps []trace.Step
	var well []*attemptRecord
	for _, made := range shards {
		if gather && len(made) == 1 && made[0].record.wentWell() {
			well = append(well, &made[0].record)
			continue
		}
		for _, one := range made {
			steps = one.record.appendSteps(steps)
		}
	}
	if len(well) > 0 {
		steps = append(steps, summary(well))
	}
	return steps
}

// wentWell reports whether the attempt was answered with success.
func (a *attemptRecord) wentWell() bool {
	return !a.endedAt.IsZero() && a.result == upstream.Answered && a.status < http.StatusMultipleChoices
}

func (a *attemptRecord) took() time.Duration { return a.endedAt.Sub(a.sentAt) }

// summary returns one step for attempts that went well, the slowest of them by name.
func summary(well []*attemptRecord) trace.Step {
	slices.SortFunc(well, func(a, b *attemptRecord) int { return int(a.took() - b.took()) })
	slowest := well[len(well)-1]
	latest := slowest.endedAt
	for _, one := range well {
		if one.endedAt.After(latest) {
			latest = one.endedAt
		}
	}
	return trace.Step{Event: trace.EventAnswered, Time: latest, Attrs: []slog.Attr{
		slog.Int("count", len(well)),
		slog.Float64("median_ms", trace.Milliseconds(well[len(well)/2].took())),
		slog.Float64("slowest_ms", trace.Milliseconds(slowest.took())),
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
		slog.Int("under_way", a.underWay),
		slog.Float64("expected_ms", trace.Milliseconds(a.expected)),
		slog.Float64("late_after_ms", trace.Milliseconds(a.lateAfter)),
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
