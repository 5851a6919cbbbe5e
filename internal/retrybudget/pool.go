package retrybudget

import (
	"sync"
	"time"
)

// SendCounts are counts of extra sends by service, as requested from a pool or granted by it.
type SendCounts map[string]int

// Pool grants extra sends to the nodes that share it. For each service, it grants at most
// the capacity in any period of the window plus GrantTTL, because grants may be used up to
// GrantTTL later. The zero value grants nothing. It is safe for
// concurrent use.
//
// A pool starts without its capacity: the pool that it replaces may just have granted all
// of its own.
type Pool struct {
	mutex    sync.Mutex
	limits   Limits
	budgets  map[string]*Budget
	openedAt time.Time
}

// SetLimits sets the capacity of each service and the window.
func (p *Pool) SetLimits(capacity float64, window time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limits.Capacity, p.limits.Window = capacity, window+GrantTTL
}

// Grant returns the extra sends granted of those wanted. The first call, even one that wants
// nothing, opens the pool.
func (p *Pool) Grant(wanted SendCounts, now time.Time) SendCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.openedAt.IsZero() {
		p.openedAt = now
		p.limits.Started = now
		p.budgets = make(map[string]*Budget)
	}
	granted := make(SendCounts, len(wanted))
	for service, count := range wanted {
		if taken := p.take(service, count, now); taken > 0 {
			granted[service] = taken
		}
	}
	return granted
}

// take charges up to the given number of sends to a service's budget and returns how many.
func (p *Pool) take(service string, count int, now time.Time) int {
	budget := p.budgets[service]
	if budget == nil {
		budget = &Budget{}
		p.budgets[service] = budget
	}
	taken := 0
	for taken < count && budget.Take(p.limits, now) {
		taken++
	}
	return taken
}
