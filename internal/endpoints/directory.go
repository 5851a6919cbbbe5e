package endpoints

import (
	"slices"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/routing"
)

// NodeCounts are the numbers of nodes that share the connections of a server.
type NodeCounts struct {
	// Local is the number of nodes in the server's own region, Remote that of all others.
	Local  int
	Remote int
	// Known is set once both have been counted.
	Known bool
}

// Directory holds the endpoints of all services. It is safe for concurrent use.
type Directory struct {
	topology Topology
	// connections may be nil; then no request is assumed to need a new connection.
	connections ConnectionPool
	// versions restricts the versions of a service to which requests may be sent; nil for
	// no restriction.
	versions *rollout.Tracker
	// suspended returns the total time for which the machine has been suspended; nil for
	// never.
	suspended func() time.Duration
	// budgetSuspended is the suspension that the retry budgets already account for.
	budgetSuspended time.Duration

	mutex sync.Mutex
	// settledAt is the time from which a list that was read after a store outage is
	// complete.
	settledAt time.Time
	// firstServerAt is when the first server was added to the directory.
	firstServerAt time.Time
	// refusals is how often servers refuse requests.
	refusals refusals
	// firstList is set if the list read after the outage was the first one of this node.
	firstList    bool
	budgetLimits retrybudget.Limits
	// pooled is set while there are too many nodes to divide the retry budget among them;
	// grantRequests are then the requests for extra sends from the pool.
	pooled        bool
	grantRequests grantRequests
	nodes         NodeCounts
	byID          map[string]*Endpoint
	// retired are recently ended servers by incarnation; unconfirmed are entries of a
	// restored list, by ID, that have no effect yet.
	retired     map[string]retiredServer
	unconfirmed map[string]unconfirmedEntry
	// evacuated are the zones whose servers get no new requests, readmitted when the
	// evacuation of a zone last ended.
	evacuated  map[string]bool
	readmitted map[string]time.Time
	// unconfirmedZones are those for which a restored list contradicts the known state.
	unconfirmedZones map[string]unconfirmedZone
	// zones is the reachability of each zone.
	zones    map[string]*reachability
	services map[string]*service
}

// service is what the node keeps of one service.
type service struct {
	endpoints []*Endpoint
	// retryBudget counts the sends after the first one of each request.
	retryBudget    retrybudget.Budget
	maxConnections int
	// growth is how much the list has grown since a store outage.
	growth listGrowth
	// coldRate is how many requests per second a cold server can take from all nodes together,
	// coldStart how long a server is cold after its start.
	coldRate  float64
	coldStart time.Duration
}

// New returns an empty directory without retry budget. connections may be nil.
func New(topology Topology, connections ConnectionPool) *Directory {
	return &Directory{
		topology:    topology,
		connections: connections,
		nodes:       NodeCounts{Local: 1, Remote: 1},
		byID:        make(map[string]*Endpoint),
		retired:     make(map[string]retiredServer),
		unconfirmed: make(map[string]unconfirmedEntry),
		evacuated:   make(map[string]bool),
		readmitted:  make(map[string]time.Time),

		unconfirmedZones: make(map[string]unconfirmedZone),
		zones:            make(map[string]*reachability),
		services:         make(map[string]*service),
		grantRequests:    newGrantRequests(),
	}
}

// SetRolloutTracker sets the tracker that decides to which versions of a service requests may be
// sent. It is called before the directory is used.
func (d *Directory) SetRolloutTracker(versions *rollout.Tracker) { d.versions = versions }

// SetSuspensionClock sets the function that returns the total time for which the machine has been
// suspended, so that permissions expire meanwhile. It is called before the directory is used.
func (d *Directory) SetSuspensionClock(suspended func() time.Duration) { d.suspended = suspended }

// Put adds the server or updates its entry. If the server has restarted under its ID, Put
// returns the incarnation that has ended: nothing that was learned of it applies to the new
// one.
func (d *Directory) Put(server Server, now time.Time) (ended string, restarted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.isUnconfirmed(server, now) {
		return "", false
	}
	known, found := d.byID[server.ID]
	switch {
	case !found:
	case server.Born > 0 && known.startedAfter(server):
		// A late entry of a process that has already ended.
		return "", false
	case server.startedAfter(known.Server):
		d.retire(known, now)
		ended, restarted = known.incarnation, true
	default:
		known.update(server, now)
		d.locate(known)
		return "", false
	}
	if d.firstServerAt.IsZero() {
		d.firstServerAt = now
	}
	if retired, returned := d.retired[server.Incarnation()]; returned && retired.created > 0 {
		server.Created = min(server.Created, retired.created)
	}
	endpoint := newEndpoint(server, now)
	d.locate(endpoint)
	d.byID[server.ID] = endpoint
	d.supersede(endpoint)
	svc := d.service(server.Service)
	svc.growth.add(now)
	endpoint.setMaxLimit(d.inFlightLimit(server, svc.maxConnections), now)
	svc.endpoints = append(svc.endpoints, endpoint)
	return ended, restarted
}

