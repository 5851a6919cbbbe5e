package edge

import (
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/ingress"
	"github.com/driftstage/driftstage/internal/listener"
	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/telemetry"
	"github.com/driftstage/driftstage/internal/upstream"
)

// namespace is the prefix of every metric, named driftstage_component_noun_unit.
const namespace = "driftstage"

// requestBuckets are the upper bounds of the latency histogram, in seconds.
var requestBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 15}

// metrics holds the counters of the node. It is disabled if the node has no metrics address.
type metrics struct {
	registry      *prometheus.Registry
	finished      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	missingShards prometheus.Counter
	attempts      *prometheus.CounterVec
	held          *prometheus.CounterVec
	deferred      *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
	// unreadable counts objects of the store that cannot be decoded.
	unreadable   *prometheus.CounterVec
	lostAttempts *prometheus.CounterVec
	// limits counts the callers that met a limit.
	limits   *prometheus.CounterVec
	rollouts rolloutCounters
	// quarantine counts the decisions on requests that crash servers.
	quarantine quarantineCounters

	mutex sync.Mutex
	// lastRead is the time of the last successful read of each feed, freshAt the time before which no
	// change of it is missing.
	lastRead, freshAt map[string]time.Time
}

func newMetrics(node *Node, logs Logs) *metrics {
	if node.settings.MetricsAddress == "" {
		return &metrics{}
	}
	counters := &metrics{
		registry:      telemetry.NewRegistry(),
		lastRead:      make(map[string]time.Time),
		freshAt:       make(map[string]time.Time),
		finished:      counterVector("request", "finished_total", "Requests by their end.", "gather", "status", "cause"),
		missingShards: counter("request", "missing_shards_total", "Shards left out of answers."),
		attempts:      counterVector("attempt", "ended_total", "Attempts at servers by reason and result.", "reason", "result"),
		held:          counterVector("request", "held_total", "Requests that waited before anything was sent, by cause.", "cause"),
		deferred:      counterVector("attempt", "deferred_total", "Sends that had to wait, by cause.", "cause"),
		storeCalls:    counterVector("store", "calls_total", "Calls to the store by feed and result.", "feed", "result"),
		unreadable:    counterVector("store", "unreadable_objects_total", "Objects read from the store that could not be understood, by feed.", "feed"),
		lostAttempts:  counterVector("attempt", "lost_with_server_total", "Attempts that were lost because their server ended, by service.", "service"),
		limits:        counterVector("caller", "limits_total", "Callers that met a limit, by limit and by what was done.", "limit", "action"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: "request", Name: "duration_seconds",
			Help: "Time from the arrival of a request to its final answer.", Buckets: requestBuckets,
		}, []string{"gather"}),
	}
	counters.registry.MustRegister(counters.finished, counters.missingShards, counters.attempts, counters.held, counters.deferred, counters.storeCalls, counters.unreadable, counters.lostAttempts, counters.limits, counters.duration)
	counters.quarantine = newQuarantineCounters(counters.registry)
	if node.tracker != nil {
		counters.rollouts = newRolloutCounters(counters.registry)
		counters.registry.MustRegister(rolloutCollector{node.tracker})
	}
	counters.registerGauges(node, logs)
	return counters
}

func (m *metrics) registerGauges(node *Node, logs Logs) {
	for _, gauge := range []struct {
		component, name, help string
		value                 func() float64
	}{
		{"configuration", "version", "Version of the configuration in force; 0 for none.", func() float64 { return float64(node.state.version()) }},
		{"server", "known_count", "Servers in the list.", func() float64 { return float64(node.directory.Count()) }},
		{"request", "memory_held_bytes", "Memory in use for requests and answers.", func() float64 { return float64(node.clients.Memory.Held()) }},
		{"request", "memory_limit_bytes", "Limit of the memory for requests and answers; 0 for none.", func() float64 { return float64(node.clients.Memory.Limit()) }},
		{"caller", "connections_limit_count", "Limit of the open connections of callers; 0 for none.", func() float64 { return float64(node.clients.Connections) }},
		{"caller", "unread_answers_count", "Answers that callers have not read completely.", func() float64 { return float64(node.server.Writing()) }},
		{"caller", "connections_count", "Open connections of callers.", func() float64 { return float64(node.server.Connections()) }},
		{"server", "idle_connections_count", "Idle connections to servers.", func() float64 { return float64(node.client.IdleCount()) }},
		{"request", "under_way_count", "Requests without final answer.", func() float64 { return float64(node.server.InFlight()) }},
		{"node", "ready_status", "1 while the node takes new connections.", func() float64 { return boolToFloat(node.state.ready()) }},
		{"log", "dropped_lines_count", "Log lines lost to a slow reader since the start.", logs.dropped},
		{"log", "left_out_requests_count", "Requests whose lines were left out by the bounds since the start.", logs.omitted},
		{"store", "tables_age_seconds", "Time since the configuration was last read.", func() float64 { return m.age(m.lastRead, feedTables) }},
		{"store", "tables_fresh_age_seconds", "Time since the known configuration was the store's latest for certain; -1 if that is unknown.", func() float64 { return m.age(m.freshAt, feedTables) }},
		{"store", "servers_fresh_age_seconds", "Time since the known servers were the store's latest for certain; -1 if that is unknown.", func() float64 { return m.age(m.freshAt, feedServers) }},
		{"server", "evacuated_zones_count", "Zones whose servers get nothing new.", func() float64 { return float64(len(node.directory.Evacuated())) }},
		{"server", "silent_zones_count", "Zones that are out of reach.", func() float64 { return float64(len(node.directory.UnreachableZones())) }},
		{"quarantine", "records_count", "Requests under which servers ended that this node knows.", func() float64 { return float64(len(node.quarantine.Describe())) }},
		{"store", "era_number", "Era of the store; it rises each time that the store comes back from a copy.", func() float64 { return float64(node.store.Eras().Latest()) }},
		{"server", "doubted_entries_count", "Entries of a restored store that contradict what is known and don't count yet.", func() float64 {
			unconfirmed, _ := node.directory.UnconfirmedCounts()
			return float64(unconfirmed)
		}},
		{"store", "servers_age_seconds", "Time since the servers were last read.", func() float64 { return m.age(m.lastRead, feedServers) }},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: gauge.component, Name: gauge.name, Help: gauge.help,
		}, gauge.value))
	}
}

