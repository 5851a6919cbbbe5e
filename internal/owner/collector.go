package owner

import "github.com/prometheus/client_golang/prometheus"

var (
	queuedMetric = serverMetric("driftstage_owner_queue_attempts", "Attempts waiting for the server.")
	flightMetric = serverMetric("driftstage_owner_in_flight_attempts", "Attempts sent that the server may still work for.")
	windowMetric = serverMetric("driftstage_owner_window_attempts", "Attempts that may be under way at a time.")
	drainMetric  = serverMetric("driftstage_owner_draining_servers", "1 when the server gets no new work.")
	ejectMetric  = serverMetric("driftstage_owner_ejected_servers", "1 when the server gets one probe at a time.")
)

func serverMetric(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, []string{"service", "server"}, nil)
}

// Describe implements prometheus.Collector.
func (manager *Manager) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{queuedMetric, flightMetric, windowMetric, drainMetric, ejectMetric} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector: the state of each server held here.
func (manager *Manager) Collect(metrics chan<- prometheus.Metric) {
	manager.mutex.Lock()
	held := make(map[serverKey]*server, len(manager.servers))
	for key, server := range manager.servers {
		held[key] = server
	}
	manager.mutex.Unlock()
	for key, server := range held {
		load := server.load()
		gauge := func(description *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, key.service, key.server)
		}
		gauge(queuedMetric, float64(load.Queued))
		gauge(flightMetric, float64(load.InFlight))
		gauge(windowMetric, float64(load.Window))
		gauge(drainMetric, oneIf(load.Draining))
		gauge(ejectMetric, oneIf(load.Ejected))
	}
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
