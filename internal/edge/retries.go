package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/retrybudget"
)

const (
	// minRetryShare is the minimum share of the slack for each node, in sends; if the shares are
	// smaller, the nodes use pools instead. A gather that sends twice for a shard needs this much
	// at once.
	minRetryShare = 2
	// nodesPerPool is the approximate number of nodes that share a pool.
	nodesPerPool = 48
	// sparePools is added to the count of pools for those that replace others: a
	// replaced pool may just have granted its whole capacity.
	sparePools = 2
	// grantTimeout bounds a request to the pool: a later grant is useless to most queries.
	grantTimeout = 200 * time.Millisecond
	// poolRefreshInterval is how often a node contacts its pool even if it needs no retries.
	poolRefreshInterval = 30 * time.Second
)

// retryShares describes how the slack of the retry budget is divided.
type retryShares struct {
	// perNode is the capacity of each node, perPool that of each pool.
	perNode, perPool float64
	pooled           bool
}

// divideSlack divides the slack among the nodes, or among pools if there are many nodes.
func divideSlack(slack float64, count members.Count, regions int) retryShares {
	perNode := slack / float64(count.All+spareNodes)
	if !count.Settled || perNode >= minRetryShare {
		return retryShares{perNode: max(perNode, 1)}
	}
	pools := regions + count.All/nodesPerPool + sparePools
	return retryShares{perPool: slack / float64(pools), pooled: true}
}

// refillRetries requests from the pool the retries that services lack, until ctx ends.
func (n *Node) refillRetries(ctx context.Context) {
	ticker := time.NewTicker(poolRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.directory.GrantsNeeded():
		case <-n.poolChanged:
		case <-ticker.C:
		}
		n.acquireRetries(ctx)
	}
}

// acquireRetries sends one request to the pool. An empty request only opens the pool.
func (n *Node) acquireRetries(ctx context.Context) {
	if !n.retriesPooled.Load() {
		return
	}
	started := boottime.Time()
	wanted := n.directory.TakeGrantRequests(time.Now())
	granted, err := n.requestGrant(ctx, wanted)
	if err != nil {
		klog.V(1).InfoS("no answer of the pool of retries", "services", len(wanted), "cause", err.Error())
		return
	}
	requestedAt := time.Now().Add(-boottime.Time().Sub(started))
	n.directory.GrantRetries(granted, requestedAt)
}

// requestGrant returns the retries granted by the pool, which this node or another one manages.
func (n *Node) requestGrant(ctx context.Context, wanted retrybudget.SendCounts) (retrybudget.SendCounts, error) {
	manager, remote := n.selector.RetryPoolNode(time.Now())
	if !remote {
		return n.retryPool.Grant(wanted, boottime.Time()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return n.peerClient.AcquireRetries(ctx, manager.Address, wanted)
}
