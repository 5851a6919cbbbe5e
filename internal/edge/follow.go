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

// follow keeps the configuration and the servers current.
func (n *Node) follow(ctx context.Context, tasks *sync.WaitGroup) {
	tables := newFollower(n, feedTables, n.store.Tables(), tableSink{n.state}, n.tableRelay)
	servers := newFollower(n, feedServers, n.store.Servers(), serverSink{n.state}, n.serverRelay)
	servers.SetBatchDelay(n.serversPause, n.reads)
	if n.mayBeHanded() {
		servers.UseHandover(&n.state.handed)
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
		Addresses:  func() []string { return n.live.Load().Seeds },
		Complete:   n.state.complete,
		Adopt:      n.state.adoptSnapshot,
		OnNoAnswer: n.state.handed.Abandon,
	}
	tasks.Go(func() { bootstrapper.Run(ctx) })
	search := peers.RecoveryProber{Selector: n.selector, Disconnected: n.storeBackoff.Disconnected, OnRecovery: n.storeBackoff.RetryNow}
	tasks.Go(func() { search.Run(ctx) })
	tasks.Go(func() { n.compareConfigurations(ctx) })
	tasks.Go(func() { n.sweep(ctx) })
	tasks.Go(func() { n.askForRetries(ctx) })
	tasks.Go(func() { n.probe(ctx) })
	tasks.Go(func() { n.quarantine.Run(ctx) })
	tasks.Go(func() { n.load.Run(ctx) })
}

// mayBeHanded reports whether other nodes may hand over what this one has to know. Those that
// all others ask first read the store for themselves.
func (n *Node) mayBeHanded() bool {
	seeds := n.live.Load().Seeds
	return len(seeds) > 0 && !slices.Contains(seeds, n.settings.PeerAddress)
}

// serversPause returns the pause after so many changes of servers.
func (n *Node) serversPause(changes int) time.Duration {
	if n.reading() {
		return serversSettle
	}
	return pauseAfterChanges(changes, time.Since(n.started), n.startHold, n.mayBeHanded())
}

// pauseAfterChanges returns the pause of a node of the given age, which holds until another; other
// nodes may tell it what it has to know, or not.
func pauseAfterChanges(changes int, age, hold time.Duration, told bool) time.Duration {
	if told && changes >= manyChanges && age < hold {
		return max(hold-age, serversSettle)
	}
	return serversSettle
}

// reading reports whether the node has learned that it reads the store for others.
func (n *Node) reading() bool {
	select {
	case <-n.reads:
		return true
	default:
		return false
	}
}

// newAnnouncer returns what keeps the node announced. Those that all others ask read the
// announcements for themselves.
func (n *Node) newAnnouncer() *members.Announcer {
	announcer := members.NewAnnouncer(n.store, n.member, n.topology.SameRegion, memberObserver{n})
	if n.mayBeHanded() {
		announcer.PreferPeers(func() ([]members.Member, error) { return peers.FetchMembers(n.live.Load().Seeds) })
	}
	return announcer
}

// requester is the node as it shows itself to others.
func (n *Node) requester() peers.Requester {
	return peers.Requester{Address: n.settings.PeerAddress, Zone: n.settings.Zone, Region: n.settings.Region}
}

// newFollower returns a follower that spares the store together with the node's others.
func newFollower[T any](n *Node, name string, feed catalog.Feed[T], sink catalog.Sink[T], relay *peers.Relay[T]) *catalog.Follower[T] {
	follower := catalog.NewFollower(name, feed, sink, storeObserver{n.metrics, &n.state.unreadable})
	follower.UseRelay(relay)
	follower.UseBackoff(&n.storeBackoff)
	follower.UseEraTracker(n.store.Eras())
	return follower
}

// storeObserver counts calls to the store, and keeps and logs what can't be understood there.
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
