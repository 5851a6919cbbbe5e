package e2e

import (
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/standin/backend"
)

// leavingBound is how long a leaving server may still get new work. The design
// aims at 2 s; the rest is for a busy machine.
const leavingBound = 4 * time.Second

// TestVersionsAdvance brings out index versions all the time, each reaching the
// servers one by one: no answer mixes two.
func TestVersionsAdvance(t *testing.T) {
	system := startSystem(t, 3, "--advance-every", "300ms")
	report := system.underLoad(loadOptions(5*time.Second), system.gateways(), func() {})
	system.requireUseful(report, 0.8)
	fleet, err := system.backends.Fleet()
	must(t, err)
	if fleet.Newest.Snapshot < 5 {
		t.Errorf("only %d versions came out: the test shows nothing", fleet.Newest.Snapshot)
	}
}

// TestRepartitioning brings out a version with twice the shards during load,
// and then the resource with its map: no answer mixes maps, and the new map
// comes into force.
func TestRepartitioning(t *testing.T) {
	system := startSystem(t, 3)
	report := system.underLoad(loadOptions(5*time.Second), system.gateways(), func() {
		time.Sleep(time.Second)
		_, err := system.backends.Advance(backend.AdvanceRequest{Partitions: 16, StaggerMillis: 100})
		must(t, err)
		time.Sleep(time.Second)
		resource, err := system.backends.Resource()
		must(t, err)
		must(t, system.updateResource(func(stored *v1.QueryService) { stored.Spec.Shards = resource.Spec.Shards }))
	})
	system.requireUseful(report, 0.95)
	for _, node := range system.Nodes {
		system.awaitWhole(node.Gateway, 16)
	}
}

// TestDrainingBackEnd lets a server announce on its replies that it leaves,
// while it would still take work: new work stops soon after.
func TestDrainingBackEnd(t *testing.T) {
	system := startSystem(t, 3)
	leaving := system.fleet().Servers[0].Name
	report := system.underLoad(loadOptions(leavingBound+5*time.Second), system.gateways(), func() {
		system.setFault(backend.Fault{Server: leaving, Kind: backend.FaultDrain, DelayMillis: int(time.Hour.Milliseconds())})
	})
	system.requireUseful(report, 0.95)
	counters, err := system.backends.Counters()
	must(t, err)
	for _, counter := range counters {
		if counter.Server != leaving {
			continue
		}
		late := counter.LastArrival.Sub(counter.DrainingSince)
		t.Logf("last arrival %v after the server began to drain", late)
		if late > leavingBound {
			t.Errorf("server got new work %v after it began to drain", late)
		}
	}
}
