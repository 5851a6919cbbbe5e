package endpoints

import "github.com/driftstage/driftstage/internal/catalog"

// Diff returns the changes that turn the listed servers into the given ones.
func (d *Directory) Diff(servers []Server) []catalog.Change[Server] {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var changes []catalog.Change[Server]
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		if known, found := d.byID[server.ID]; !found || !known.removeAt.IsZero() || known.Server != server {
			changes = append(changes, catalog.Change[Server]{Name: server.ID, Value: server})
		}
	}
	for id := range d.byID {
		if !listed[id] {
			changes = append(changes, catalog.Change[Server]{Name: id, Removed: true})
		}
	}
	return changes
}

// ListedServers returns the servers of the latest list, without those that were missing in it
// and are kept only until it is complete.
func (d *Directory) ListedServers() []Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.listed()
}
