package platform

import "sync"

// ClientHeader is the request header by which a client gives its name.
const ClientHeader = "Driftstage-Client"

// ClientStats counts what one client did.
type ClientStats struct {
	// Reads counts lists and gets, Watches the watches begun.
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// OpenWatches is the number of watches open now. A watch that the client
	// left is noticed at the next event or bookmark.
	OpenWatches int `json:"openWatches"`
	// Waiting is the number of requests held by a hang now.
	Waiting int `json:"waiting"`
	// Conflicts counts refusals with 409.
	Conflicts int64 `json:"conflicts"`
}

// statistics counts by the client's name.
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
