package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/peers"
)

const (
	// compareJitter spreads the requests of nodes that start, or detect a restored store, at the
	// same time.
	compareJitter = 500 * time.Millisecond
	// compareInterval is the pause before the next attempt if the node has no configuration yet or
	// no other node answered; maxCompares bounds the attempts.
	compareInterval = 500 * time.Millisecond
	maxCompares     = 6
)

// compareConfigurations asks other nodes for a later configuration than this node's, at the start
// and whenever the store was restored from a backup: the backup may be older than the latest configuration.
func (n *Node) compareConfigurations(ctx context.Context) {
	for {
		for range maxCompares {
			if !sleep(ctx, rand.N(compareJitter)) {
				return
			}
			if n.state.Table() != nil && n.compareConfiguration() {
				break
			}
			if !sleep(ctx, compareInterval) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-n.storeRestored:
		}
	}
}

// sleep waits for the pause; it returns false if ctx ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// compareConfiguration asks the other nodes once and reports whether the comparison is complete.
// It is skipped for a store without eras, which is assumed never to lose data.
func (n *Node) compareConfiguration() bool {
	if n.store.Eras().Latest() == 0 {
		return true
	}
	addresses := n.peerAddresses()
	if len(addresses) == 0 {
		return true
	}
	version := n.state.version()
	table, err := peers.FetchConfiguration(addresses, version)
	if err != nil {
		klog.V(1).InfoS("configuration not compared", "cause", err.Error())
		return false
	}
	if table != nil {
		klog.InfoS("later configuration learned from another node", "version", table.Version, "before", version)
		n.state.adoptTable(table)
	}
	return true
}

// handleStoreRestored discards state that depends on an earlier era of the store and triggers a
// new comparison of configurations.
func (n *Node) handleStoreRestored(era catalog.Era) {
	n.tracker.StoreRestored(era, boottime.Time())
	n.quarantine.StoreRestored()
	n.announcer.StoreRestored()
	n.storeBackoff.StoreRestored()
	select {
	case n.storeRestored <- struct{}{}:
	default:
	}
}
