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

// load tells how busy the node is.
type load interface {
	// BusyFor returns for how long the node has been overloaded; zero if it is not.
	BusyFor() time.Duration
}

// state is what the node believes: the configuration and the servers.
type state struct {
	directory *endpoints.Directory
	client    *upstream.Client
	load      load
	eras      *catalog.EraTracker
	// versions is nil where the deployment has no roll-outs.
	versions *rollout.Tracker
	// quarantine is told which servers have ended.
	quarantine *quarantine.Manager
	table      atomic.Pointer[routing.Table]
	// adopting keeps two sources from going back on each other's versions.
	adopting sync.Mutex
	// serversKnown is set once the servers have been listed.
	serversKnown atomic.Bool
	// serversListed is set once the store itself has listed them.
	serversListed atomic.Bool
	// evacuationsListed is set once the store itself has told the zones to be emptied.
	evacuationsListed atomic.Bool
	stopping          atomic.Bool
	// knows is closed once the configuration and the servers are known.
	knows     chan struct{}
	knowsOnce sync.Once
	// handed is the list of servers from another node, serversReached how current the own one is.
	handed         catalog.Handover[endpoints.Server]
	serversReached atomic.Pointer[reached]
	// unreadable are objects of the store that can't be understood.
	unreadable catalog.UnreadableObjects
	// replacing keeps a peer's list from taking the place of the store's.
	replacing sync.Mutex
}

// reached is how current a list is: it holds what the store told of it at a time.
type reached struct {
	revision catalog.Revision
	told     time.Time
}

// Table returns the configuration in force; nil if none is known yet.
func (s *state) Table() *routing.Table { return s.table.Load() }

// tables returns the configuration in force, the only one; none if it is not known yet.
func (s *state) tables() []*routing.Table {
	if table := s.table.Load(); table != nil {
		return []*routing.Table{table}
	}
	return nil
}

// ready reports whether the node takes new connections.
func (s *state) ready() bool { return s.reason() == "" }

// reason returns why the node takes no new connections; empty if it does.
func (s *state) reason() string {
	switch {
	case s.stopping.Load():
		return "the node is stopping"
	case s.table.Load() == nil:
		return "no configuration is known yet"
	case !s.serversKnown.Load():
		return "the servers are not known yet"
	case !s.versions.HasSynced():
		return "the orders of versions are not known yet"
	case s.load.BusyFor() > 0:
		return "the node is overloaded"
	case s.directory.Isolated(time.Now()):
		return "no other zone is in reach"
	}
	return ""
}

// noticeOverload is how long after the beginning of overload callers are sent to
// other nodes: before that the platform would hand them back to this one.
const noticeOverload = 2500 * time.Millisecond

// shedsCallers reports whether callers should open their connections anew, to
// another node.
func (s *state) shedsCallers() bool { return s.load.BusyFor() > noticeOverload }

