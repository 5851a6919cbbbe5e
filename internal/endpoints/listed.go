package endpoints

// ListedServers returns the servers that the list holds: those that were missing in the latest
// one, and are kept only until it is whole, are left out.
func (d *Directory) ListedServers() []Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	servers := make([]Server, 0, len(d.byID))
	for _, endpoint := range d.byID {
		if endpoint.goneAt.IsZero() {
			servers = append(servers, endpoint.Server)
		}
	}
	return servers
}
