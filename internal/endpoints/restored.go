package endpoints

import (
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

// retiredServer is a server that has ended.
type retiredServer struct {
	created catalog.Revision
	endedAt time.Time
}

// unconfirmedEntry is an entry of a restored list that shows a server as ready although it is
// known to be draining or to have ended: the entry may be from before that.
type unconfirmedEntry struct {
	entry Server
	// until is when the entry takes effect if it still exists: the entry of a server that has
	// ended expires before.
	until time.Time
}

// retire removes a server that has ended and remembers it; the mutex is held.
func (d *Directory) retire(endpoint *Endpoint, now time.Time) {
	d.remove(endpoint)
	d.retired[endpoint.incarnation] = retiredServer{created: endpoint.Created, endedAt: now}
}

// ReplaceRestored applies the list of a registry that was restored from a backup and returns
// the incarnations that have ended. Servers that the backup lacks have as much time to register
// again as after an outage. Entries that the backup has brought back take effect once they
// have existed for as long.
func (d *Directory) ReplaceRestored(servers []Server, now time.Time) []string {
	ended := d.putAll(d.consistent(servers, now), now)
	d.markUnlisted(servers, now)
	d.startSettling(false, now)
	return ended
}

// consistent returns the servers that do not contradict the known state and stores the others
// as unconfirmed.
func (d *Directory) consistent(servers []Server, now time.Time) []Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.unconfirmed)
	var consistent []Server
	for _, server := range servers {
		if d.contradicts(server) {
			d.unconfirmed[server.ID] = unconfirmedEntry{entry: server, until: now.Add(settleTime)}
		} else {
			consistent = append(consistent, server)
		}
	}
	return consistent
}

// contradicts reports whether the entry shows the server as ready although it is known to be
// draining or to have ended.
func (d *Directory) contradicts(server Server) bool {
	if server.Draining {
		return false
	}
	if known, found := d.byID[server.ID]; found {
		return known.Draining && !server.startedAfter(known.Server)
	}
	_, ended := d.retired[server.Incarnation()]
	return ended
}

// isUnconfirmed reports whether an entry has no effect yet. A changed entry shows that its server is
// alive.
func (d *Directory) isUnconfirmed(server Server, now time.Time) bool {
	unconfirmed, found := d.unconfirmed[server.ID]
	if !found {
		return false
	}
	if unconfirmed.entry == server && now.Before(unconfirmed.until) {
		return true
	}
	delete(d.unconfirmed, server.ID)
	return false
}

// UnconfirmedCounts returns how many entries have no effect yet because they contradict the known
// state, and how many servers are missing in the list and temporarily kept.
func (d *Directory) UnconfirmedCounts() (unconfirmed, missing int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, endpoint := range d.byID {
		if !endpoint.removeAt.IsZero() {
			missing++
		}
	}
	return len(d.unconfirmed), missing
}

// applyConfirmed applies the entries that have existed for long enough, and forgets servers that
// ended long ago.
func (d *Directory) applyConfirmed(now time.Time) {
	for _, server := range d.confirmed(now) {
		d.Put(server, now)
	}
	d.forgetRetired(now)
}

func (d *Directory) forgetRetired(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for incarnation, retired := range d.retired {
		if now.Sub(retired.endedAt) > catalog.MaxBackupAge {
			delete(d.retired, incarnation)
		}
	}
}

// confirmed returns the unconfirmed entries that take effect from now on.
func (d *Directory) confirmed(now time.Time) []Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var servers []Server
	for _, unconfirmed := range d.unconfirmed {
		if !now.Before(unconfirmed.until) {
			servers = append(servers, unconfirmed.entry)
		}
	}
	return servers
}

// listed returns the entries of the latest list; the mutex is held.
func (d *Directory) listed() []Server {
	servers := make([]Server, 0, len(d.byID)+len(d.unconfirmed))
	for id, endpoint := range d.byID {
		if _, unconfirmed := d.unconfirmed[id]; !unconfirmed && endpoint.removeAt.IsZero() {
			servers = append(servers, endpoint.Server)
		}
	}
	for _, unconfirmed := range d.unconfirmed {
		servers = append(servers, unconfirmed.entry)
	}
	return servers
}
