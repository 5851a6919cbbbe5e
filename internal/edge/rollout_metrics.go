package edge

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/rollout"
)

// rolloutCounters count the node's findings and its writes of rollout statuses.
type rolloutCounters struct {
	findings *prometheus.CounterVec
	writes   *prometheus.CounterVec
}

func newRolloutCounters(registry *prometheus.Registry) rolloutCounters {
	counters := rolloutCounters{
		findings: counterVector("rollout", "verdicts_total", "Findings of this node on versions that differ from the one before.", "finding"),
		writes:   counterVector("rollout", "writes_total", "Writes of a status by state, stage and result.", "state", "stage", "result"),
	}
	registry.MustRegister(counters.findings, counters.writes)
	return counters
}

// FindingChanged implements rollout.Observer.
func (m *metrics) FindingChanged(_ string, finding rollout.Finding) {
	if m.enabled() {
		m.rollouts.findings.WithLabelValues(finding.String()).Inc()
	}
}

// StatusWritten implements rollout.Observer.
func (m *metrics) StatusWritten(_ string, status rollout.Status, err error) {
	if !m.enabled() {
		return
	}
	result := "ok"
	switch {
	case errors.Is(err, rollout.ErrConflict):
		result = "changed"
	case err != nil:
		result = "failed"
	}
	m.rollouts.writes.WithLabelValues(status.State.String(), status.Stage.String(), result).Inc()
}

// Descriptions of the metrics of rollout orders, by service.
var (
	rolloutState      = rolloutDesc("state", "1 for the state and stage of each order.", "service", "target", "state", "stage")
	rolloutShare      = rolloutDesc("share_ratio", "Share of a service's requests that this node may send to the target now.", "service")
	rolloutRequests   = rolloutDesc("requests_count", "Requests of the service on this node since it learned of the order.", "service")
	rolloutSent       = rolloutDesc("sent_count", "Sends of this node to the target.", "service")
	rolloutAllowed    = rolloutDesc("allowed_count", "Sends to the target that this node may have made by now.", "service")
	rolloutAnswers    = rolloutDesc("answers_count", "Answers since the order, by version and what came of them.", "service", "version", "result")
	rolloutUnreported = rolloutDesc("unreported_seconds", "Age of the oldest answer of the target that no report has told.", "service")
	rolloutAge        = rolloutDesc("orders_age_seconds", "Time since the store told of the orders.")
)

func rolloutDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "rollout", name), help, labels, nil)
}

// rolloutCollector collects the state of the orders when metrics are read.
type rolloutCollector struct{ tracker *rollout.Tracker }

// Describe implements prometheus.Collector.
func (r rolloutCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		rolloutState, rolloutShare, rolloutRequests, rolloutSent, rolloutAllowed, rolloutAnswers, rolloutUnreported, rolloutAge,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (r rolloutCollector) Collect(collected chan<- prometheus.Metric) {
	now := boottime.Time()
	if age, known := r.tracker.Age(now); known {
		collected <- gauge(rolloutAge, age.Seconds())
	}
	for _, usage := range r.tracker.Usages(now) {
		service := usage.Order.Service
		current := usage.Order.Current()
		collected <- gauge(rolloutState, 1, service, string(usage.Order.Target), current.State.String(), current.Stage.String())
		collected <- gauge(rolloutShare, usage.Share, service)
		collected <- gauge(rolloutRequests, float64(usage.Requests), service)
		collected <- gauge(rolloutSent, float64(usage.Sent), service)
		collected <- gauge(rolloutAllowed, float64(usage.Allowed), service)
		collected <- gauge(rolloutUnreported, usage.Unreported.Seconds(), service)
		collectAnswers(collected, service, "old", usage.Old)
		collectAnswers(collected, service, "new", usage.New)
	}
}

func collectAnswers(collected chan<- prometheus.Metric, service, version string, counts rollout.Counts) {
	collected <- gauge(rolloutAnswers, float64(counts.Answers), service, version, "all")
	collected <- gauge(rolloutAnswers, float64(counts.Failed), service, version, "failed")
	collected <- gauge(rolloutAnswers, float64(counts.Slow), service, version, "slow")
}

func gauge(description *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
}
