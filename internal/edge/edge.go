// Package edge assembles the components of driftrouter and starts and stops them
// in order. driftrouter runs the whole query tier in one kind of process, on a
// platform whose store holds the configuration and the list of servers.
package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/ingress"
	"github.com/driftstage/driftstage/internal/listener"
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
	// Eras tracks the era of the store, from the store's answers and from other nodes, which may
	// report a later one.
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
	// spareNodes is added to the count of nodes to allow for those that have just started and are
	// not yet counted.
	spareNodes = 2
	// retryRatioMargin is subtracted from the retry ratio, because the windows of the nodes are not
	// aligned.
	retryRatioMargin = 0.02
	// windowFactor lengthens the window in which extra sends are counted: a send reaches the
	// server after it is counted, later by up to the time that a slow connection takes.
	windowFactor = 1.02
	// sweepInterval is how often idle connections and unlisted servers are checked for expiry.
	sweepInterval = time.Second
	// serversBatchDelay is how long changes of servers are collected before they are read.
	serversBatchDelay = 250 * time.Millisecond
	// The startup hold is minStartupHold plus a random part of startupHoldJitter. For this time after
	// its start, a node leaves any burst of at least burstSize changes to the readers, the nodes that
	// read the store for others, and takes the changes from these once it knows them. Without the hold,
	// many nodes that start together with their servers would each read all changes. It ends before a
	// node has to be current.
	minStartupHold    = 3500 * time.Millisecond
	startupHoldJitter = time.Second
	burstSize         = 64
)

// GCPercent is the garbage collection target. It is lower than the default of 100 because memory is
// more expensive than the CPU time of additional collections.
const GCPercent = 30

// minAssumedCount is the minimum number of nodes among which common limits are divided until the
// count is settled.
var minAssumedCount = members.Count{All: 10, Region: 4}

// Node is one process of the query tier.
type Node struct {
	settings settings.Router
	// reloadable holds the settings that can be reloaded while the node runs.
	reloadable atomic.Pointer[settings.Reloadable]
	// sharesCount is the number of nodes last passed to setShares.
	sharesCount members.Count
	sharesMutex sync.Mutex
	topology    endpoints.Topology
	member      members.Member
	started     time.Time
	store       Store
	state       *state
	directory   *endpoints.Directory
	client      *upstream.Client
	loadMeter   *overload.Meter
	server      *ingress.Server
	// clients protects the process from its callers.
	clients   ingress.ClientLimits
	readiness *readiness
	metrics   *metrics
	// selector picks the node to follow instead of reading from the store.
	selector        *peers.Selector
	tableRelay      *peers.Relay[*routing.Table]
	serverRelay     *peers.Relay[endpoints.Server]
	evacuationRelay *peers.Relay[endpoints.Evacuation]
	rolloutRelay    *peers.Relay[rollout.Order]
	quarantineRelay *peers.Relay[quarantine.Record]
	// tracker decides which versions may receive requests, agent executes the rollout orders; both
	// are nil if the deployment has no rollouts.
	tracker *rollout.Tracker
	agent   *rollout.Agent
	// quarantine detects requests that crash servers.
	quarantine *quarantine.Manager
	peerClient peers.Client
	// retryPool grants retries to the nodes for which this one manages a pool. retriesPooled is set
	// while retries are pooled; poolChanged signals that this or the pool size may have changed.
	retryPool     retrybudget.Pool
	retriesPooled atomic.Bool
	poolChanged   chan struct{}
	// becameReader is closed once the node reads the store for others. Until then, it leaves bursts
	// of changes to the readers for startupHold after its start.
	becameReader     chan struct{}
	becameReaderOnce sync.Once
	startupHold      time.Duration
	// storeRestored signals that the store was restored from a backup.
	storeRestored chan struct{}
	// announcer announces this node to the others and counts them.
	announcer *members.Announcer
	// storeBackoff is shared by the calls of all feeds to a failing store.
	storeBackoff catalog.Backoff
}

// Logs receives the logs of requests; the zero value discards them.
type Logs struct {
	Recorder *trace.Recorder
	// Dropped returns how many log lines were lost to a slow reader.
	Dropped func() uint64
}

// omitted returns how many requests the recorder omitted.
func (l Logs) omitted() float64 {
	if l.Recorder == nil {
		return 0
	}
	return float64(l.Recorder.Omitted())
}

