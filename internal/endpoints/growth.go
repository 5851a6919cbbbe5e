package endpoints

import "time"

const (
	// shortGrowth is the growth since the list was read, in parts of it, that shows
	// that it was short.
	shortGrowth = 0.25
	// growthPause is how long a list that was short has to stay as it is to be taken
	// for whole; changes are read in batches.
	growthPause = 500 * time.Millisecond
)

// growth counts the servers of one service since its list was read after an outage
// of the store. The zero value is a list without servers.
type growth struct {
	// listed is how many servers were in the list, added how many have come since.
	listed, added int
	addedAt       time.Time
}

// add notes a server that is new.
func (g *growth) add(now time.Time) {
	g.added++
	g.addedAt = now
}

// join adds what is known of another service.
func (g *growth) join(other growth) {
	g.listed += other.listed
	g.added += other.added
	if other.addedAt.After(g.addedAt) {
		g.addedAt = other.addedAt
	}
}

// growing reports whether the list was short and still grows.
func (g *growth) growing(now time.Time) bool {
	return float64(g.added) > shortGrowth*float64(g.listed) && now.Sub(g.addedAt) < growthPause
}

// Growing reports whether the lists of the services are short taken together: the
// few servers that are known would get the requests of all. Servers that come for
// other services, as for the next version of an index, tell nothing of these, and a
// node that has known servers before the outage still has them (see Withdraw).
func (d *Directory) Growing(services []string, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.firstList || !now.Before(d.settledAt) {
		return false
	}
	var joint growth
	for _, name := range services {
		joint.join(d.service(name).growth)
	}
	return joint.growing(now)
}
