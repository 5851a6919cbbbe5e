package endpoints

import "time"

const (
	// coldShare is the part of a cold server's rate that all nodes together aim at. What
	// arrives in one second varies around it: with 65 nodes, each with its turn at a
	// time of its own, 8.4 of 12 requests a second are expected in the time of the turns
	// that can reach one second, with a deviation of 2.7, and a server fails at about
	// twice its rate.
	coldShare = 0.5
	// coldTurnTime is how long a node's turn lasts. Turns that went unused do not add
	// up: many nodes would use them together.
	coldTurnTime = 400 * time.Millisecond
	// shortestTurn and longestTurn bound the time between two turns of a node, whatever
	// rate is configured.
	shortestTurn = time.Millisecond
	longestTurn  = time.Hour
)

// chill notes that the server is cold for so long.
func (e *Endpoint) chill(remaining time.Duration, now time.Time) {
	if until := now.Add(remaining); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

func (e *Endpoint) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// mayWarm reports whether the server may get a request for all that is known of its
// start. A cold server whose service names a rate gets one request of each node at a
// time, in turns that are spread over the nodes by a hash: the rate holds for all of
// them together without a word between them, as long as each knows about how many
// they are. A node that has not counted the others has no turns.
func (d *Directory) mayWarm(endpoint *Endpoint, now time.Time) bool {
	owner := d.service(endpoint.Service)
	if owner.coldRate <= 0 || !endpoint.cold(now) {
		return true
	}
	if !d.sharers.Settled {
		return false
	}
	turn, elapsed := d.turn(endpoint, owner.coldRate, now)
	return elapsed < coldTurnTime && turn != endpoint.coldTurn
}

// noteWarming uses up the node's turn at a cold server.
func (d *Directory) noteWarming(endpoint *Endpoint, now time.Time) {
	if rate := d.service(endpoint.Service).coldRate; rate > 0 && endpoint.cold(now) {
		endpoint.coldTurn, _ = d.turn(endpoint, rate, now)
	}
}

// turn returns the number of the node's present turn at a cold server, from 1, and how
// long ago it began.
func (d *Directory) turn(endpoint *Endpoint, rate float64, now time.Time) (int64, time.Duration) {
	nodes := max(d.sharers.Near+d.sharers.Far, 1)
	seconds := float64(nodes) / (coldShare * rate)
	period := time.Duration(min(max(seconds, shortestTurn.Seconds()), longestTurn.Seconds()) * float64(time.Second))
	offset := time.Duration(fraction(d.rank(endpoint.Server)) * float64(period))
	since := now.Sub(d.knownSince) + offset
	return int64(since/period) + 1, since % period
}