// locate updates the cached location of the server.
func (d *Directory) locate(endpoint *Endpoint) {
	if endpoint.location.reachability != nil && endpoint.location.zone == endpoint.Zone {
		return
	}
	endpoint.location = location{
		zone:         endpoint.Zone,
		local:        d.topology.SameRegion(endpoint.Zone),
		roundTrip:    d.topology.RoundTrip(endpoint.Zone),
		reachability: d.reachability(endpoint.Zone),
		rank:         d.rank(endpoint.Server),
	}
}

// supersede takes out of use the servers whose address the newer one has: they have ended,
// though their entries have not expired yet. Requests sent there reach the newer server,
// which refuses them.
func (d *Directory) supersede(newer *Endpoint) {
	for _, older := range d.service(newer.Service).endpoints {
		if newer.Address != "" && older.Address == newer.Address && older.Created < newer.Created {
			older.addressTaken = true
		}
	}
}

// Remove removes the server, so that it gets no new requests. It returns the incarnation that
// was known, if there was one.
func (d *Directory) Remove(id string) (removed string, known bool) {
	return d.removeWith(id, d.remove)
}

// removeEnded is Remove for a server that has ended.
func (d *Directory) removeEnded(id string, now time.Time) (removed string, known bool) {
	return d.removeWith(id, func(endpoint *Endpoint) { d.retire(endpoint, now) })
}

// removeWith removes the server with the given function.
func (d *Directory) removeWith(id string, remove func(*Endpoint)) (removed string, known bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.unconfirmed, id)
	endpoint, found := d.byID[id]
	if !found {
		return "", false
	}
	remove(endpoint)
	return endpoint.incarnation, true
}

func (d *Directory) remove(endpoint *Endpoint) {
	delete(d.byID, endpoint.ID)
	svc := d.service(endpoint.Service)
	if index := slices.Index(svc.endpoints, endpoint); index >= 0 {
		svc.endpoints = slices.Delete(svc.endpoints, index, index+1)
	}
}

// Replace replaces the content of the directory by the servers and returns the
// incarnations that were removed.
func (d *Directory) Replace(servers []Server, now time.Time) []string {
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
	}
	removed := d.putAll(servers, now)
	for _, id := range d.ids() {
		if listed[id] {
			continue
		}
		if incarnation, known := d.removeEnded(id, now); known {
			removed = append(removed, incarnation)
		}
	}
	return removed
}

// putAll adds or updates the servers and returns the incarnations that have ended.
func (d *Directory) putAll(servers []Server, now time.Time) []string {
	var ended []string
	for _, server := range servers {
		if incarnation, restarted := d.Put(server, now); restarted {
			ended = append(ended, incarnation)
		}
	}
	return ended
}

func (d *Directory) ids() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	ids := make([]string, 0, len(d.byID))
	for id := range d.byID {
		ids = append(ids, id)
	}
	return ids
}

// Configure applies the connection limits and cold-start settings of the table's services.
func (d *Directory) Configure(table *routing.Table, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name, configured := range table.Services {
		svc := d.service(name)
		svc.maxConnections = configured.MaximumConnections
		svc.coldRate, svc.coldStart = configured.ColdRate, configured.ColdStart
		d.updateMaxLimits(svc, now)
	}
}

// SetNodeLimits sets the limits of the retry budget of each service, whether a pool grants extra
// sends beyond it, and the numbers of nodes that share the connections of a server.
func (d *Directory) SetNodeLimits(limits retrybudget.Limits, pooled bool, nodes NodeCounts, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.budgetLimits, d.pooled = limits, pooled
	d.nodes = nodes
	for _, svc := range d.services {
		d.updateMaxLimits(svc, now)
	}
}

func (d *Directory) updateMaxLimits(svc *service, now time.Time) {
	for _, endpoint := range svc.endpoints {
		endpoint.setMaxLimit(d.inFlightLimit(endpoint.Server, svc.maxConnections), now)
	}
}

func (d *Directory) service(name string) *service {
	svc, found := d.services[name]
	if !found {
		svc = &service{}
		d.services[name] = svc
	}
	return svc
}

// HasServer reports whether the service has a server that may get requests of the route.
func (d *Directory) HasServer(service string, route *routing.Route) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.ContainsFunc(d.currentlyAdmitted(service), func(endpoint *Endpoint) bool {
		return endpoint.serving() && d.allowed(endpoint, route)
	})
}

// HasReachableServer reports whether the service has a server that may get requests of the
// route and has not just been found unreachable.
func (d *Directory) HasReachableServer(service string, route *routing.Route, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.ContainsFunc(d.currentlyAdmitted(service), func(endpoint *Endpoint) bool {
		failed := endpoint.unreachable && now.Before(endpoint.backoffUntil)
		return endpoint.serving() && d.allowed(endpoint, route) && !failed
	})
}

// Count returns the number of servers.
func (d *Directory) Count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.byID)
}

// Servers returns all servers as they were listed, and the IDs of those that were missing in
// the latest list and are kept only until it is complete.
func (d *Directory) Servers() (servers []Server, unlisted []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	servers = d.listed()
	for id, endpoint := range d.byID {
		if !endpoint.removeAt.IsZero() {
			servers = append(servers, endpoint.Server)
			unlisted = append(unlisted, id)
		}
	}
	return servers, unlisted
}
