// Package edge wires the parts of driftrouter together and starts and stops them
// in order: the query tier as one kind of process, on a platform whose store
// holds the configuration and lists the servers.
package edge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/ingress"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/overload"
	"github.com/driftstage/driftstage/internal/peers"
	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/trace"
	"github.com/driftstage/driftstage/internal/upstream"
)

// Store is the platform's store.
type Store interface {
	Tables() catalog.Feed[*routing.Table]
	Servers() catalog.Feed[endpoints.Server]
	members.Registry
}

// Names of the feeds in logs and metrics.
const (
	feedTables  = "tables"
	feedServers = "servers"
)

const (
	// spareNodes allows for nodes that have just started.
	spareNodes = 2
	// retryReserve is kept from the retry ratio: nodes count in windows of their own.
	retryReserve = 0.02
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
	// serversSettle is how long changes of servers gather before they are read.
	serversSettle = 250 * time.Millisecond
)

// GCPercent trades processor time for memory, which is dearer.
const GCPercent = 30

// presumedCount is the least number of nodes that are taken to share what is
// shared until the count is settled.
var presumedCount = members.Count{All: 10, Region: 4}

// Node is one process of the query tier.
type Node struct {
	settings settings.Router
	// live are the settings in force that may change while the node runs.
	live atomic.Pointer[settings.Reloadable]
	// shared is the number of nodes by which shares were set last.
	shared    members.Count
	sharing   sync.Mutex
	topology  endpoints.Topology
	member    members.Member
	started   time.Time
	store     Store
	state     *state
	directory *endpoints.Directory
	client    *upstream.Client
	load      *overload.Meter
	server    *ingress.Server
	readiness *readiness
	metrics   *metrics
	// selector picks the node to follow in place of the store.
	selector   *peers.Selector
	tableLink  *peers.Link[*routing.Table]
	serverLink *peers.Link[endpoints.Server]
}

// Logs are where the node writes what happens to requests; the zero value is
// nowhere.
type Logs struct {
	Recorder *trace.Recorder
	// Dropped returns how many log lines were lost to a slow reader.
	Dropped func() uint64
}

func (logs Logs) dropped() float64 {
	if logs.Dropped == nil {
		return 0
	}
	return float64(logs.Dropped())
}

// Run serves until ctx ends, then stops in order. It returns nil after a stop
// that cut no request.
func (node *Node) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", node.settings.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	questions, err := net.Listen("tcp4", node.settings.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for questions about readiness")
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks sync.WaitGroup
	node.follow(background, &tasks)
	failed := make(chan error, 4)
	if err := errors.Join(node.serveMetrics(failed), node.servePeers(failed)); err != nil {
		return err
	}
	go func() { failed <- node.server.Serve(callers) }()
	go func() { failed <- node.readiness.serve(questions) }()
	klog.InfoS("started", "zone", node.settings.Zone, "listen", node.settings.ListenAddress)
	select {
	case <-ctx.Done():
	case err = <-failed:
		klog.ErrorS(err, "a listener failed; stopping")
	}
	cut := node.stop(callers)
	cancel()
	klog.InfoS("stopped", "cut", cut)
	klog.Flush()
	if cut > 0 {
		err = errors.Join(err, errors.Newf("%d requests were cut", cut))
	}
	return err
}

// follow keeps the configuration and the servers current.
func (node *Node) follow(ctx context.Context, tasks *sync.WaitGroup) {
	tables := catalog.NewFollower(feedTables, node.store.Tables(), tableSink{node.state}, node.metrics)
	tables.Share(node.tableLink)
	servers := catalog.NewFollower(feedServers, node.store.Servers(), serverSink{node.state}, node.metrics)
	servers.Share(node.serverLink)
	servers.Settle(serversSettle)
	tasks.Go(func() { tables.Run(ctx) })
	tasks.Go(func() { servers.Run(ctx) })
	announcer := members.NewAnnouncer(node.store, node.member, node.topology.Near, memberObserver{node})
	tasks.Go(func() { announcer.Run(ctx) })
	starter := peers.Starter{Addresses: func() []string { return node.live.Load().Seeds }, Known: node.state.complete, Adopt: node.state.adoptSnapshot}
	tasks.Go(func() { starter.Run(ctx) })
	tasks.Go(func() { node.sweep(ctx) })
	tasks.Go(func() { node.load.Run(ctx) })
}

// servePeers tells other nodes what this one knows, if it has an address for that.
func (node *Node) servePeers(failed chan<- error) error {
	if node.settings.PeerAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", node.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	server := peers.NewServer(node.state.snapshot, node.tableLink, node.serverLink)
	go func() { failed <- server.Serve(listener) }()
	return nil
}

// shareAmong divides what all nodes share among so many of them.
func (node *Node) shareAmong(count members.Count) {
	node.sharing.Lock()
	defer node.sharing.Unlock()
	node.shared = count
	if !count.Settled {
		count = count.AtLeast(presumedCount)
	}
	live := node.live.Load()
	budget := retrybudget.Limits{
		Ratio:    max(live.RetryRatio-retryReserve, 0),
		Capacity: max(live.RetrySlack/float64(count.All+spareNodes), 1),
		FillAt:   node.started.Add(live.RetryWindow),
	}
	node.directory.Share(budget, endpoints.Sharers{
		Near: count.Region + spareNodes/2,
		Far:  count.All - count.Region + spareNodes/2,
	}, time.Now())
}

// Reload takes over the settings that may change while the node runs; the others
// take effect with its next start.
func (node *Node) Reload(newer settings.Router) {
	changes := node.settings.Changes(newer)
	node.live.Store(&newer.Reloadable)
	node.sharing.Lock()
	shared := node.shared
	node.sharing.Unlock()
	node.shareAmong(shared)
	klog.InfoS("settings reloaded", "retry_ratio", newer.RetryRatio, "retry_slack", newer.RetrySlack,
		"retry_window", newer.RetryWindow.String(), "stop_timeout", newer.StopTimeout.String(), "seeds", len(newer.Seeds), "needs_restart", changes.Restart)
}

// memberObserver tells the node who else is there.
type memberObserver struct{ node *Node }

// MembersRead implements members.Observer.
func (observer memberObserver) MembersRead(live []members.Member) {
	observer.node.selector.SetMembers(live)
}

// MembersCounted implements members.Observer.
func (observer memberObserver) MembersCounted(count members.Count) {
	observer.node.shareAmong(count)
}

func (node *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			node.client.Sweep(now)
			node.connect(ctx, now)
		}
	}
}
