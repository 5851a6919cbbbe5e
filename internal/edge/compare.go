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
	// compareSpread spreads the questions of nodes that start, or hear of a restored store, together.
	compareSpread = 500 * time.Millisecond
	// compareInterval is the pause before a node that knows no configuration yet, or has reached
	// nobody, asks again; it does so mostCompares times.
	compareInterval = 500 * time.Millisecond
	mostCompares    = 6
)

// compareConfigurations asks other nodes for a later configuration than the own one, at the start
// and each time that the store was restored: its copy may be from before the latest.
func (n *Node) compareConfigurations(ctx context.Context) {
	for {
		for range mostCompares {
			if !wait(ctx, rand.N(compareSpread)) {
				return
			}
			if n.state.Table() != nil && n.compareConfiguration() {
				break
			}
			if !wait(ctx, compareInterval) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-n.restored:
		}
	}
}

// wait returns after the pause; false if ctx ends before.
func wait(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// compareConfiguration reports whether nothing is left to be asked. A store that does not tell its era
// loses nothing.
func (n *Node) compareConfiguration() bool {
	if n.store.Eras().Latest() == 0 {
		return true
	}
	addresses := n.otherAddresses()
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
		n.state.adopt(table)
	}
	return true
}

// noteRestored ends what rests on an earlier era of the store, and lets everything be read anew.
func (n *Node) noteRestored(era catalog.Era) {
	n.versions.StoreRestored(era, boottime.Time())
	n.quarantine.StoreRestored()
	n.announcer.StoreRestored()
	n.storeBackoff.StoreRestored()
	select {
	case n.restored <- struct{}{}:
	default:
	}
}