func (l Logs) dropped() float64 {
	if l.Dropped == nil {
		return 0
	}
	return float64(l.Dropped())
}

// Run serves until ctx ends, then shuts down gracefully. It returns nil if no
// listener failed and no request was interrupted.
func (n *Node) Run(ctx context.Context) error {
	callers, err := listener.Listen(n.settings.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readinessListener, err := listener.Listen(n.settings.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
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
	go func() { failed <- n.readiness.serve(readinessListener) }()
	klog.InfoS("started", "zone", n.settings.Zone, "listen", n.settings.ListenAddress)
	select {
	case <-ctx.Done():
	case err = <-failed:
		klog.ErrorS(err, "a listener failed; stopping")
	}
	interrupted := n.stop(callers)
	cancel()
	klog.InfoS("stopped", "cut", interrupted)
	klog.Flush()
	if interrupted > 0 {
		err = errors.Join(err, errors.Newf("%d requests were interrupted", interrupted))
	}
	return err
}

// servePeers serves this node's state to other nodes, if it has a peer address.
func (n *Node) servePeers(failed chan<- error) error {
	if n.settings.PeerAddress == "" {
		return nil
	}
	listening, err := listener.Listen(n.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	storeStatus := peers.StoreStatusServer{UpToDate: func() bool { return n.storeBackoff.UpToDate(time.Now()) }}
	server := peers.NewServer(n.requester(), n.state.snapshot, n.tableRelay, n.serverRelay, n.evacuationRelay, n.rolloutRelay, n.quarantineRelay, n.reportServer(), peers.NoticeServer{Handle: n.quarantine.ReceiveNotice}, storeStatus,
		&peers.MemberServer{Latest: n.announcer.Latest}, peers.ConfigurationServer{Table: n.state.Table}, peers.RetryServer{Pool: &n.retryPool, Now: boottime.Time})
	go func() { failed <- server.Serve(listening) }()
	return nil
}

// setShares divides the limits that all nodes have in common among the given number of nodes.
func (n *Node) setShares(count members.Count) {
	n.sharesMutex.Lock()
	defer n.sharesMutex.Unlock()
	n.sharesCount = count
	if !count.Settled {
		count = count.AtLeast(minAssumedCount)
	}
	current := n.reloadable.Load()
	shares := divideSlack(current.RetrySlack, count, n.regionCount())
	window := time.Duration(windowFactor * float64(current.RetryWindow))
	n.retryPool.SetLimits(shares.perPool, window)
	budget := retrybudget.Limits{
		Ratio:    max(current.RetryRatio-retryRatioMargin, 0),
		Capacity: shares.perNode,
		Window:   window,
		Started:  n.started,
	}
	n.retriesPooled.Store(shares.pooled)
	select {
	case n.poolChanged <- struct{}{}:
	default:
	}
	n.directory.SetNodeLimits(budget, shares.pooled, endpoints.NodeCounts{
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

// Reload applies the settings that may change while the node runs; changes of the
// others take effect at its next start.
func (n *Node) Reload(newer settings.Router) {
	changes := n.settings.Changes(newer)
	n.reloadable.Store(&newer.Reloadable)
	n.sharesMutex.Lock()
	count := n.sharesCount
	n.sharesMutex.Unlock()
	n.setShares(count)
	klog.InfoS("settings reloaded", "retry_ratio", newer.RetryRatio, "retry_slack", newer.RetrySlack,
		"retry_window", newer.RetryWindow.String(), "stop_timeout", newer.StopTimeout.String(), "seeds", len(newer.Seeds), "needs_restart", changes.RestartRequired)
}

// memberObserver updates the node when the live members change.
type memberObserver struct{ node *Node }

// MembersRead implements members.Observer.
func (m memberObserver) MembersRead(live []members.Member) {
	m.node.selector.SetMembers(live)
	if m.node.selector.IsReader() {
		m.node.becameReaderOnce.Do(func() { close(m.node.becameReader) })
	}
	m.node.setRolloutMembers(live)
}

// MembersCounted implements members.Observer.
func (m memberObserver) MembersCounted(count members.Count) {
	m.node.storeBackoff.SetCallers(m.node.selector.StoreCallers(count.All))
	m.node.setShares(count)
}

func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.client.CloseExpired(now)
			n.state.dropUnlisted(now)
		}
	}
}
