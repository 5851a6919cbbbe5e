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
	// leastRetryShare is the part of the slack, in sends, below which the nodes share it in
	// pools: a gather that has to send twice for a shard needs it at once.
	leastRetryShare = 2
	// nodesPerPool is how many nodes about share a pool.
	nodesPerPool = 48
	// sparePools allows for pools whose place others take.
	sparePools = 2
	// grantTimeout bounds a question to the pool: what comes later is of no use to most
	// requests.
	grantTimeout = 200 * time.Millisecond
	// openInterval is how often a node shows its pool that it is there.
	openInterval = 30 * time.Second
)

// retryShares are how the slack of the retry budget is shared.
type retryShares struct {
	// own is what a node has by itself, pool what each pool has.
	own, pool float64
	pooled    bool
}

// shareRetries divides the slack among the nodes, or among pools where they are many.
func shareRetries(slack float64, count members.Count, regions int) retryShares {
	own := slack / float64(count.All+spareNodes)
	if !count.Settled || own >= leastRetryShare {
		return retryShares{own: max(own, 1)}
	}
	pools := regions + count.All/nodesPerPool + sparePools
	return retryShares{pool: slack / float64(pools), pooled: true}
}

// askForRetries asks the pool for the extra sends that services lack, until ctx ends.
func (n *Node) askForRetries(ctx context.Context) {
	ticker := time.NewTicker(openInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.directory.GrantsNeeded():
		case <-n.poolChanged:
		case <-ticker.C:
		}
		n.askPool(ctx)
	}
}

// askPool asks the pool once. A node that wants nothing only lets the pool begin to count.
func (n *Node) askPool(ctx context.Context) {
	if !n.pooling.Load() {
		return
	}
	began := boottime.Time()
	wanted := n.directory.TakeGrantRequests(time.Now())
	granted, err := n.grantOf(ctx, wanted)
	if err != nil {
		klog.V(1).InfoS("no answer of the pool of retries", "services", len(wanted), "cause", err.Error())
		return
	}
	asked := time.Now().Add(-boottime.Time().Sub(began))
	n.directory.GrantRetries(granted, asked)
}

// grantOf returns what the pool grants, this node's own or another one's.
func (n *Node) grantOf(ctx context.Context, wanted retrybudget.SendCounts) (retrybudget.SendCounts, error) {
	holder, other := n.selector.RetryPoolNode(time.Now())
	if !other {
		return n.retryPool.Grant(wanted, boottime.Time()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return n.notices.AcquireRetries(ctx, holder.Address, wanted)
}
