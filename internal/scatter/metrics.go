package scatter

import (
	"github.com/driftstage/driftstage/internal/query"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters of a Scatterer.
type Metrics struct {
	answers    *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	overBudget *prometheus.CounterVec
	failures   *prometheus.CounterVec
	stale      prometheus.Counter
}

// NewMetrics registers the counters; a nil registerer leaves them unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		answers: counters("driftstage_scatter_answers_total",
			"Answers, by verdict and failure code (empty for success).", "verdict", "code"),
		attempts: counters("driftstage_scatter_attempts_total",
			"Attempts sent, by what they were for: first, retry, hedge, restart.", "purpose"),
		overBudget: counters("driftstage_scatter_attempts_over_budget_total",
			"Retries and hedges not sent for want of budget.", "purpose"),
		failures: counters("driftstage_scatter_attempt_failures_total",
			"Attempts that failed, by verdict and code.", "verdict", "code"),
		stale: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "driftstage_scatter_stale_replies_total",
			Help: "Replies dropped because their attempt was no longer pending.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.answers, metrics.attempts, metrics.overBudget, metrics.failures, metrics.stale)
	}
	return metrics
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// answered counts a finished query.
func (metrics *Metrics) answered(answer *query.Answer, counts query.Counts) {
	code := ""
	if answer.Failure != nil {
		code = string(answer.Failure.Code)
	}
	metrics.answers.WithLabelValues(answer.Verdict.String(), code).Inc()
	add(metrics.attempts, "first", counts.First)
	add(metrics.attempts, "retry", counts.Retries)
	add(metrics.attempts, "hedge", counts.Hedges)
	add(metrics.attempts, "restart", counts.Restarts)
	add(metrics.overBudget, "retry", counts.RetriesOverBudget)
	add(metrics.overBudget, "hedge", counts.HedgesOverBudget)
	metrics.stale.Add(float64(counts.StaleReplies))
}

func add(vector *prometheus.CounterVec, purpose string, count int) {
	if count > 0 {
		vector.WithLabelValues(purpose).Add(float64(count))
	}
}

// replied counts a finished attempt; failure is nil for a success.
func (metrics *Metrics) replied(failure *verdict.Error) {
	if failure != nil {
		metrics.failures.WithLabelValues(failure.Verdict.String(), string(failure.Code)).Inc()
	}
}
