package endpoints

import (
	"time"

	"github.com/driftstage/driftstage/internal/routing"
)

// Prospect is what a request has to expect of one service.
type Prospect struct {
	// Failing is the share of requests that the most reliable of its servers has failed or
	// refused lately.
	Failing float64
	// Extra is how many sends beyond the first the retry budget allows; it may be
	// negative.
	Extra float64
}

// Prospect returns what a request of the route that starts now has to expect of the
// service. Servers of which nothing is known, or nothing was heard for long, are taken
// to be reliable.
func (d *Directory) Prospect(name string, route *routing.Route, now time.Time) Prospect {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	prospect := Prospect{Failing: 1, Extra: d.service(name).extra.Left(d.budget, now)}
	for _, endpoint := range d.usable(name) {
		if endpoint.open() && d.allowed(endpoint, route) {
			prospect.Failing = min(prospect.Failing, endpoint.failures.recent(now))
		}
	}
	return prospect
}
