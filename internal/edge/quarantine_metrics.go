package edge

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/driftstage/driftstage/internal/quarantine"
)

// quarantineCounters count the node's decisions on requests that crash servers.
type quarantineCounters struct {
	decisions *prometheus.CounterVec
	trials    *prometheus.CounterVec
	writes    *prometheus.CounterVec
}

func newQuarantineCounters(registry *prometheus.Registry) quarantineCounters {
	counters := quarantineCounters{
		decisions: counterVector("quarantine", "requests_total", "Suspected requests by what became of them.", "action"),
		trials:    counterVector("quarantine", "trials_total", "Trials of this node by result.", "result"),
		writes:    counterVector("quarantine", "writes_total", "Writes of records by result.", "result"),
	}
	registry.MustRegister(counters.decisions, counters.trials, counters.writes)
	return counters
}

// RequestDecided implements quarantine.Observer.
func (m *metrics) RequestDecided(action quarantine.Action) {
	if m.enabled() {
		m.quarantine.decisions.WithLabelValues(action.String()).Inc()
	}
}

// TrialEnded implements quarantine.Observer.
func (m *metrics) TrialEnded(result quarantine.TrialResult) {
	if m.enabled() {
		m.quarantine.trials.WithLabelValues(result.String()).Inc()
	}
}

// RecordWritten implements quarantine.Observer.
func (m *metrics) RecordWritten(err error) {
	if !m.enabled() {
		return
	}
	result := "ok"
	switch {
	case errors.Is(err, quarantine.ErrConflict):
		result = "changed"
	case err != nil:
		result = "failed"
	}
	m.quarantine.writes.WithLabelValues(result).Inc()
}
