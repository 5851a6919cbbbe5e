package endpoints

import "time"

const (
	// settleTime is how long after an outage of the store the list may lack servers
	// that are alive: entries that ran out meanwhile are back within about two seconds.
	settleTime = 2200 * time.Millisecond
	// shortGrowth is the growth since the list was read, in parts of it, that shows
	// that it was short.
	shortGrowth = 0.25
	// growthPause is how long a list that was short has to stay as it is to be taken
	// for whole; changes are read in batches.
	growthPause = 500 * time.Millisecond
)

// settling is what is known of a list of servers that was read after an outage of
// the store. The zero value is a list that is whole.
type settling struct {
	// until is when the list is whole at the latest.
	until time.Time
	// listed is how many servers were in the list, added how many have come since.
	listed, added int
	addedAt       time.Time
}

// add notes a server that is new.
func (s *settling) add(now time.Time) {
	if now.Before(s.until) {
		s.added++
		s.addedAt = now
	}
}

// growing reports whether the list was short and still grows.
func (s *settling) growing(now time.Time) bool {
	return now.Before(s.until) && float64(s.added) > shortGrowth*float64(s.listed) && now.Sub(s.addedAt) < growthPause
}

// unsettle notes that the list in force was read after an outage of the store.
func (d *Directory) unsettle(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settling = settling{until: now.Add(settleTime), listed: len(d.byID)}
}

// Settling reports whether servers that are alive may be missing.
func (d *Directory) Settling(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return now.Before(d.settling.until)
}

// Growing reports whether the list is short: the few servers that are known would
// get the requests of all.
func (d *Directory) Growing(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.settling.growing(now)
}

// lapsedShare is the part of the known servers that has to be missing in a list after
// an outage for their entries to have run out together: servers do not end in such
// numbers while the store is away.
const lapsedShare = 0.25

// ReplaceAfterOutage is Replace for a list that was read after an outage of the
// store. If many of the servers known before are missing, they are kept until the
// list is whole (see DropUnlisted): they have had no way to stay in it, and none of
// them has said that it leaves.
func (d *Directory) ReplaceAfterOutage(servers []Server, now time.Time) []string {
	if !d.lapsed(servers) {
		removed := d.Replace(servers, now)
		d.unsettle(now)
		return removed
	}
	for _, server := range servers {
		d.Put(server, now)
	}
	d.markUnlisted(servers)
	d.unsettle(now)
	return nil
}

// lapsed reports whether many servers that are known are missing in the list.
func (d *Directory) lapsed(servers []Server) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kept := 0
	for _, server := range servers {
		if _, known := d.byID[server.ID]; known {
			kept++
		}
	}
	missing := len(d.byID) - kept
	return missing > 0 && float64(missing) >= lapsedShare*float64(len(d.byID))
}

func (d *Directory) markUnlisted(servers []Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
	}
	for id, endpoint := range d.byID {
		endpoint.unlisted = !listed[id]
	}
}

// DropUnlisted forgets the servers that are still missing once the list is whole: a
// server that is not back by then is gone. It returns their ids.
func (d *Directory) DropUnlisted(now time.Time) []string {
	if d.Settling(now) {
		return nil
	}
	var missing []string
	d.mutex.Lock()
	for id, endpoint := range d.byID {
		if endpoint.unlisted {
			missing = append(missing, id)
		}
	}
	d.mutex.Unlock()
	for _, id := range missing {
		d.Remove(id)
	}
	return missing
}
