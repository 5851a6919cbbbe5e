package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/peers"
)

// follow starts the background tasks: the followers of the store and the periodic work.
func (n *Node) follow(ctx context.Context, tasks *sync.WaitGroup) {
	tables := newFollower(n, feedTables, n.store.Tables(), tableSink{n.state}, n.tableRelay)
	servers := newFollower(n, feedServers, n.store.Servers(), serverSink{n.state}, n.serverRelay)
	servers.SetBatchDelay(n.batchDelay, n.becameReader)
	if n.canBootstrap() {
		servers.UseHandover(&n.state.handover)
	}
	tasks.Go(func() { tables.Run(ctx) })
	tasks.Go(func() { servers.Run(ctx) })
	if n.settings.Evacuations {
		evacuations := newFollower(n, feedEvacuations, n.store.Evacuations(), evacuationSink{n.state}, n.evacuationRelay)
		tasks.Go(func() { evacuations.Run(ctx) })
	}
	if n.agent != nil {
		rollouts := newFollower(n, feedRollouts, n.store.Rollouts(), rolloutSink{n.state, n.agent}, n.rolloutRelay)
		tasks.Go(func() { rollouts.Run(ctx) })
		tasks.Go(func() { n.agent.Run(ctx) })
	}
	if n.settings.QuarantineTerm > 0 {
		records := newFollower(n, feedQuarantine, n.store.Quarantine(), n.quarantine, n.quarantineRelay)
		tasks.Go(func() { records.Run(ctx) })
	}
	tasks.Go(func() { n.announcer.Run(ctx) })
	bootstrapper := peers.Bootstrapper{
		Self:       n.requester(),
		Addresses:  func() []string { return n.reloadable.Load().Seeds },
		Complete:   n.state.complete,
		Adopt:      n.state.adoptSnapshot,
		OnNoAnswer: n.state.handover.Abandon,
	}
	tasks.Go(func() { bootstrapper.Run(ctx) })
	recovery := peers.RecoveryProber{Selector: n.selector, Disconnected: n.storeBackoff.Disconnected, OnRecovery: n.storeBackoff.RetryNow}
	tasks.Go(func() { recovery.Run(ctx) })
	tasks.Go(func() { n.compareConfigurations(ctx) })
	tasks.Go(func() { n.sweep(ctx) })
	tasks.Go(func() { n.refillRetries(ctx) })
	tasks.Go(func() { n.probe(ctx) })
	tasks.Go(func() { n.quarantine.Run(ctx) })
	tasks.Go(func() { n.loadMeter.Run(ctx) })
}

// canBootstrap reports whether this node may take its initial state from other nodes. The seeds,
// which all other nodes ask first, read the store instead.
func (n *Node) canBootstrap() bool {
	seeds := n.reloadable.Load().Seeds
	return len(seeds) > 0 && !slices.Contains(seeds, n.settings.PeerAddress)
}

// batchDelay returns how long to collect changes of servers, given the number so far.
func (n *Node) batchDelay(changes int) time.Duration {
	if n.isReader() {
		return serversBatchDelay
	}
	return batchDelayAt(changes, time.Since(n.started), n.startupHold, n.canBootstrap())
}

// batchDelayAt returns the batch delay of a node of the given age. A node that can bootstrap from
// others leaves bursts of changes to the readers until its age reaches hold.
func batchDelayAt(changes int, age, hold time.Duration, bootstrap bool) time.Duration {
	if bootstrap && changes >= burstSize && age < hold {
		return max(hold-age, serversBatchDelay)
	}
	return serversBatchDelay
}

// isReader reports whether the node has become a reader of the store for other nodes.
func (n *Node) isReader() bool {
	select {
	case <-n.becameReader:
		return true
	default:
		return false
	}
}

// newAnnouncer returns the announcer of the node. The seeds, which all other nodes ask, read the
// announcements from the store.
func (n *Node) newAnnouncer() *members.Announcer {
	announcer := members.NewAnnouncer(n.store, n.member, n.topology.SameRegion, memberObserver{n})
	if n.canBootstrap() {
		announcer.PreferPeers(func() ([]members.Member, error) { return peers.FetchMembers(n.reloadable.Load().Seeds) })
	}
	return announcer
}

// requester identifies this node in its requests to others.
func (n *Node) requester() peers.Requester {
	return peers.Requester{Address: n.settings.PeerAddress, Zone: n.settings.Zone, Region: n.settings.Region}
}

// newFollower returns a follower that shares the backoff and the era with the node's other followers.
func newFollower[T any](n *Node, name string, feed catalog.Feed[T], sink catalog.Sink[T], relay *peers.Relay[T]) *catalog.Follower[T] {
	follower := catalog.NewFollower(name, feed, sink, storeObserver{n.metrics, &n.state.unreadable})
	follower.UseRelay(relay)
	follower.UseBackoff(&n.storeBackoff)
	follower.UseEraTracker(n.store.Eras())
	return follower
}

// storeObserver counts calls to the store, and records and logs objects that cannot be decoded.
type storeObserver struct {
	*metrics
	unreadable *catalog.UnreadableObjects
}

// ObjectUnreadable implements catalog.Observer.
func (o storeObserver) ObjectUnreadable(feed string, failure catalog.DecodeFailure) {
	o.metrics.ObjectUnreadable(feed, failure)
	if o.unreadable.Record(feed, failure, time.Now()) {
		klog.InfoS("object of the store can't be understood", "feed", feed, "name", failure.Name, "cause", failure.Cause)
	}
}
