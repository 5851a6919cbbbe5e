package endpoints

import (
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/routing"
)

// Sharers are the nodes that share the connections of a server.
type Sharers struct {
	// Near are those of the server's own region, Far all others.
	Near int
	Far  int
}

// Directory holds the endpoints of all services. It is safe for concurrent use.
type Directory struct {
	topology Topology
	// connections may be nil: then no request needs a new connection.
	connections Connections

	mutex    sync.Mutex
	budget   retrybudget.Limits
	sharers  Sharers
	byID     map[string]*Endpoint
	services map[string]*service
}

// service is what the node keeps of one service.
type service struct {
	endpoints      []*Endpoint
	bucket         retrybudget.Bucket
	maxConnections int
	// askedAt is when a request for the service arrived last.
	askedAt time.Time
}

// New returns an empty directory without retry budget. The connections may be nil.
func New(topology Topology, connections Connections) *Directory {
	return &Directory{
		topology:    topology,
		connections: connections,
		sharers:     Sharers{Near: 1, Far: 1},
		byID:        make(map[string]*Endpoint),
		services:    make(map[string]*service),
	}
}

// Put adds the server or replaces what is known of it.
func (directory *Directory) Put(server Server, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if known, found := directory.byID[server.ID]; found {
		known.Server = server
		return
	}
	endpoint := newEndpoint(server, now)
	directory.byID[server.ID] = endpoint
	owner := directory.service(server.Service)
	endpoint.setCeiling(directory.ceiling(owner.maxConnections), now)
	owner.endpoints = append(owner.endpoints, endpoint)
}

// Remove forgets the server: it gets no new requests.
func (directory *Directory) Remove(id string) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	endpoint, found := directory.byID[id]
	if !found {
		return
	}
	delete(directory.byID, id)
	owner := directory.service(endpoint.Service)
	for index, other := range owner.endpoints {
		if other == endpoint {
			owner.endpoints = append(owner.endpoints[:index], owner.endpoints[index+1:]...)
			return
		}
	}
}

// Replace makes the servers the whole content of the directory and returns the
// ids of those that were removed.
func (directory *Directory) Replace(servers []Server, now time.Time) []string {
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		directory.Put(server, now)
	}
	var removed []string
	for _, id := range directory.ids() {
		if !listed[id] {
			directory.Remove(id)
			removed = append(removed, id)
		}
	}
	return removed
}

func (directory *Directory) ids() []string {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	ids := make([]string, 0, len(directory.byID))
	for id := range directory.byID {
		ids = append(ids, id)
	}
	return ids
}

// Configure takes over the connection limits of the table's services.
func (directory *Directory) Configure(table *routing.Table, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for name, configured := range table.Services {
		owner := directory.service(name)
		owner.maxConnections = configured.MaximumConnections
		owner.setCeiling(directory.ceiling(configured.MaximumConnections), now)
	}
}

// Share sets the retry budget of each service and the nodes that share the
// connections of a server.
func (directory *Directory) Share(budget retrybudget.Limits, sharers Sharers, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.budget = budget
	directory.sharers = sharers
	for _, owner := range directory.services {
		owner.setCeiling(directory.ceiling(owner.maxConnections), now)
	}
}

func (owner *service) setCeiling(ceiling float64, now time.Time) {
	for _, endpoint := range owner.endpoints {
		endpoint.setCeiling(ceiling, now)
	}
}

func (directory *Directory) service(name string) *service {
	owner, found := directory.services[name]
	if !found {
		owner = &service{}
		directory.services[name] = owner
	}
	return owner
}

// Count returns the number of servers.
func (directory *Directory) Count() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.byID)
}

// Servers returns all servers as they were listed.
func (directory *Directory) Servers() []Server {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	servers := make([]Server, 0, len(directory.byID))
	for _, endpoint := range directory.byID {
		servers = append(servers, endpoint.Server)
	}
	return servers
}

// EarnRetries adds the allowance of one request that has arrived to the service's
// retry budget.
func (directory *Directory) EarnRetries(name string, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	owner := directory.service(name)
	owner.askedAt = now
	owner.bucket.Earn(directory.budget, now)
}
