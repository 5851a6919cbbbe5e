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

// Unsettle notes that the list in force was read after an outage of the store.
func (d *Directory) Unsettle(now time.Time) {
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
