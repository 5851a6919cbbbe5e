package owner

import (
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters of a Manager.
type Metrics struct {
	attempts *prometheus.CounterVec
}

// NewMetrics registers the counters; a nil registerer leaves them unregistered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "driftstage_owner_attempts_total",
			Help: "Attempts answered, by verdict and failure code (empty for success).",
		}, []string{"verdict", "code"}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.attempts)
	}
	return metrics
}

func (metrics *Metrics) answered(reply *message.SubReply) {
	metrics.attempts.WithLabelValues(verdict.Verdict(reply.Verdict).String(), reply.Code).Inc()
}
