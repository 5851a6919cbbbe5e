package endpoints

import "time"

const (
	// coldShare is the fraction of a cold server's rate that all nodes together aim at. The
	// arrivals within one second vary: with 65 nodes whose turns start at independent
	// times, 8.4 of 12 requests per second are expected from the turns that overlap one
	// second, with a standard deviation of 2.7, and a server fails at about twice its rate.
	coldShare = 0.5
	// coldTurnTime is how long a node's turn lasts. Unused turns do not accumulate, because
	// many nodes would use them at once.
	coldTurnTime = 400 * time.Millisecond
	// minTurnPeriod and maxTurnPeriod bound the time between two turns of a node, whatever
	// rate is configured.
	minTurnPeriod = time.Millisecond
	maxTurnPeriod = time.Hour
)

// markCold records that the server is cold for the remaining time.
func (e *Endpoint) markCold(remaining time.Duration, now time.Time) {
	if until := now.Add(remaining); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

func (e *Endpoint) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// coldStartAllows reports whether the rate for cold servers lets the server get a request.
// If its service has such a rate, each node sends a cold server at most one request per turn,
// and a hash spreads the turns of the nodes over time. The rate then holds for all nodes
// together without coordination, as long as each knows their approximate number. A node that
// has not counted the others has no turns.
func (d *Directory) coldStartAllows(endpoint *Endpoint, now time.Time) bool {
	svc := d.service(endpoint.Service)
	if svc.coldRate <= 0 || !endpoint.cold(now) {
		return true
	}
	if !d.nodes.Known {
		return false
	}
	turn, elapsed := d.turn(endpoint, svc.coldRate, now)
	return elapsed < coldTurnTime && turn != endpoint.lastColdTurn
}

// useColdTurn marks the node's present turn at a cold server as used.
func (d *Directory) useColdTurn(endpoint *Endpoint, now time.Time) {
	if rate := d.service(endpoint.Service).coldRate; rate > 0 && endpoint.cold(now) {
		endpoint.lastColdTurn, _ = d.turn(endpoint, rate, now)
	}
}

// turn returns the number of the node's present turn at a cold server, from 1, and how
// long ago it began.
func (d *Directory) turn(endpoint *Endpoint, rate float64, now time.Time) (int64, time.Duration) {
	count := max(d.nodes.Local+d.nodes.Remote, 1)
	seconds := float64(count) / (coldShare * rate)
	period := time.Duration(min(max(seconds, minTurnPeriod.Seconds()), maxTurnPeriod.Seconds()) * float64(time.Second))
	offset := time.Duration(fraction(d.rank(endpoint.Server)) * float64(period))
	since := now.Sub(d.firstServerAt) + offset
	return int64(since/period) + 1, since % period
}
