package platform

import "sync"

// ClientHeader is the request header that carries the client's name.
const ClientHeader = "Driftstage-Client"

// ClientStats are the counters of one client.
type ClientStats struct {
	// Reads counts lists and gets, Watches the watches started.
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// OpenWatches is the number of open watches. A watch closed by the client
	// is counted until the next event or bookmark.
	OpenWatches int `json:"openWatches"`
	// Waiting is the number of requests currently blocked by Hang or HangWrites.
	Waiting int `json:"waiting"`
	// Conflicts counts responses with 409.
	Conflicts int64 `json:"conflicts"`
}

// statistics holds the counters by client name.
type statistics struct {
	mutex   sync.Mutex
	clients map[string]*ClientStats
}

func newStatistics() *statistics {
	return &statistics{clients: make(map[string]*ClientStats)}
}

func (statistics *statistics) record(client string, count func(*ClientStats)) {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	stats, found := statistics.clients[client]
	if !found {
		stats = &ClientStats{}
		statistics.clients[client] = stats
	}
	count(stats)
}

func (statistics *statistics) snapshot() map[string]ClientStats {
	statistics.mutex.Lock()
	defer statistics.mutex.Unlock()
	result := make(map[string]ClientStats, len(statistics.clients))
	for name, stats := range statistics.clients {
		result[name] = *stats
	}
	return result
}
