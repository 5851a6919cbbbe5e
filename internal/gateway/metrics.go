package gateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/driftstage/driftstage/internal/scatter"
)

// metrics are what the gateway counts of queries.
type metrics struct {
	duration *prometheus.HistogramVec
	shards   *prometheus.CounterVec

	mutex sync.Mutex
	// typical holds a decayed mean of the duration of each service's queries.
	typical map[string]time.Duration
}

const (
	// typicalDecay is the weight of one query in the decayed mean: 1/16.
	typicalDecay = 16
	// typicalFloor is the least advice given to a refused caller.
	typicalFloor = 10 * time.Millisecond
	// outcomeAnswered is the code of a query that was answered.
	outcomeAnswered = "answered"
)

func newMetrics(registry prometheus.Registerer) *metrics {
	created := &metrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "driftstage_gateway_query_duration_seconds",
			Help:    "Time from the arrival of a query to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 22),
		}, []string{"service", "verdict", "code"}),
		shards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "driftstage_gateway_shards_total",
			Help: "Shards asked for by queries, covered or missing.",
		}, []string{"service", "covered"}),
		typical: make(map[string]time.Duration),
	}
	registry.MustRegister(created.duration, created.shards)
	return created
}

func (metrics *metrics) observe(query scatter.Query, gathered scatter.Answer, elapsed time.Duration) {
	// Names of unknown services stay out of the labels: callers choose them.
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
	metrics.learn(service, elapsed)
}

func (metrics *metrics) learn(service string, elapsed time.Duration) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	known, found := metrics.typical[service]
	if !found {
		known = elapsed
	}
	metrics.typical[service] = known + (elapsed-known)/typicalDecay
}

// typicalDuration predicts how long it takes until a query under way ends.
func (metrics *metrics) typicalDuration(service string) time.Duration {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	return max(typicalFloor, metrics.typical[service])
}
