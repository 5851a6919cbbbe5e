package scatter

import (
	"github.com/driftstage/driftstage/internal/query"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters of a Scatterer.
type Metrics struct {
	answers *prometheus.CounterVec
	stale   prometheus.Counter
}

// NewMetrics registers the counters; a nil registerer leaves them unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "driftstage_scatter_answers_total",
			Help: "Answers, by verdict and failure code (empty for success).",
		}, []string{"verdict", "code"}),
		stale: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "driftstage_scatter_stale_replies_total",
			Help: "Replies dropped because their attempt was no longer pending.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.answers, metrics.stale)
	}
	return metrics
}

func (metrics *Metrics) answered(answer *query.Answer, stale int) {
	code := ""
	if answer.Failure != nil {
		code = string(answer.Failure.Code)
	}
	metrics.answers.WithLabelValues(answer.Verdict.String(), code).Inc()
	metrics.stale.Add(float64(stale))
}
