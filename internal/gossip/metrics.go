package gossip

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Traffic counts the datagrams of a node; bytes exclude UDP and IP headers.
type Traffic struct {
	SentDatagrams, SentBytes         uint64
	ReceivedDatagrams, ReceivedBytes uint64
}

type metrics struct {
	sentDatagrams, sentBytes         atomic.Uint64
	receivedDatagrams, receivedBytes atomic.Uint64
	malformed                        prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	metrics := &metrics{malformed: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "driftstage_gossip_malformed_datagrams",
		Help: "Datagrams that could not be understood.",
	})}
	if registry == nil {
		return metrics
	}
	registry.MustRegister(
		metrics.malformed,
		counter("driftstage_gossip_sent_datagrams", "Datagrams sent.", &metrics.sentDatagrams),
		counter("driftstage_gossip_sent_bytes", "Bytes sent in datagrams.", &metrics.sentBytes),
		counter("driftstage_gossip_received_datagrams", "Datagrams received.", &metrics.receivedDatagrams),
		counter("driftstage_gossip_received_bytes", "Bytes received in datagrams.", &metrics.receivedBytes),
	)
	return metrics
}

func counter(name, help string, value *atomic.Uint64) prometheus.CounterFunc {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value.Load()) })
}

func (metrics *metrics) sent(bytes int) {
	metrics.sentDatagrams.Add(1)
	metrics.sentBytes.Add(uint64(bytes))
}

func (metrics *metrics) received(bytes int) {
	metrics.receivedDatagrams.Add(1)
	metrics.receivedBytes.Add(uint64(bytes))
}

// Traffic returns the counts since the node was created.
func (node *Node) Traffic() Traffic {
	return Traffic{
		SentDatagrams:     node.metrics.sentDatagrams.Load(),
		SentBytes:         node.metrics.sentBytes.Load(),
		ReceivedDatagrams: node.metrics.receivedDatagrams.Load(),
		ReceivedBytes:     node.metrics.receivedBytes.Load(),
	}
}
