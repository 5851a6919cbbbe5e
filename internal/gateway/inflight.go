package gateway

import (
	"sync"

	"github.com/driftstage/driftstage/internal/config"
)

// inFlight counts the queries in flight of each service.
type inFlight struct {
	mutex  sync.Mutex
	counts map[string]int
	sum    int
}

// acquire counts a query and returns true, unless the service is at its limit.
func (counter *inFlight) acquire(service *config.Service) bool {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	if counter.counts == nil {
		counter.counts = make(map[string]int)
	}
	if counter.counts[service.Name] >= service.Spec.Limits.InFlight {
		return false
	}
	counter.counts[service.Name]++
	counter.sum++
	return true
}

func (counter *inFlight) release(service *config.Service) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.counts[service.Name]--
	if counter.counts[service.Name] == 0 {
		delete(counter.counts, service.Name)
	}
	counter.sum--
}

func (counter *inFlight) total() int {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return counter.sum
}
