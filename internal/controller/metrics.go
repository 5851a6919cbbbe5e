package controller

import "github.com/prometheus/client_golang/prometheus"

// metrics are the controller's metrics.
type metrics struct {
	leading  prometheus.Gauge
	missing  prometheus.Gauge
	writes   *prometheus.CounterVec
	accepted *prometheus.CounterVec
}

// The results of a write.
const (
	resultWritten   = "written"
	resultConflict  = "conflict"
	resultUncertain = "uncertain"
	resultFailed    = "failed"
)

func newMetrics(registry prometheus.Registerer) *metrics {
	created := &metrics{
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "driftstage_controller_leading_info",
			Help: "1 while this node holds the lease.",
		}),
		missing: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "driftstage_controller_missing_services",
			Help: "Services in force that the Object API does not hold, though nobody deleted them.",
		}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "driftstage_controller_writes_total",
			Help: "Writes to the Object API by result; an uncertain one may have taken effect.",
		}, []string{"result"}),
		accepted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "driftstage_controller_judged_total",
			Help: "Generations judged, by whether they were accepted.",
		}, []string{"accepted"}),
	}
	registry.MustRegister(created.leading, created.missing, created.writes, created.accepted)
	return created
}