func counter(component, name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: component, Name: name, Help: help})
}

func counterVector(component, name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: component, Name: name, Help: help}, labels)
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (m *metrics) enabled() bool { return m.registry != nil }

// RequestFinished implements dispatch.Observer.
func (m *metrics) RequestFinished(gather bool, outcome *exchange.Outcome, elapsed time.Duration) {
	if !m.enabled() {
		return
	}
	label := strconv.FormatBool(gather)
	m.finished.WithLabelValues(label, outcome.Status.String(), string(outcome.Cause)).Inc()
	m.duration.WithLabelValues(label).Observe(elapsed.Seconds())
	if outcome.Status == exchange.StatusAnswered {
		m.missingShards.Add(float64(outcome.Missing))
	}
}

// RequestAbandoned implements dispatch.Observer.
func (m *metrics) RequestAbandoned(gather bool) {
	if m.enabled() {
		m.finished.WithLabelValues(strconv.FormatBool(gather), "abandoned", "caller_hung_up").Inc()
	}
}

func (m *metrics) limitReached(limit ingress.Limit, action ingress.Action) {
	if m.enabled() {
		m.limits.WithLabelValues(string(limit), string(action)).Inc()
	}
}

// AttemptEnded implements dispatch.Observer.
func (m *metrics) AttemptEnded(reason exchange.Reason, kind upstream.Kind) {
	if m.enabled() {
		m.attempts.WithLabelValues(reason.String(), kind.String()).Inc()
	}
}

// RequestHeld implements dispatch.Observer.
func (m *metrics) RequestHeld(hold exchange.Hold) {
	if m.enabled() {
		m.held.WithLabelValues(hold.String()).Inc()
	}
}

// SendDeferred implements dispatch.Observer.
func (m *metrics) SendDeferred(cause endpoints.Availability) {
	if m.enabled() {
		m.deferred.WithLabelValues(cause.String()).Inc()
	}
}

// AttemptsLost implements quarantine.Observer.
func (m *metrics) AttemptsLost(service string, count int) {
	if m.enabled() {
		m.lostAttempts.WithLabelValues(service).Add(float64(count))
	}
}

// StoreCalled implements catalog.Observer.
func (m *metrics) StoreCalled(feed string, err error) {
	if !m.enabled() {
		return
	}
	m.storeCalls.WithLabelValues(feed, string(catalog.OutcomeOf(err))).Inc()
	if err == nil {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.lastRead[feed] = time.Now()
	}
}

// StateFresh implements catalog.Observer.
func (m *metrics) StateFresh(feed string, freshAt time.Time) {
	if !m.enabled() {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if freshAt.IsZero() {
		delete(m.freshAt, feed)
		return
	}
	m.freshAt[feed] = freshAt
}

// ObjectUnreadable implements catalog.Observer.
func (m *metrics) ObjectUnreadable(feed string, _ catalog.DecodeFailure) {
	if m.enabled() {
		m.unreadable.WithLabelValues(feed).Inc()
	}
}

// age returns the seconds since the time of the feed, or -1 if it has none.
func (m *metrics) age(times map[string]time.Time, feed string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	at, found := times[feed]
	if !found {
		return -1
	}
	return time.Since(at).Seconds()
}

// serveMetrics serves the metrics and the administrative interface, if they have an address.
func (n *Node) serveMetrics(failed chan<- error) error {
	if !n.metrics.enabled() {
		return nil
	}
	listening, err := listener.Listen(n.settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	admin := telemetry.NewAdmin(telemetry.AdminOptions{
		Registry:       n.metrics.registry,
		NotReadyReason: n.state.notReadyReason,
		State:          func() any { return n.state.describe() },
		Commands:       map[string]func(*fasthttp.Args) error{quarantine.ReleasePath: n.release},
	})
	go func() { failed <- admin.Serve(listening) }()
	return nil
}
