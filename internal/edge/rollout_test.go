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

// rolloutWorld are nodes with one store and the servers of one service.
type rolloutWorld struct {
	*world
	nodes []*world
}

// newRolloutWorld starts so many nodes that know each other, and old servers.
func newRolloutWorld(t *testing.T, count int) *rolloutWorld {
	is := is.New(t)
	first := newWorld(t, configuration(1, singleRoute("/one/", "safe", "s")))
	result := &rolloutWorld{world: first}
	addresses := make([]string, count)
	for index := range count {
		addresses[index] = freeAddress(t)
		member := members.Member{Name: nodeName(index), Zone: "zone-1", Sequence: 1, Address: addresses[index]}
		is.NoErr(platform.NewStore(first.store.Address()).Announce(member, time.Now().Add(time.Second)))
	}
	for index := range 2 {
		first.serve(standin.ServerOptions{ID: fmt.Sprint("old-", index), Service: "s", Version: oldVersion})
	}
	for index, address := range addresses {
		node := &world{t: t, store: first.store, servers: first.servers, stopped: make(chan error, 1)}
		node.start(func(loaded *settings.Router) {
			loaded.Name = nodeName(index)
			loaded.PeerAddress = address
			loaded.MetricsAddress = freeAddress(t)
		}, rollouts)
		result.nodes = append(result.nodes, node)
	}
	for _, node := range result.nodes {
		node.eventually("ready", node.ready)
	}
	return result
}

func rollouts(loaded *settings.Router) {
	loaded.Rollouts = rollout.Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}
}

func nodeName(index int) string { return fmt.Sprint("node-", index+1) }

// order asks for the new version and starts its servers.
func (w *rolloutWorld) order(duration time.Duration, flaw standin.Flaw) {
	w.t.Helper()
	is.New(w.t).NoErr(w.store.Order(standin.Rollout{Service: "s", TargetVersion: newVersion, DurationS: duration.Seconds()}))
	for index := range 2 {
		w.serve(standin.ServerOptions{ID: fmt.Sprint("new-", index), Service: "s", Version: newVersion, Flaw: flaw})
	}
}

