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

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/ingress"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/overload"
	"github.com/driftstage/driftstage/internal/peers"
	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/trace"
	"github.com/driftstage/driftstage/internal/upstream"
)

// Store is the platform's store.
type Store interface {
	// Eras is what the store's answers tell of its era; later ones may be heard from other nodes.
	Eras() *catalog.EraTracker
	Tables() catalog.Feed[*routing.Table]
	Servers() catalog.Feed[endpoints.Server]
	Evacuations() catalog.Feed[endpoints.Evacuation]
	Rollouts() catalog.Feed[rollout.Order]
	Quarantine() catalog.Feed[quarantine.Record]
	quarantine.RecordStore
	rollout.StatusStore
	members.Registry
}

// Names of the feeds in logs and metrics.
const (
	feedTables      = "tables"
	feedServers     = "servers"
	feedEvacuations = "evacuations"
	feedRollouts    = "rollouts"
	feedQuarantine  = "quarantine"
)

const (
	// spareNodes allows for nodes that have just started.
	spareNodes = 2
	// retryReserve is kept from the retry ratio: nodes count in windows of their own.
	retryReserve = 0.02
	// windowReserve lengthens the window in which extra sends are counted: they arrive
	// up to a slow connection later than they are counted.
	windowReserve = 1.02
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
	// serversSettle is how long changes of servers gather before they are read.
	serversSettle = 250 * time.Millisecond
	// startHold, and a random part of startHoldSpread, is until when after its start a node
	// leaves a burst of changes, of manyChanges at a time, to those that read the store for
	// others: by then it has counted them, and they have caught up. Many nodes that start
	// together with their servers would each read all changes.
	startHold       = 6500 * time.Millisecond
	startHoldSpread = 1500 * time.Millisecond
	manyChanges     = 64
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
	selector        *peers.Selector
	tableRelay      *peers.Relay[*routing.Table]
	serverRelay     *peers.Relay[endpoints.Server]
	evacuationRelay *peers.Relay[endpoints.Evacuation]
	rolloutRelay    *peers.Relay[rollout.Order]
	quarantineRelay *peers.Relay[quarantine.Record]
	// versions tells which versions get sends, agent carries out the orders of that; nil
	// where the deployment has no roll-outs.
	versions *rollout.Tracker
	agent    *rollout.Agent
	// quarantine finds the requests under which servers end.
	quarantine *quarantine.Manager
	notices    peers.Client
	// retryPool is shared by the nodes that follow this one, if it keeps one. pooling is set
	// while retries are pooled, poolChanged has an element when that or its size has changed.
	retryPool   retrybudget.Pool
	pooling     atomic.Bool
	poolChanged chan struct{}
	// reads is closed once the node knows that it reads the store for others; until startHold
	// after its start it waits for them else.
	reads     chan struct{}
	readsOnce sync.Once
	startHold time.Duration
	// restored has an element once the store was restored.
	restored chan struct{}
	// announcer tells the others that this node is there, and counts them.
	announcer *members.Announcer
	// storeBackoff spaces the calls of all feeds to a store that fails.
	storeBackoff catalog.Backoff
}

// Logs are where the node writes what happens to requests; the zero value is
// nowhere.
type Logs struct {
	Recorder *trace.Recorder
	// Dropped returns how many log lines were lost to a slow reader.
	Dropped func() uint64
}

// leftOut returns how many requests the recorder left out.
func (l Logs) leftOut() float64 {
	if l.Recorder == nil {
		return 0
	}
	return float64(l.Recorder.LeftOut())
}

func (l Logs) dropped() float64 {
	if l.Dropped == nil {
		return 0
	}
	return float64(l.Dropped())
}

