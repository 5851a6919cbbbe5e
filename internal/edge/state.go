package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/peers"
	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/upstream"
)

// loadMeter measures the load of the node.
type loadMeter interface {
	// OverloadedFor returns for how long the node has been overloaded; zero if it is not.
	OverloadedFor() time.Duration
}

// state is the node's view of the configuration, the servers, the evacuations and the rollouts.
type state struct {
	directory *endpoints.Directory
	client    *upstream.Client
	loadMeter loadMeter
	eras      *catalog.EraTracker
	// tracker is nil if the deployment has no rollouts.
	tracker *rollout.Tracker
	// quarantine is notified of crashed servers.
	quarantine *quarantine.Manager
	table      atomic.Pointer[routing.Table]
	// adoptMutex prevents concurrent sources from replacing a later version by an earlier one.
	adoptMutex sync.Mutex
	// serversKnown is set once the servers were listed, by the store or a peer.
	serversKnown atomic.Bool
	// serversListed is set once the store itself listed them.
	serversListed atomic.Bool
	// evacuationsListed is set once the store itself listed the evacuated zones.
	evacuationsListed atomic.Bool
	stopping          atomic.Bool
	// synced is closed once the state is complete.
	synced     chan struct{}
	syncedOnce sync.Once
	// handover passes the list of servers of another node to the follower of the store;
	// serversPosition states how current this node's list is.
	handover        catalog.Handover[endpoints.Server]
	serversPosition atomic.Pointer[listPosition]
	// unreadable holds the objects of the store that cannot be decoded.
	unreadable catalog.UnreadableObjects
	// replaceMutex prevents a peer's list from replacing the store's.
	replaceMutex sync.Mutex
}

// listPosition states how current a list is: it holds all changes up to the revision, as the
// store returned them at the time asOf.
type listPosition struct {
	revision catalog.Revision
	asOf     time.Time
}

// Table returns the configuration in force; nil if none is known yet.
func (s *state) Table() *routing.Table { return s.table.Load() }

// tables returns the configuration in force as a list; empty if none is known yet.
func (s *state) tables() []*routing.Table {
	if table := s.table.Load(); table != nil {
		return []*routing.Table{table}
	}
	return nil
}

// ready reports whether the node accepts new connections.
func (s *state) ready() bool { return s.notReadyReason() == "" }

// notReadyReason returns why the node accepts no new connections; empty if it does.
func (s *state) notReadyReason() string {
	switch {
	case s.stopping.Load():
		return "the node is stopping"
	case s.table.Load() == nil:
		return "no configuration is known yet"
	case !s.serversKnown.Load():
		return "the servers are not known yet"
	case !s.tracker.HasSynced():
		return "the orders of versions are not known yet"
	case s.loadMeter.OverloadedFor() > 0:
		return "the node is overloaded"
	case s.directory.Isolated(time.Now()):
		return "no other zone is in reach"
	}
	return ""
}

// shedDelay is how long the node must be overloaded before callers are sent to
// other nodes: before that, the platform still considers the node ready and might send
// them back to it.
const shedDelay = 2500 * time.Millisecond

// shedsConnections reports whether callers should reconnect, to another node.
func (s *state) shedsConnections() bool { return s.loadMeter.OverloadedFor() > shedDelay }

