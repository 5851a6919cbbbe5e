package e2e

import (
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/standin/backend"
)

// drainBound is how long a draining server may still receive new work: the design goal of
// 2 s, plus a margin for a busy machine.
const drainBound = 4 * time.Second

// TestVersionsAdvance publishes index versions continuously, each to one server after the
// other: no answer may mix two versions.
func TestVersionsAdvance(t *testing.T) {
	system := startSystem(t, 3, "--advance-every", "300ms")
	report := system.underLoad(loadOptions(5*time.Second), system.gateways(), func() {})
	system.requireAnswered(report, 0.8)
	fleet, err := system.backends.Fleet()
	must(t, err)
	if fleet.Newest.Snapshot < 5 {
		t.Errorf("only %d versions were published: the test is inconclusive", fleet.Newest.Snapshot)
	}
}

// TestRepartitioning publishes a version with twice the shards during load, and then the
// resource with its shard map: no answer may mix the maps, and the new map must be applied.
func TestRepartitioning(t *testing.T) {
	system := startSystem(t, 3)
	report := system.underLoad(loadOptions(5*time.Second), system.gateways(), func() {
		time.Sleep(time.Second)
		_, err := system.backends.PublishVersion(backend.PublishRequest{Partitions: 16, StaggerMillis: 100})
		must(t, err)
		time.Sleep(time.Second)
		resource, err := system.backends.Resource()
		must(t, err)
		must(t, system.updateResource(func(stored *v1.QueryService) { stored.Spec.Shards = resource.Spec.Shards }))
	})
	system.requireAnswered(report, 0.95)
	for _, node := range system.Nodes {
		system.awaitFullCoverage(node.Gateway, 16)
	}
}

// TestDrainingBackEnd makes a server announce in its replies that it is draining, although
// it still accepts work: new work must stop within drainBound.
func TestDrainingBackEnd(t *testing.T) {
	system := startSystem(t, 3)
	leaving := system.fleet().Servers[0].Name
	report := system.underLoad(loadOptions(drainBound+5*time.Second), system.gateways(), func() {
		system.setFault(backend.Fault{Server: leaving, Kind: backend.FaultDrain, DelayMillis: int(time.Hour.Milliseconds())})
	})
	system.requireAnswered(report, 0.95)
	counters, err := system.backends.Counters()
	must(t, err)
	for _, counter := range counters {
		if counter.Server != leaving {
			continue
		}
		late := counter.LastArrival.Sub(counter.DrainingSince)
		t.Logf("last arrival %v after draining began", late)
		if late > drainBound {
			t.Errorf("server received new work %v after draining began", late)
		}
	}
}