// Run serves until ctx ends, then stops in order. It returns nil after a stop
// that cut no request.
func (n *Node) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", n.settings.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	questions, err := net.Listen("tcp4", n.settings.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for questions about readiness")
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks sync.WaitGroup
	n.follow(background, &tasks)
	failed := make(chan error, 4)
	if err := errors.Join(n.serveMetrics(failed), n.servePeers(failed)); err != nil {
		return err
	}
	go func() { failed <- n.server.Serve(callers) }()
	go func() { failed <- n.readiness.serve(questions) }()
	klog.InfoS("started", "zone", n.settings.Zone, "listen", n.settings.ListenAddress)
	select {
	case <-ctx.Done():
	case err = <-failed:
		klog.ErrorS(err, "a listener failed; stopping")
	}
	cut := n.stop(callers)
	cancel()
	klog.InfoS("stopped", "cut", cut)
	klog.Flush()
	if cut > 0 {
		err = errors.Join(err, errors.Newf("%d requests were cut", cut))
	}
	return err
}

// servePeers tells other nodes what this one knows, if it has an address for that.
func (n *Node) servePeers(failed chan<- error) error {
	if n.settings.PeerAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", n.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	contact := peers.StoreStatusServer{UpToDate: func() bool { return n.storeBackoff.UpToDate(time.Now()) }}
	server := peers.NewServer(n.requester(), n.state.snapshot, n.tableRelay, n.serverRelay, n.evacuationRelay, n.rolloutRelay, n.quarantineRelay, n.reportServer(), peers.NoticeServer{Handle: n.quarantine.ReceiveNotice}, contact,
		&peers.MemberServer{Latest: n.announcer.Latest}, peers.ConfigurationServer{Table: n.state.Table}, peers.RetryServer{Pool: &n.retryPool, Now: boottime.Time})
	go func() { failed <- server.Serve(listener) }()
	return nil
}

// shareAmong divides what all nodes share among so many of them.
func (n *Node) shareAmong(count members.Count) {
	n.sharing.Lock()
	defer n.sharing.Unlock()
	n.shared = count
	if !count.Settled {
		count = count.AtLeast(presumedCount)
	}
	live := n.live.Load()
	shares := shareRetries(live.RetrySlack, count, n.regionCount())
	window := time.Duration(windowReserve * float64(live.RetryWindow))
	n.retryPool.SetLimits(shares.pool, window)
	budget := retrybudget.Limits{
		Ratio:    max(live.RetryRatio-retryReserve, 0),
		Capacity: shares.own,
		Window:   window,
		Started:  n.started,
	}
	n.pooling.Store(shares.pooled)
	select {
	case n.poolChanged <- struct{}{}:
	default:
	}
	n.directory.SetShares(budget, shares.pooled, endpoints.NodeCounts{
		Local:  count.Region + spareNodes/2,
		Remote: count.All - count.Region + spareNodes/2,
		Known:  count.Settled,
	}, time.Now())
}

// regionCount returns the number of regions.
func (n *Node) regionCount() int {
	regions := make(map[string]bool)
	for _, region := range n.settings.Regions {
		regions[region] = true
	}
	return max(len(regions), 1)
}

// Reload takes over the settings that may change while the node runs; the others
// take effect with its next start.
func (n *Node) Reload(newer settings.Router) {
	changes := n.settings.Changes(newer)
	n.live.Store(&newer.Reloadable)
	n.sharing.Lock()
	shared := n.shared
	n.sharing.Unlock()
	n.shareAmong(shared)
	klog.InfoS("settings reloaded", "retry_ratio", newer.RetryRatio, "retry_slack", newer.RetrySlack,
		"retry_window", newer.RetryWindow.String(), "stop_timeout", newer.StopTimeout.String(), "seeds", len(newer.Seeds), "needs_restart", changes.Restart)
}

// memberObserver tells the node who else is there.
type memberObserver struct{ node *Node }

// MembersRead implements members.Observer.
func (m memberObserver) MembersRead(live []members.Member) {
	m.node.selector.SetMembers(live)
	if m.node.selector.IsReader() {
		m.node.readsOnce.Do(func() { close(m.node.reads) })
	}
	m.node.shareVersions(live)
}

// MembersCounted implements members.Observer.
func (m memberObserver) MembersCounted(count members.Count) {
	m.node.storeBackoff.SetCallers(m.node.selector.StoreCallers(count.All))
	m.node.shareAmong(count)
}

func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.client.Sweep(now)
			n.state.dropUnlisted(now)
		}
	}
}
