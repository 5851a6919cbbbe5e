package owner

import "github.com/prometheus/client_golang/prometheus"

var (
	queuedDesc   = newServerDesc("driftstage_owner_queue_attempts", "Attempts waiting for the server.")
	inFlightDesc = newServerDesc("driftstage_owner_in_flight_attempts", "Attempts sent that the server may still work for.")
	windowDesc   = newServerDesc("driftstage_owner_window_attempts", "Attempts that may be under way at a time.")
	drainingDesc = newServerDesc("driftstage_owner_draining_servers", "1 when the server gets no new work.")
	ejectedDesc  = newServerDesc("driftstage_owner_ejected_servers", "1 when the server gets one probe at a time.")
)

func newServerDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, []string{"service", "server"}, nil)
}

// Describe implements prometheus.Collector.
func (manager *Manager) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{queuedDesc, inFlightDesc, windowDesc, drainingDesc, ejectedDesc} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector with the state of each managed server.
func (manager *Manager) Collect(metrics chan<- prometheus.Metric) {
	manager.mutex.Lock()
	servers := make(map[serverKey]*server, len(manager.servers))
	for key, server := range manager.servers {
		servers[key] = server
	}
	manager.mutex.Unlock()
	for key, server := range servers {
		load := server.load()
		gauge := func(description *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, key.service, key.server)
		}
		gauge(queuedDesc, float64(load.Queued))
		gauge(inFlightDesc, float64(load.InFlight))
		gauge(windowDesc, float64(load.Window))
		gauge(drainingDesc, boolToFloat(load.Draining))
		gauge(ejectedDesc, boolToFloat(load.Ejected))
	}
}

func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
