package endpoints

import (
	"time"

	"github.com/driftstage/driftstage/internal/routing"
)

// Prospect is the expected reliability of one service for a request.
type Prospect struct {
	// Failing is the share of requests that the most reliable server of the service
	// failed or refused recently.
	Failing float64
	// Extra is how many sends after the first the retry budget allows; it may be
	// negative.
	Extra float64
}

// Prospect returns the expected reliability of the service for a request of the route that
// starts now. Servers without recent observations are assumed to be reliable.
func (d *Directory) Prospect(name string, route *routing.Route, now time.Time) Prospect {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	prospect := Prospect{Failing: 1, Extra: d.service(name).extra.Left(d.budget, now)}
	for _, endpoint := range d.currentlyAdmitted(name) {
		if endpoint.serving() && d.allowed(endpoint, route) {
			prospect.Failing = min(prospect.Failing, endpoint.failures.recent(now))
		}
	}
	return prospect
}