// version returns the version of the configuration in force; 0 for none.
func (s *state) version() uint64 {
	if table := s.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// description describes the node's state for operators.
type description struct {
	Version     uint64
	Servers     int
	NotReadyFor string
	Rollouts    []rolloutDescription `json:",omitempty"`
	// Quarantine lists the requests that crashed servers.
	Quarantine []quarantine.Description `json:",omitempty"`
	// Unreadable lists the objects of the store that could not be decoded.
	Unreadable []catalog.UnreadableObject `json:",omitempty"`
	// Era is that of the store; Restored are the feeds listed since it was last restored from a backup.
	Era      catalog.Era
	Restored []catalog.RestoredFeed `json:",omitempty"`
	// Doubted is the number of server entries of a restored store that are not yet used, Missing
	// the number of servers that are kept although they are not listed.
	Doubted, Missing int
}

func (s *state) describe() description {
	unconfirmed, missing := s.directory.UnconfirmedCounts()
	return description{
		Version:     s.version(),
		Servers:     s.directory.Count(),
		NotReadyFor: s.notReadyReason(),
		Rollouts:    describeRollouts(s.tracker, s.directory),
		Quarantine:  s.quarantine.Describe(),
		Unreadable:  s.unreadable.List(time.Now()),
		Era:         s.eras.Latest(),
		Restored:    s.eras.RestoredFeeds(time.Now()),
		Doubted:     unconfirmed,
		Missing:     missing,
	}
}

// adoptTable applies a configuration unless the one in force is at least as new:
// versions never decrease within a process.
func (s *state) adoptTable(table *routing.Table) {
	s.adoptMutex.Lock()
	defer s.adoptMutex.Unlock()
	if current := s.table.Load(); current != nil && table.Version <= current.Version {
		return
	}
	s.directory.Configure(table, time.Now())
	s.table.Store(table)
	s.notifySynced()
	klog.InfoS("configuration in force", "version", table.Version, "routes", table.RouteCount())
}

// complete reports whether the node needs nothing from its peers.
func (s *state) complete() bool {
	return s.table.Load() != nil && s.serversKnown.Load() && s.tracker.HasSynced()
}

// snapshot returns the state for other nodes; false while it is not complete.
func (s *state) snapshot() (peers.Snapshot, bool) {
	if !s.complete() {
		return peers.Snapshot{}, false
	}
	orders, reached := s.tracker.Orders()
	snapshot := peers.Snapshot{
		Table:     s.table.Load().Document(),
		Evacuated: s.directory.Evacuated(),
		Orders:    orders,
		Reached:   reached,
	}
	if latest := s.serversPosition.Load(); latest != nil && s.serversListed.Load() {
		snapshot.ServersReached, snapshot.ServersAge = latest.revision, time.Since(latest.asOf)
	}
	// Servers added since the position are sent again to a node that watches from its revision.
	snapshot.Servers, snapshot.Unlisted = s.directory.Servers()
	return snapshot, true
}

// adoptSnapshot applies a peer's state, except what the store itself has already listed.
func (s *state) adoptSnapshot(snapshot peers.Snapshot) error {
	table, err := snapshot.Table.Table()
	if err != nil {
		return err
	}
	s.tracker.Adopt(snapshot.Orders, snapshot.Reached, boottime.Time())
	s.adoptTable(table)
	s.replaceMutex.Lock()
	defer s.replaceMutex.Unlock()
	if !s.evacuationsListed.Load() {
		s.directory.SetEvacuated(snapshot.Evacuated, time.Now())
	}
	if !s.serversListed.Load() {
		s.replaceServers(snapshot.Servers)
	}
	if snapshot.ServersReached == 0 {
		s.handover.Abandon()
	} else {
		page := catalog.Page[endpoints.Server]{Items: snapshot.ListedServers(), Revision: snapshot.ServersReached}
		s.handover.Put(page, time.Now().Add(-snapshot.ServersAge))
	}
	s.notifySynced()
	return nil
}

// tableSink receives configurations from a follower.
type tableSink struct{ state *state }

// Replace implements catalog.Sink.
func (t tableSink) Replace(tables []*routing.Table, _ bool) {
	for _, table := range tables {
		t.state.adoptTable(table)
	}
}

// Resumed implements catalog.Sink. A configuration does not expire.
func (t tableSink) Resumed() {}

// Apply implements catalog.Sink. Operators never remove the configuration; after a
// removal the current one stays in force.
func (t tableSink) Apply(change catalog.Change[*routing.Table]) {
	if !change.Removed {
		t.state.adoptTable(change.Value)
	}
}

// serverSink receives servers from a follower.
type serverSink struct{ state *state }

// Replace implements catalog.Sink.
func (s serverSink) Replace(servers []endpoints.Server, afterOutage bool) {
	s.state.replaceMutex.Lock()
	defer s.state.replaceMutex.Unlock()
	if afterOutage {
		s.state.dropServers(s.state.directory.ReplaceAfterOutage(servers, time.Now()))
		s.state.markServersKnown()
	} else {
		s.state.replaceServers(servers)
	}
	s.state.serversListed.Store(true)
	klog.V(1).InfoS("servers listed", "count", len(servers), "after_outage", afterOutage)
}

// ReplaceRestored implements catalog.RestoredSink.
func (s serverSink) ReplaceRestored(servers []endpoints.Server) {
	s.state.replaceMutex.Lock()
	defer s.state.replaceMutex.Unlock()
	s.state.dropServers(s.state.directory.ReplaceRestored(servers, time.Now()))
	s.state.markServersKnown()
	s.state.serversListed.Store(true)
	unconfirmed, missing := s.state.directory.UnconfirmedCounts()
	klog.InfoS("servers of a restored store", "count", len(servers), "missing", missing, "doubted", unconfirmed)
}

// Diff implements catalog.Differ.
func (s serverSink) Diff(servers []endpoints.Server) []catalog.Change[endpoints.Server] {
	return s.state.directory.Diff(servers)
}

// ReachedRevision implements catalog.RevisionSink.
func (s serverSink) ReachedRevision(revision catalog.Revision, asOf time.Time) {
	s.state.serversPosition.Store(&listPosition{revision: revision, asOf: asOf})
}

// Resumed implements catalog.Sink.
func (s serverSink) Resumed() { s.state.directory.WatchResumed(time.Now()) }

func (s *state) replaceServers(servers []endpoints.Server) {
	s.dropServers(s.directory.Replace(servers, time.Now()))
	s.markServersKnown()
}

// dropUnlisted removes servers that were not listed again in time.
func (s *state) dropUnlisted(now time.Time) {
	removed := s.directory.DropUnlisted(now)
	if len(removed) > 0 {
		s.dropServers(removed)
		klog.InfoS("servers gone", "count", len(removed))
	}
}

// dropServers closes the connections to removed servers and reports them to the
// quarantine as crashed.
func (s *state) dropServers(removed []string) {
	for _, incarnation := range removed {
		s.client.CloseIdle(incarnation)
		s.quarantine.ServerCrashed(quarantine.ServerID(incarnation))
	}
}

// markServersKnown records that the servers were listed.
func (s *state) markServersKnown() {
	s.serversKnown.Store(true)
	s.notifySynced()
}

// notifySynced releases the requests that wait for the initial state once it is complete.
func (s *state) notifySynced() {
	if s.complete() {
		s.syncedOnce.Do(func() { close(s.synced) })
	}
}

// Apply implements catalog.Sink.
func (s serverSink) Apply(change catalog.Change[endpoints.Server]) {
	directory := s.state.directory
	switch {
	case change.Unreadable:
		// An undecodable entry does not mean that the server has crashed: it may still be alive.
		if incarnation, known := directory.Remove(change.Name); known {
			s.state.client.CloseIdle(incarnation)
		}
	case change.Removed:
		if incarnation, known := directory.Deregister(change.Name, time.Now()); known {
			s.state.dropServers([]string{incarnation})
		}
	default:
		if previous, restarted := directory.Put(change.Value, time.Now()); restarted {
			s.state.dropServers([]string{previous})
		}
	}
}
