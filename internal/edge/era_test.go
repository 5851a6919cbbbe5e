package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/platform/standin"
)

// maxRestoreDelay is the time within which a write to a restored store must take effect.
const maxRestoreDelay = 2500 * time.Millisecond

// versionPath returns the path of a route that exists only in the given version.
func versionPath(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// writeVersion writes a version of the configuration.
func (h *harness) writeVersion(version uint64) {
	h.t.Helper()
	h.configure(configuration(version, singleRoute(versionPath(version), "safe", "first")))
}

// awaitVersion waits until the version is in force on the node.
func (h *harness) awaitVersion(version uint64) {
	h.t.Helper()
	inForce := func() bool { return h.get(versionPath(version), "id").status == 200 }
	for deadline := time.Now().Add(maxRestoreDelay); !inForce(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("version %d is not in force within %v", version, maxRestoreDelay)
		}
	}
}

// restoreStore makes the store unavailable for a moment and restores it from the backup. It
// calls whileUnavailable before the store is available again.
func (h *harness) restoreStore(backup standin.Backup, whileUnavailable func()) {
	h.store.SetFaults(standin.StoreFaults{Unavailable: true})
	h.store.Restore(backup)
	time.Sleep(300 * time.Millisecond)
	whileUnavailable()
	h.store.SetFaults(standin.StoreFaults{})
}

// writeUnrelated raises the revision of the store without changing any object that nodes read.
func (h *harness) writeUnrelated(writes int) {
	h.t.Helper()
	for count := range writes {
		is.New(h.t).NoErr(h.store.Put("notes", "other", count))
	}
}

// Guards against a node that keeps its old configuration or servers because a store restored from a
// backup continues from an earlier revision.
func TestRestoredStoreIsRelisted(t *testing.T) {
	for name, restore := range map[string]func(h *harness) (version uint64){
		"revisions lower than before the restore": func(h *harness) uint64 {
			backup := h.store.Backup()
			h.writeVersion(2)
			h.writeUnrelated(50)
			h.awaitVersion(2)
			h.restoreStore(backup, func() {})
			h.writeVersion(3)
			return 3
		},
		"revisions higher than before the restore": func(h *harness) uint64 {
			backup := h.store.Backup()
			h.writeVersion(2)
			h.awaitVersion(2)
			h.restoreStore(backup, func() {
				h.writeVersion(3)
				h.writeUnrelated(50)
			})
			return 3
		},
		"three restores in a row": func(h *harness) uint64 {
			for version := uint64(2); version < 5; version++ {
				backup := h.store.Backup()
				h.writeVersion(version)
				h.writeUnrelated(20)
				h.awaitVersion(version)
				h.restoreStore(backup, func() {})
			}
			h.writeVersion(5)
			return 5
		},
		"server replaced during the restore": func(h *harness) uint64 {
			backup := h.store.Backup()
			h.writeVersion(2)
			h.writeUnrelated(50)
			h.awaitVersion(2)
			h.restoreStore(backup, func() {
				h.store.Remove("servers", "i-1")
				h.servers["i-1"].Close()
				h.startServer(standin.ServerOptions{ID: "i-2", Service: "first"})
			})
			h.writeVersion(3)
			return 3
		},
		"control: outage without a restore": func(h *harness) uint64 {
			h.store.SetFaults(standin.StoreFaults{Unavailable: true})
			time.Sleep(300 * time.Millisecond)
			h.store.SetFaults(standin.StoreFaults{})
			h.writeVersion(3)
			return 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, configuration(1, singleRoute(versionPath(1), "safe", "first")))
			h.startServer(standin.ServerOptions{ID: "i-1", Service: "first"})
			h.startReady()
			h.awaitVersion(1)
			h.awaitVersion(restore(h))
		})
	}
}

// Guards against a node that starts between the restore of the store and the operators' next write,
// and serves an outdated configuration.
func TestNewNodeLearnsConfigurationLostByRestore(t *testing.T) {
	first := newHarness(t, configuration(1, singleRoute(versionPath(1), "safe", "first")))
	first.startServer(standin.ServerOptions{ID: "i-1", Service: "first"})
	peer := freeAddress(t)
	first.startReady(func(loaded *settings.Router) { loaded.PeerAddress = peer })
	backup := first.store.Backup()
	first.writeVersion(2)
	first.awaitVersion(2)
	first.restoreStore(backup, func() {})
	second := &harness{t: t, store: first.store, servers: first.servers, stopped: make(chan error, 1)}
	second.startReady(func(loaded *settings.Router) { loaded.Name, loaded.Seeds = "node-2", []string{peer} })
	second.awaitVersion(2)
	first.awaitVersion(2) // the version did not decrease
	first.writeVersion(3)
	first.awaitVersion(3)
	second.awaitVersion(3)
}

// Guards against a bad version that receives requests again because the store was restored from a
// backup made before its rollback.
func TestRollbackIsRewrittenAfterRestore(t *testing.T) {
	is := is.New(t)
	c := newRolloutCluster(t, 3)
	c.startRollout(30*time.Second, standin.Flaw{Share: 0.5, Behavior: standin.Fail})
	backup := c.store.Backup()
	is.Equal(c.runCallers(20*time.Second), 0)
	rolledBack := standin.RolloutStatus{State: "rolled_back", TargetVersion: newVersion}
	is.Equal(c.store.RolloutStatus("s"), rolledBack)
	for _, node := range c.nodes {
		node.eventually("the rollback is known", func() bool { return strings.Contains(node.adminGet("/debug/state"), `"State": "rolled_back"`) })
	}
	before := c.runCountOf("new")
	c.restoreStore(backup, func() {})
	is.True(c.store.RolloutStatus("s") != rolledBack)
	c.eventually("the rollback is written again", func() bool {
		c.nodes[0].get("/one/", "during")
		return c.store.RolloutStatus("s") == rolledBack
	})
	for index, node := range c.nodes {
		for number := range 10 {
			is.Equal(node.get("/one/", fmt.Sprintf("after-%d-%d", index, number)).status, 200)
		}
	}
	is.Equal(c.runCountOf("new"), before)
}
