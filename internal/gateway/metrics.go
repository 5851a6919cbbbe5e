package gateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/driftstage/driftstage/internal/scatter"
)

// metrics holds the metrics of queries and their mean duration per service.
type metrics struct {
	duration *prometheus.HistogramVec
	shards   *prometheus.CounterVec

	mutex sync.Mutex
	// meanDuration is the exponentially weighted mean of the query duration by service.
	meanDuration map[string]time.Duration
}

const (
	// meanDurationDivisor sets the weight of one query in the mean to 1/16.
	meanDurationDivisor = 16
	// minRetryAfter is the shortest delay sent to a refused caller.
	minRetryAfter = 10 * time.Millisecond
	// outcomeAnswered is the code label of queries without a failure.
	outcomeAnswered = "answered"
)

func newMetrics(registry prometheus.Registerer) *metrics {
	metrics := &metrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "driftstage_gateway_query_duration_seconds",
			Help:    "Time from the arrival of a query to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 22),
		}, []string{"service", "verdict", "code"}),
		shards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "driftstage_gateway_shards_total",
			Help: "Shards asked for by queries, covered or missing.",
		}, []string{"service", "covered"}),
		meanDuration: make(map[string]time.Duration),
	}
	registry.MustRegister(metrics.duration, metrics.shards)
	return metrics
}

func (metrics *metrics) observe(query scatter.Query, gathered scatter.Answer, elapsed time.Duration) {
	// Unknown service names come from callers and would make the label unbounded.
	service := ""
	if query.Service != nil {
		service = query.Service.Name
	}
	code := outcomeAnswered
	if gathered.Failure != nil {
		code = string(gathered.Failure.Code)
	}
	metrics.duration.WithLabelValues(service, gathered.Verdict.String(), code).Observe(elapsed.Seconds())
	if gathered.Coverage.Shards == 0 {
		return
	}
	metrics.shards.WithLabelValues(service, "true").Add(float64(gathered.Coverage.Covered))
	metrics.shards.WithLabelValues(service, "false").Add(float64(gathered.Coverage.Shards - gathered.Coverage.Covered))
	metrics.updateMean(service, elapsed)
}

func (metrics *metrics) updateMean(service string, elapsed time.Duration) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	mean, found := metrics.meanDuration[service]
	if !found {
		mean = elapsed
	}
	metrics.meanDuration[service] = mean + (elapsed-mean)/meanDurationDivisor
}

// expectedDuration estimates the time until a query in flight finishes.
func (metrics *metrics) expectedDuration(service string) time.Duration {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	return max(minRetryAfter, metrics.meanDuration[service])
}