// callers ask all nodes until the order has ended, and return how many answers were no
// success.
func (w *rolloutWorld) callers(within time.Duration) int {
	w.t.Helper()
	var callers sync.WaitGroup
	var mutex sync.Mutex
	failed := 0
	for index, node := range w.nodes {
		callers.Go(func() {
			deadline := time.Now().Add(within)
			for number := 0; w.running() && time.Now().Before(deadline); number++ {
				if answer := node.ask("/one/", fmt.Sprintf("id-%d-%d", index, number)); answer.status != http.StatusOK {
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

func (w *rolloutWorld) running() bool {
	state := w.store.RolloutStatus("s").State
	return state == "" || state == "running"
}

// ran returns how many requests ran at servers whose name begins so.
func (w *rolloutWorld) ran(prefix string) int {
	count := 0
	for id, server := range w.servers {
		if strings.HasPrefix(id, prefix) {
			count += len(server.Runs())
		}
	}
	return count
}

// A version that is as good as the old one gets all the traffic, and callers notice nothing.
func TestGoodVersionTakesOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	world := newRolloutWorld(t, 3)
	world.order(8*time.Second, standin.Flaw{})
	is.Equal(world.callers(12*time.Second), 0)
	is.Equal(world.store.RolloutStatus("s"), standin.RolloutStatus{State: "completed", TargetVersion: newVersion})
	before := world.ran("old")
	for id, server := range world.servers {
		if strings.HasPrefix(id, "old") {
			world.store.Remove("servers", id)
			server.Close()
		}
	}
	for index, node := range world.nodes {
		for number := range 10 {
			is.Equal(node.ask("/one/", fmt.Sprintf("after-%d-%d", index, number)).status, http.StatusOK)
		}
	}
	is.Equal(world.ran("old"), before)
	metrics := world.nodes[0].admin("/metrics")
	is.True(strings.Contains(metrics, `driftstage_rollout_state{service="s",stage="whole",state="completed",target="v2"} 1`))
	is.True(strings.Contains(metrics, `driftstage_rollout_answers_count{result="failed",service="s",version="new"} 0`))
	state := world.nodes[0].admin("/debug/state")
	is.True(strings.Contains(state, `"State": "completed"`))
}

// admin returns what the node tells operators on the path.
func (w *world) admin(path string) string {
	w.t.Helper()
	is := is.New(w.t)
	answer, err := http.Get("http://" + w.loaded.MetricsAddress + path)
	is.NoErr(err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	return string(body)
}

// A version that fails half of its requests is rolled back before it gets more than its
// bound, and callers get the answers of the old one.
func TestBadVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	world := newRolloutWorld(t, 3)
	world.order(30*time.Second, standin.Flaw{Share: 0.5, Behavior: standin.Fail})
	is.Equal(world.callers(20*time.Second), 0)
	is.Equal(world.store.RolloutStatus("s"), standin.RolloutStatus{State: "rolled_back", TargetVersion: newVersion})
	world.eventually("all nodes have heard", func() bool {
		before := world.ran("new")
		for index, node := range world.nodes {
			for number := range 10 {
				is.Equal(node.ask("/one/", fmt.Sprintf("after-%d-%d", index, number)).status, http.StatusOK)
			}
		}
		return world.ran("new") == before
	})
	is.True(float64(world.ran("new")) <= 50+0.1*float64(world.runs()))
}

// While the store is away a bad version is halted all the same; the answer is written when
// the store is there again.
func TestBadVersionIsHaltedWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	world := newRolloutWorld(t, 3)
	world.order(30*time.Second, standin.Flaw{Share: 0.5, Behavior: standin.Fail, After: 3 * time.Second})
	var callers sync.WaitGroup
	failed := 0
	callers.Go(func() { failed = world.callers(20 * time.Second) })
	world.eventually("the canary runs", func() bool { return world.ran("new") > 0 })
	world.store.SetFaults(standin.StoreFaults{Silent: true})
	world.eventually("the version is halted", func() bool {
		return strings.Contains(world.nodes[0].admin("/debug/state"), `"Halted": true`)
	})
	is.Equal(world.store.RolloutStatus("s").State, "running")
	world.store.SetFaults(standin.StoreFaults{})
	world.eventually("the answer is written", func() bool { return world.store.RolloutStatus("s").State == "rolled_back" })
	callers.Wait()
	is.Equal(failed, 0)
}

// A node that starts while the store is away learns from its peers which versions get
// nothing.
func TestOrdersAreLearnedFromAPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	peer := newRolloutWorld(t, 1)
	peer.order(30*time.Second, standin.Flaw{})
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
	peer.eventually("the peer knows", func() bool {
		return strings.Contains(peer.nodes[0].admin("/debug/state"), `"State": "rolled_back"`)
	})
	before := peer.ran("new")
	started := newWorld(t, configuration(1))
	started.store.SetFaults(standin.StoreFaults{Silent: true})
	started.startReady(rollouts, func(loaded *settings.Router) { loaded.Seeds = []string{peer.nodes[0].loaded.PeerAddress} })
	for number := range 10 {
		is.Equal(started.ask("/one/", fmt.Sprint("id-", number)).status, http.StatusOK)
	}
	is.Equal(peer.ran("new"), before)
}

// Without the setting the orders are not read, and versions make no difference.
func TestVersionsMakeNoDifferenceWithoutRollouts(t *testing.T) {
	is := is.New(t)
	world := newWorld(t, configuration(1, singleRoute("/one/", "safe", "s")))
	is.NoErr(world.store.Order(standin.Rollout{Service: "s", TargetVersion: newVersion, DurationS: 20}))
	world.serve(standin.ServerOptions{ID: "new", Service: "s", Version: newVersion})
	world.startReady()
	is.Equal(world.ask("/one/", "id").status, http.StatusOK)
	is.Equal(world.store.RolloutStatus("s"), standin.RolloutStatus{})
	is.Equal(world.store.Calls("list rollouts"), 0)
}
