package endpoints

import "time"

const (
	// incompleteGrowth is the growth since the list was read, as a fraction of it, that
	// shows that it was incomplete.
	incompleteGrowth = 0.25
	// growthPause is how long an incomplete list has to stay unchanged to be considered
	// complete; changes are read in batches.
	growthPause = 500 * time.Millisecond
)

// listGrowth counts the servers of one service since its list was read after a store
// outage. The zero value is an empty list.
type listGrowth struct {
	// listed is how many servers were in the list, added how many have come since.
	listed, added int
	addedAt       time.Time
}

// add counts a new server.
func (g *listGrowth) add(now time.Time) {
	g.added++
	g.addedAt = now
}

// merge adds the counts of another service.
func (g *listGrowth) merge(other listGrowth) {
	g.listed += other.listed
	g.added += other.added
	if other.addedAt.After(g.addedAt) {
		g.addedAt = other.addedAt
	}
}

// growing reports whether the list was incomplete and still grows.
func (g *listGrowth) growing(now time.Time) bool {
	return float64(g.added) > incompleteGrowth*float64(g.listed) && now.Sub(g.addedAt) < growthPause
}

// ListGrowing reports whether the lists of the services taken together are incomplete, so that
// the few known servers would get all requests. Servers added to other services, such as
// those of the next version of an index, do not count, and a node that knew servers before
// the outage still has them (see Deregister).
func (d *Directory) ListGrowing(services []string, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.firstList || !now.Before(d.settledAt) {
		return false
	}
	var total listGrowth
	for _, name := range services {
		total.merge(d.service(name).growth)
	}
	return total.growing(now)
}