// version returns the version of the configuration in force; 0 for none.
func (s *state) version() uint64 {
	if table := s.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// description is what the node believes, for operators.
type description struct {
	Version     uint64
	Servers     int
	NotReadyFor string
	Rollouts    []rolloutDescription `json:",omitempty"`
	// Quarantine are the requests under which servers ended.
	Quarantine []quarantine.Description `json:",omitempty"`
	// Unreadable are the objects of the store that the node could not understand.
	Unreadable []catalog.UnreadableObject `json:",omitempty"`
	// Era is that of the store, Restored the feeds that were listed since it came back from a copy last.
	Era      catalog.Era
	Restored []catalog.RestoredFeed `json:",omitempty"`
	// Doubted are entries of servers that don't count yet, Missing servers that are kept though they are
	// not listed.
	Doubted, Missing int
}

func (s *state) describe() description {
	doubted, missing := s.directory.UnconfirmedCounts()
	return description{
		Version:     s.version(),
		Servers:     s.directory.Count(),
		NotReadyFor: s.reason(),
		Rollouts:    describeRollouts(s.versions, s.directory),
		Quarantine:  s.quarantine.Describe(),
		Unreadable:  s.unreadable.List(time.Now()),
		Era:         s.eras.Latest(),
		Restored:    s.eras.RestoredFeeds(time.Now()),
		Doubted:     doubted,
		Missing:     missing,
	}
}

// adopt takes over a configuration unless a newer one is known: versions never
// go back within a process.
func (s *state) adopt(table *routing.Table) {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	if known := s.table.Load(); known != nil && table.Version <= known.Version {
		return
	}
	s.directory.Configure(table, time.Now())
	s.table.Store(table)
	s.noteKnown()
	klog.InfoS("configuration in force", "version", table.Version, "routes", table.RouteCount())
}

// complete reports whether the node needs nothing from its peers.
func (s *state) complete() bool {
	return s.table.Load() != nil && s.serversKnown.Load() && s.versions.HasSynced()
}

// snapshot returns what the node knows for other nodes; false while it is not
// complete.
func (s *state) snapshot() (peers.Snapshot, bool) {
	if !s.complete() {
		return peers.Snapshot{}, false
	}
	orders, reached := s.versions.Orders()
	snapshot := peers.Snapshot{
		Table:     s.table.Load().Document(),
		Evacuated: s.directory.Evacuated(),
		Orders:    orders,
		Reached:   reached,
	}
	if latest := s.serversReached.Load(); latest != nil && s.serversListed.Load() {
		snapshot.ServersReached, snapshot.ServersAge = latest.revision, time.Since(latest.told)
	}
	// Servers that have come since are told once more to whoever reads on from the revision.
	snapshot.Servers, snapshot.Unlisted = s.directory.Servers()
	return snapshot, true
}

// adoptSnapshot takes over what a peer knows, as far as the store has not told.
func (s *state) adoptSnapshot(snapshot peers.Snapshot) error {
	table, err := snapshot.Table.Table()
	if err != nil {
		return err
	}
	s.versions.Adopt(snapshot.Orders, snapshot.Reached, boottime.Time())
	s.adopt(table)
	s.replacing.Lock()
	defer s.replacing.Unlock()
	if !s.evacuationsListed.Load() {
		s.directory.SetEvacuated(snapshot.Evacuated, time.Now())
	}
	if !s.serversListed.Load() {
		s.replaceServers(snapshot.Servers)
	}
	if snapshot.ServersReached == 0 {
		s.handed.Abandon()
	} else {
		page := catalog.Page[endpoints.Server]{Items: snapshot.ListedServers(), Revision: snapshot.ServersReached}
		s.handed.Put(page, time.Now().Add(-snapshot.ServersAge))
	}
	s.noteKnown()
	return nil
}

// tableSink takes configurations from a follower.
type tableSink struct{ state *state }

// Replace implements catalog.Sink.
func (t tableSink) Replace(tables []*routing.Table, _ bool) {
	for _, table := range tables {
		t.state.adopt(table)
	}
}

// Resumed implements catalog.Sink. A configuration does not run out.
func (t tableSink) Resumed() {}

// Apply implements catalog.Sink. The operators' configuration is never removed;
// a removal leaves the known one in force.
func (t tableSink) Apply(change catalog.Change[*routing.Table]) {
	if !change.Removed {
		t.state.adopt(change.Value)
	}
}

// serverSink takes servers from a follower.
type serverSink struct{ state *state }

// Replace implements catalog.Sink.
func (s serverSink) Replace(servers []endpoints.Server, afterOutage bool) {
	s.state.replacing.Lock()
	defer s.state.replacing.Unlock()
	if afterOutage {
		s.state.forget(s.state.directory.ReplaceAfterOutage(servers, time.Now()))
		s.state.noteServers()
	} else {
		s.state.replaceServers(servers)
	}
	s.state.serversListed.Store(true)
	klog.V(1).InfoS("servers listed", "count", len(servers), "after_outage", afterOutage)
}

// ReplaceRestored implements catalog.RestoredSink.
func (s serverSink) ReplaceRestored(servers []endpoints.Server) {
	s.state.replacing.Lock()
	defer s.state.replacing.Unlock()
	s.state.forget(s.state.directory.ReplaceRestored(servers, time.Now()))
	s.state.noteServers()
	s.state.serversListed.Store(true)
	doubted, missing := s.state.directory.UnconfirmedCounts()
	klog.InfoS("servers of a restored store", "count", len(servers), "missing", missing, "doubted", doubted)
}

// Diff implements catalog.Differ.
func (s serverSink) Diff(servers []endpoints.Server) []catalog.Change[endpoints.Server] {
	return s.state.directory.Diff(servers)
}

// ReachedRevision implements catalog.RevisionSink.
func (s serverSink) ReachedRevision(revision catalog.Revision, told time.Time) {
	s.state.serversReached.Store(&reached{revision: revision, told: told})
}

// Resumed implements catalog.Sink.
func (s serverSink) Resumed() { s.state.directory.WatchResumed(time.Now()) }

func (s *state) replaceServers(servers []endpoints.Server) {
	s.forget(s.directory.Replace(servers, time.Now()))
	s.noteServers()
}

// dropUnlisted forgets servers that did not come back into the list.
func (s *state) dropUnlisted(now time.Time) {
	removed := s.directory.DropUnlisted(now)
	if len(removed) > 0 {
		s.forget(removed)
		klog.InfoS("servers gone", "count", len(removed))
	}
}

// forget closes the connections to servers that were removed.
func (s *state) forget(removed []string) {
	for _, incarnation := range removed {
		s.client.Forget(incarnation)
		s.quarantine.ServerCrashed(quarantine.ServerID(incarnation))
	}
}

// noteServers notes that the servers are known.
func (s *state) noteServers() {
	s.serversKnown.Store(true)
	s.noteKnown()
}

// noteKnown lets the requests go on that wait until the node is complete.
func (s *state) noteKnown() {
	if s.complete() {
		s.knowsOnce.Do(func() { close(s.knows) })
	}
}

// Apply implements catalog.Sink.
func (s serverSink) Apply(change catalog.Change[endpoints.Server]) {
	directory := s.state.directory
	switch {
	case change.Unreadable:
		// The server may well be alive: that its entry is of no use says nothing of its end.
		if incarnation, known := directory.Remove(change.Name); known {
			s.state.client.Forget(incarnation)
		}
	case change.Removed:
		if incarnation, known := directory.Deregister(change.Name, time.Now()); known {
			s.state.forget([]string{incarnation})
		}
	default:
		if ended, restarted := directory.Put(change.Value, time.Now()); restarted {
			s.state.forget([]string{ended})
		}
	}
}
