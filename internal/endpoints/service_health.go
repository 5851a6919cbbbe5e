package endpoints

import (
	"time"

	"github.com/driftstage/driftstage/internal/routing"
)

// ServiceHealth is the expected reliability of one service for a request.
type ServiceHealth struct {
	// FailureRate is the share of requests that the most reliable server of the service
	// failed or refused recently.
	FailureRate float64
	// RetryBudget is how many sends after the first the retry budget allows; it may be
	// negative.
	RetryBudget float64
}

// ServiceHealth returns the expected reliability of the service for a request of the route that
// starts now. Servers without recent observations are assumed to be reliable.
func (d *Directory) ServiceHealth(name string, route *routing.Route, now time.Time) ServiceHealth {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	health := ServiceHealth{FailureRate: 1, RetryBudget: d.service(name).retryBudget.Remaining(d.budgetLimits, now)}
	for _, endpoint := range d.currentlyAdmitted(name) {
		if endpoint.serving() && d.allowed(endpoint, route) {
			health.FailureRate = min(health.FailureRate, endpoint.failures.recent(now))
		}
	}
	return health
}
