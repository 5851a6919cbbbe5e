package retrybudget

import (
	"sync"
	"time"
)

// Wants are extra sends by service: what a node asks a pool for, or what is granted.
type Wants map[string]int

// Pool grants the extra sends that it has to the nodes that share it. In any window, longer by
// GrantLife than that of the limits, it grants at most the capacity for each service: what is
// granted may be sent a little later. The zero value grants nothing. It is safe for
// concurrent use.
//
// A pool starts without its capacity: where it takes the place of another one, that one may
// have granted all of its own just before.
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
	p.limits.Capacity, p.limits.Window = capacity, window+GrantLife
}

// Grant returns what the pool grants of the wants. A node that wants nothing opens the pool.
func (p *Pool) Grant(wants Wants, now time.Time) Wants {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.openedAt.IsZero() {
		p.openedAt = now
		p.limits.Started = now
		p.budgets = make(map[string]*Budget)
	}
	granted := make(Wants, len(wants))
	for service, count := range wants {
		if given := p.take(service, count, now); given > 0 {
			granted[service] = given
		}
	}
	return granted
}

// take takes up to so many sends off a service's budget.
func (p *Pool) take(service string, count int, now time.Time) int {
	budget := p.budgets[service]
	if budget == nil {
		budget = &Budget{}
		p.budgets[service] = budget
	}
	given := 0
	for given < count && budget.Take(p.limits, now) {
		given++
	}
	return given
}
