package peers

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/members"
)

// currentBound is the time within which a change must be known to all nodes that can reach the
// store, whatever the age of its answers to reads that may be stale (3 s).
const currentBound = 2900 * time.Millisecond

// regionSizes are the numbers of nodes in each region of a deployment.
type regionSizes []int

func (sizes regionSizes) members() []members.Member {
	var all []members.Member
	for region, size := range sizes {
		for range size {
			name := nodeName(len(all))
			all = append(all, members.Member{Name: name, Address: name, Zone: fmt.Sprint("region", region, "-a")})
		}
	}
	return all
}

// Guards against nodes that act on an old state for seconds, because the store may answer reads that
// may be stale from a copy that lags: whether they read the store, follow a node that does, or have
// just lost the node that confirms their state.
func TestLagOfTheStoreDoesNotDelayNodes(t *testing.T) {
	for _, sizes := range []regionSizes{{1}, {1, 1, 1}, {4, 3, 2}, {20, 9, 1}} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, confirmer lost: %v", sizes, lost), func(t *testing.T) {
				for offset := range 20 {
					synctest.Test(t, func(t *testing.T) {
						checkLaggingStore(t, sizes, lost, time.Duration(offset)*150*time.Millisecond)
					})
				}
			})
		}
	}
}

func checkLaggingStore(t *testing.T, sizes regionSizes, lost bool, offset time.Duration) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		time.Sleep(requestTimeout) // probes in flight end
	}()
	cluster := startRecoveryCluster(ctx, sizes.members())
	for _, kind := range cluster.kinds {
		kind.setLag(time.Hour)
	}
	time.Sleep(30*time.Second + offset)
	confirmer := cluster.confirmer()
	reachable := func(node int) bool { return !lost || len(cluster.nodes) == 1 || node != confirmer }
	cluster.network.set(reachable, func(from, to int) bool { return reachable(from) && reachable(to) })
	for _, kind := range cluster.kinds {
		kind.write()
	}
	time.Sleep(currentBound)
	for _, number := range cluster.behind() {
		is.True(!reachable(number)) // a node that can reach the store lacks a change
	}
}

// confirmer returns the node that reads the store without lag for all others.
func (c *recoveryCluster) confirmer() int {
	for _, node := range c.nodes {
		if _, found := node.selector.Confirmer(time.Now()); !found {
			return node.number
		}
	}
	return -1
}

// One node reads the store without lag for all of them, however many regions there are, and only the
// nodes that others follow read it at all.
func TestOneNodeReadsTheStoreWithoutLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := startRecoveryCluster(t.Context(), regionSizes{20, 9, 4, 1}.members())
		time.Sleep(10 * time.Second)
		kind := cluster.kinds[0]
		kind.setLag(0)
		time.Sleep(time.Minute)
		kind.mutex.Lock()
		defer kind.mutex.Unlock()
		is.True(kind.fresh <= 34)  // one each 1.8 s
		is.True(kind.stale <= 275) // three nodes, at most one each 600 ms
	})
}
