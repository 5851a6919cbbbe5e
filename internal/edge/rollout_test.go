package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/platform"
	"github.com/driftstage/driftstage/platform/standin"
)

const (
	oldVersion = "v1"
	newVersion = "v2"
)

// rolloutCluster has several nodes with a common store, and the servers of one service.
type rolloutCluster struct {
	*harness
	nodes []*harness
}

// newRolloutCluster starts the given number of nodes, which are peers of each other, and servers of the
// old version.
func newRolloutCluster(t *testing.T, count int) *rolloutCluster {
	is := is.New(t)
	first := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	cluster := &rolloutCluster{harness: first}
	addresses := make([]string, count)
	for index := range count {
		addresses[index] = freeAddress(t)
		member := members.Member{Name: nodeName(index), Zone: "zone-1", Sequence: 1, Address: addresses[index]}
		is.NoErr(platform.NewStore(first.store.Address()).Announce(member, time.Now().Add(time.Second)))
	}
	for index := range 2 {
		first.startServer(standin.ServerOptions{ID: fmt.Sprint("old-", index), Service: "s", Version: oldVersion})
	}
	for index, address := range addresses {
		node := &harness{t: t, store: first.store, servers: first.servers, stopped: make(chan error, 1)}
		node.start(func(loaded *settings.Router) {
			loaded.Name = nodeName(index)
			loaded.PeerAddress = address
			loaded.MetricsAddress = freeAddress(t)
		}, enableRollouts)
		cluster.nodes = append(cluster.nodes, node)
	}
	for _, node := range cluster.nodes {
		node.eventually("ready", node.ready)
	}
	return cluster
}

func enableRollouts(loaded *settings.Router) {
	loaded.Rollouts = rollout.Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}
}

func nodeName(index int) string { return fmt.Sprint("node-", index+1) }

// startRollout writes the order for the new version and starts its servers.
func (c *rolloutCluster) startRollout(duration time.Duration, flaw standin.Flaw) {
	c.t.Helper()
	is.New(c.t).NoErr(c.store.PutRollout(standin.Rollout{Service: "s", TargetVersion: newVersion, DurationS: duration.Seconds()}))
	for index := range 2 {
		c.startServer(standin.ServerOptions{ID: fmt.Sprint("new-", index), Service: "s", Version: newVersion, Flaw: flaw})
	}
}

