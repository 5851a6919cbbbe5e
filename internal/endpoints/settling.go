package endpoints

import "time"

// settleTime is how long after a store outage the list may lack servers that are
// alive: entries that expired meanwhile are back within about two seconds.
const settleTime = 2200 * time.Millisecond

// startSettling records that the current list was read after a store outage; first
// is set if no servers were known before.
func (d *Directory) startSettling(first bool, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settledAt = now.Add(settleTime)
	d.firstList = first
	for _, svc := range d.services {
		svc.growth = listGrowth{listed: len(svc.endpoints)}
	}
}

// ListIncomplete reports whether servers that are alive may be missing in the list.
func (d *Directory) ListIncomplete(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return now.Before(d.settledAt)
}

// WatchResumed records that the watch of the list goes on after a store outage. An incomplete
// first list stays marked as such if the store fails again before it has settled.
func (d *Directory) WatchResumed(now time.Time) {
	d.mutex.Lock()
	first := d.firstList && now.Before(d.settledAt)
	d.mutex.Unlock()
	d.startSettling(first, now)
}

// massExpiryShare is the share of the known servers that has to be missing in a list after
// an outage to conclude that their entries expired together: servers do not end in such
// numbers while the store is unavailable.
const massExpiryShare = 0.25

// ReplaceAfterOutage is Replace for a list that was read after a store outage. If many of the
// known servers are missing, they are kept until the list is complete (see DropUnlisted): they
// could not renew their entries, and none of them has announced that it leaves.
func (d *Directory) ReplaceAfterOutage(servers []Server, now time.Time) []string {
	first := d.Count() == 0
	if !d.massExpiry(servers) {
		removed := d.Replace(servers, now)
		d.startSettling(first, now)
		return removed
	}
	ended := d.putAll(servers, now)
	d.markUnlisted(servers, now)
	d.startSettling(first, now)
	return ended
}

// massExpiry reports whether many known servers are missing in the list.
func (d *Directory) massExpiry(servers []Server) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kept := 0
	for _, server := range servers {
		if _, known := d.byID[server.ID]; known {
			kept++
		}
	}
	missing := len(d.byID) - kept
	return missing > 0 && float64(missing) >= massExpiryShare*float64(len(d.byID))
}

func (d *Directory) markUnlisted(servers []Server, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
	}
	for id, endpoint := range d.byID {
		if !listed[id] {
			endpoint.removeLater(now.Add(settleTime))
		}
	}
}

// Deregister handles the removal of a server's entry. It returns the incarnation that was removed
// from the directory, if one was. While the list settles after an outage, entries expire because
// their servers could not renew them: such servers are kept until the list is complete, as in
// ReplaceAfterOutage. A server that has announced that it leaves is not kept.
func (d *Directory) Deregister(id string, now time.Time) (removed string, known bool) {
	if d.keepUnlisted(id, now) {
		return "", false
	}
	return d.removeEnded(id, now)
}

// keepUnlisted marks the server as missing, and returns true, if it may be alive although its
// entry has expired.
func (d *Directory) keepUnlisted(id string, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	endpoint, known := d.byID[id]
	if !known || !endpoint.serving() || !now.Before(d.settledAt) {
		return false
	}
	endpoint.removeLater(d.settledAt)
	return true
}

// removeLater marks the server as missing in the list; it is removed at the given time unless
// it is listed again. A later outage does not postpone that.
func (e *Endpoint) removeLater(at time.Time) {
	if e.removeAt.IsZero() {
		e.removeAt = at
	}
}

// expired reports whether the server has been missing in the list for too long.
func (e *Endpoint) expired(now time.Time) bool {
	return !e.removeAt.IsZero() && !now.Before(e.removeAt)
}

// DropUnlisted removes the servers that have been missing for too long: a server that
// is not listed once the list is complete has ended. It returns their incarnations. It also
// applies the entries and zones of a restored list that are confirmed by now.
func (d *Directory) DropUnlisted(now time.Time) []string {
	d.applyConfirmed(now)
	d.applyConfirmedZones(now)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var missing []string
	for _, endpoint := range d.byID {
		if endpoint.expired(now) {
			d.retire(endpoint, now)
			missing = append(missing, endpoint.incarnation)
		}
	}
	return missing
}