// runCallers sends requests to all nodes until the rollout ends, and returns how many failed.
func (c *rolloutCluster) runCallers(within time.Duration) int {
	c.t.Helper()
	var callers sync.WaitGroup
	var mutex sync.Mutex
	failed := 0
	for index, node := range c.nodes {
		callers.Go(func() {
			deadline := time.Now().Add(within)
			for number := 0; c.rolloutRunning() && time.Now().Before(deadline); number++ {
				if answer := node.get("/one/", fmt.Sprintf("id-%d-%d", index, number)); answer.status != http.StatusOK {
					mutex.Lock()
					failed++
					mutex.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return failed
}

func (c *rolloutCluster) rolloutRunning() bool {
	state := c.store.RolloutStatus("s").State
	return state == "" || state == "running"
}

// runCountOf returns how many requests ran on servers whose ID has the prefix.
func (c *rolloutCluster) runCountOf(prefix string) int {
	count := 0
	for id, server := range c.servers {
		if strings.HasPrefix(id, prefix) {
			count += len(server.Runs())
		}
	}
	return count
}

// A version that is as good as the old one gets all the traffic, and no request fails.
func TestGoodVersionIsRolledOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newRolloutCluster(t, 3)
	c.startRollout(8*time.Second, standin.Flaw{})
	is.Equal(c.runCallers(12*time.Second), 0)
	is.Equal(c.store.RolloutStatus("s"), standin.RolloutStatus{State: "completed", TargetVersion: newVersion})
	before := c.runCountOf("old")
	for id, server := range c.servers {
		if strings.HasPrefix(id, "old") {
			c.store.Remove("servers", id)
			server.Close()
		}
	}
	for index, node := range c.nodes {
		for number := range 10 {
			is.Equal(node.get("/one/", fmt.Sprintf("after-%d-%d", index, number)).status, http.StatusOK)
		}
	}
	is.Equal(c.runCountOf("old"), before)
	metrics := c.nodes[0].adminGet("/metrics")
	is.True(strings.Contains(metrics, `driftstage_rollout_state{service="s",stage="whole",state="completed",target="v2"} 1`))
	is.True(strings.Contains(metrics, `driftstage_rollout_answers_count{result="failed",service="s",version="new"} 0`))
	state := c.nodes[0].adminGet("/debug/state")
	is.True(strings.Contains(state, `"State": "completed"`))
}

// adminGet returns the response of the node's administrative interface for the path.
func (h *harness) adminGet(path string) string {
	h.t.Helper()
	is := is.New(h.t)
	answer, err := http.Get("http://" + h.loaded.MetricsAddress + path)
	is.NoErr(err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	return string(body)
}

// A version that fails half of its requests is rolled back before it gets more requests than its
// bound, and callers get the answers of the old one.
func TestBadVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newRolloutCluster(t, 3)
	c.startRollout(30*time.Second, standin.Flaw{Share: 0.5, Behavior: standin.Fail})
	is.Equal(c.runCallers(20*time.Second), 0)
	is.Equal(c.store.RolloutStatus("s"), standin.RolloutStatus{State: "rolled_back", TargetVersion: newVersion})
	c.eventually("no node sends to the bad version", func() bool {
		before := c.runCountOf("new")
		for index, node := range c.nodes {
			for number := range 10 {
				is.Equal(node.get("/one/", fmt.Sprintf("after-%d-%d", index, number)).status, http.StatusOK)
			}
		}
		return c.runCountOf("new") == before
	})
	is.True(float64(c.runCountOf("new")) <= 50+0.1*float64(c.runCount()))
}

// A bad version is halted even while the store is unavailable; the status is written when the store
// is available again.
func TestBadVersionIsHaltedDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newRolloutCluster(t, 3)
	c.startRollout(30*time.Second, standin.Flaw{Share: 0.5, Behavior: standin.Fail, After: 3 * time.Second})
	var callers sync.WaitGroup
	failed := 0
	callers.Go(func() { failed = c.runCallers(20 * time.Second) })
	c.eventually("the canary runs", func() bool { return c.runCountOf("new") > 0 })
	c.store.SetFaults(standin.StoreFaults{Hang: true})
	c.eventually("the version is halted", func() bool {
		return strings.Contains(c.nodes[0].adminGet("/debug/state"), `"Halted": true`)
	})
	is.Equal(c.store.RolloutStatus("s").State, "running")
	c.store.SetFaults(standin.StoreFaults{})
	c.eventually("the status is written", func() bool { return c.store.RolloutStatus("s").State == "rolled_back" })
	callers.Wait()
	is.Equal(failed, 0)
}

// A node that starts while the store is unavailable learns from its peers which versions must
// not receive requests.
func TestRolloutOrdersFromPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	peer := newRolloutCluster(t, 1)
	peer.startRollout(30*time.Second, standin.Flaw{})
	store := platform.NewStore(peer.store.Address())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var order rollout.Order
	peer.eventually("the order is rolled back", func() bool {
		page, err := store.Rollouts().List(ctx, "")
		is.NoErr(err)
		order = page.Items[0]
		_, err = store.WriteStatus(ctx, order, rollout.Status{State: rollout.StateRolledBack, Target: newVersion})
		return err == nil
	})
	peer.eventually("the peer has the rollback", func() bool {
		return strings.Contains(peer.nodes[0].adminGet("/debug/state"), `"State": "rolled_back"`)
	})
	before := peer.runCountOf("new")
	joining := newHarness(t, configuration(1))
	joining.store.SetFaults(standin.StoreFaults{Hang: true})
	joining.startReady(enableRollouts, func(loaded *settings.Router) { loaded.Seeds = []string{peer.nodes[0].loaded.PeerAddress} })
	for number := range 10 {
		is.Equal(joining.get("/one/", fmt.Sprint("id-", number)).status, http.StatusOK)
	}
	is.Equal(peer.runCountOf("new"), before)
}

// Without the rollout settings, orders are not read and versions are ignored.
func TestVersionsAreIgnoredWithoutRollouts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	is.NoErr(h.store.PutRollout(standin.Rollout{Service: "s", TargetVersion: newVersion, DurationS: 20}))
	h.startServer(standin.ServerOptions{ID: "new", Service: "s", Version: newVersion})
	h.startReady()
	is.Equal(h.get("/one/", "id").status, http.StatusOK)
	is.Equal(h.store.RolloutStatus("s"), standin.RolloutStatus{})
	is.Equal(h.store.Calls("list rollouts"), 0)
}
