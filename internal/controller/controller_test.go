package controller_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/controller"
	standin "github.com/driftstage/driftstage/internal/standin/platform"
	"github.com/driftstage/driftstage/internal/swim"
)

func TestAcceptAndRefuse(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.start("a")
	cluster.apply("fleet", validSpec("/one"))
	first := cluster.awaitInForce("fleet", "/one")
	is.Equal(first.Status.Accepted.Revision, int64(1)<<32|1)
	is.Equal(first.Metadata.Finalizers, []string{v1.Finalizer})
	is.Equal(first.Status.Nodes, v1.NodeCounts{Total: 1, Applied: 1})

	broken := validSpec("/two")
	broken.Servers[0].Slots = -1
	broken.Shards[0].Replicas = []string{"none"}
	cluster.apply("fleet", broken)
	var refused *v1.QueryService
	cluster.eventually("refused", func() bool {
		refused = cluster.get("fleet")
		return conditionStatus(refused, v1.ConditionAccepted) == v1.ConditionFalse
	})
	is.Equal(refused.Status.ObservedGeneration, refused.Metadata.Generation)
	is.Equal(refused.Status.Accepted.Spec.Path, "/one")
	is.Equal(conditionStatus(refused, v1.ConditionInForce), v1.ConditionTrue)
	for _, condition := range refused.Status.Conditions {
		if condition.Type == v1.ConditionAccepted {
			is.True(strings.Contains(condition.Message, "spec.servers[0].slots"))
			is.True(strings.Contains(condition.Message, "spec.shards[0].replicas[0]"))
		}
	}
	cluster.apply("fleet", validSpec("/three"))
	third := cluster.awaitInForce("fleet", "/three")
	is.True(third.Status.Accepted.Revision > first.Status.Accepted.Revision)
}

// An unknown field is refused and named, and a resource that cannot be decoded does
// not block the others.
func TestInvalidResourceDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	ctx := context.Background()
	object := &v1.QueryServiceObject{Metadata: v1.ObjectMeta{Name: "odd"}, APIVersion: v1.APIVersion, Kind: v1.KindQueryService}
	object.Spec = []byte(`{"servers":7,"weights":{}}`)
	_, err := cluster.operator.QueryServiceObjects.Create(ctx, object)
	is.NoErr(err)
	cluster.start("a")
	cluster.apply("fleet", validSpec("/one"))
	cluster.awaitInForce("fleet", "/one")
	cluster.eventually("faults named", func() bool {
		odd, err := cluster.operator.QueryServiceObjects.Get(ctx, "odd")
		return err == nil && strings.Contains(string(odd.Status), "spec.weights: unknown field")
	})
	odd, err := cluster.operator.QueryServiceObjects.Get(ctx, "odd")
	is.NoErr(err)
	is.Equal(odd.Metadata.Generation, int64(1)) // the spec stays as written
}

func TestInForceNamesLaggingMembers(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.start("a")
	lagging := cluster.startAs("b", func() bool { return false })
	cluster.setCutOff(lagging, true)
	cluster.apply("fleet", validSpec("/one"))
	cluster.eventually("laggard named", func() bool {
		service := cluster.get("fleet")
		return len(service.Status.Nodes.Lagging) == 1 && service.Status.Nodes.Lagging[0] == "b"
	})
	is.Equal(conditionStatus(cluster.get("fleet"), v1.ConditionInForce), v1.ConditionFalse)
	service := cluster.get("fleet")
	lagging.store.Apply(config.Entry{Service: "fleet", Revision: service.Status.Accepted.Revision, Spec: &service.Status.Accepted.Spec})
	cluster.awaitInForce("fleet", "/one")
}

// A propagation check that gets no reply delays neither acceptance nor the release of
// the lease.
func TestAcceptanceDoesNotWaitForMembers(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.term = longTerm
	cluster.blockApplied = make(chan struct{})
	node := cluster.start("a")
	for round := range 3 {
		path := fmt.Sprint("/", round)
		cluster.apply("fleet", validSpec(path))
		cluster.eventually(path+" accepted", func() bool {
			accepted := cluster.get("fleet").Status.Accepted
			return accepted != nil && accepted.Spec.Path == path
		})
	}
	is.Equal(conditionStatus(cluster.get("fleet"), v1.ConditionInForce), v1.ConditionFalse)
	node.stop()
	is.Equal(cluster.holder(), "")
	close(cluster.blockApplied)
}

func TestDeletionWaitsForTheTombstone(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.start("a")
	lagging := cluster.startAs("b", func() bool { return false })
	cluster.apply("fleet", validSpec("/one"))
	cluster.awaitInForce("fleet", "/one")
	cluster.setCutOff(lagging, true)
	is.NoErr(cluster.operator.QueryServices.Delete(context.Background(), "fleet", ""))
	cluster.eventually("tombstone", func() bool { return len(cluster.publishedOf("fleet")) == 2 })
	tombstone := cluster.publishedOf("fleet")[1]
	is.True(tombstone.Deleted)
	time.Sleep(300 * time.Millisecond)
	is.True(cluster.get("fleet") != nil) // one of two is not enough
	lagging.store.Apply(tombstone)
	cluster.setCutOff(lagging, false)
	cluster.eventually("deleted", func() bool { return cluster.get("fleet") == nil })

	cluster.apply("fleet", validSpec("/again"))
	again := cluster.awaitInForce("fleet", "/again")
	is.True(again.Status.Accepted.Revision > tombstone.Revision)
}

// The controller crashes between publishing a tombstone and removing the finalizer,
// and no other node has received the tombstone. The next leader completes the deletion.
func TestTombstoneSurvivesControllerCrash(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	crashing := cluster.start("a")
	cluster.leader()
	other := cluster.start("b")
	cluster.apply("fleet", validSpec("/one"))
	accepted := cluster.awaitInForce("fleet", "/one")
	cluster.setCutOff(other, true)
	is.NoErr(cluster.operator.QueryServices.Delete(context.Background(), "fleet", ""))
	cluster.eventually("tombstone", func() bool { return len(cluster.publishedOf("fleet")) == 2 })
	crashing.kill()
	cluster.setCutOff(other, false)
	is.Equal(other.store.Revision("fleet"), accepted.Status.Accepted.Revision)
	cluster.eventually("deleted by the next leader", func() bool { return cluster.get("fleet") == nil })
	is.True(other.store.Revision("fleet") > accepted.Status.Accepted.Revision)
	_, inForce := other.store.Service("fleet")
	is.True(!inForce)
}

// The leader crashes after its write was stored and before the revision reached any
// other node. The next leader publishes the same revision.
func TestCrashDuringAcceptance(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.term = longTerm
	crashing := cluster.start("a")
	cluster.leader()
	other := cluster.start("b")
	cluster.setCutOff(other, true)
	cluster.apply("fleet", validSpec("/one"))
	cluster.eventually("accepted", func() bool { return cluster.get("fleet").Status.Accepted != nil })
	revision := cluster.get("fleet").Status.Accepted.Revision
	crashing.kill()
	is.Equal(other.store.Revision("fleet"), int64(0))
	cluster.setCutOff(other, false)
	is.Equal(cluster.awaitInForce("fleet", "/one").Status.Accepted.Revision, revision)
}

// writeAccepted stores an accepted status in the Object API, as an earlier leader would.
func (cluster *cluster) writeAccepted(name string, revision int64) {
	cluster.t.Helper()
	cluster.apply(name, validSpec("/"+name))
	service := cluster.get(name)
	service.Status.ObservedGeneration = service.Metadata.Generation
	service.Status.Accepted = &v1.Accepted{Generation: service.Metadata.Generation, Revision: revision, Spec: service.Spec}
	if _, err := cluster.operator.QueryServices.UpdateStatus(context.Background(), service); err != nil {
		cluster.t.Fatal(err)
	}
}

// If the lease record is lost, accepted revisions of a later epoch raise the epoch,
// so that new revisions are above tombstones that this node never received.
func TestLostLeaseRecord(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.writeAccepted("desk", 7<<32|1)
	cluster.start("a")
	cluster.awaitInForce("desk", "/desk")
	cluster.eventually("epoch raised", func() bool { return cluster.leader().controller.State().Epoch > 7 })
	cluster.apply("fleet", validSpec("/one"))
	is.True(cluster.awaitInForce("fleet", "/one").Status.Accepted.Revision > 8<<32)
}

// The Object API was restored to an older state and the members hold a newer revision:
// the accepted revision is raised above it.
func TestOlderAcceptedRevisionIsRaised(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.writeAccepted("fleet", 1<<32|1)
	node := cluster.start("a")
	node.store.Apply(config.Entry{Service: "fleet", Revision: 3<<32 | 5, Spec: &v1.QueryServiceSpec{Path: "/newer"}})
	is.True(cluster.awaitInForce("fleet", "/fleet").Status.Accepted.Revision > 3<<32|5)
}

// A deletion that bypasses the finalizer still publishes a tombstone.
func TestForcedDeletion(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	node := cluster.start("a")
	cluster.apply("fleet", validSpec("/one"))
	cluster.awaitInForce("fleet", "/one")
	ctx := context.Background()
	cluster.server.SetFaults(standin.Faults{Client: "a", Resource: "queryservices", HangWrites: true})
	service := cluster.get("fleet")
	service.Metadata.Finalizers = nil
	_, err := cluster.operator.QueryServices.Update(ctx, service)
	is.NoErr(err)
	is.NoErr(cluster.operator.QueryServices.Delete(ctx, "fleet", ""))
	cluster.server.SetFaults(standin.Faults{})
	cluster.eventually("tombstone", func() bool {
		_, inForce := node.store.Service("fleet")
		return !inForce
	})
}

// When the platform has lost its data, services in force are kept; a resource that is
// applied again is accepted with a higher revision.
func TestLostStoreDeletesNothing(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	node := cluster.start("a")
	known := config.Entry{Service: "fleet", Revision: 7<<32 | 3, Spec: &v1.QueryServiceSpec{Path: "/known"}}
	node.store.Apply(known)
	cluster.apply("desk", validSpec("/desk"))
	cluster.awaitInForce("desk", "/desk")
	held, inForce := node.store.Service("fleet")
	is.True(inForce)
	is.Equal(held.Revision, known.Revision)
	cluster.apply("fleet", validSpec("/again"))
	again := cluster.awaitInForce("fleet", "/again")
	is.True(again.Status.Accepted.Revision > known.Revision)
}

// TestLostReplies drops the replies to the first one to four writes, of an acceptance
// and of a deletion.
func TestLostReplies(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.term = longTerm
	cluster.start("a")
	for dropped := 1; dropped <= 4; dropped++ {
		cluster.leader()
		name := fmt.Sprint("fleet-", dropped)
		cluster.server.SetFaults(standin.Faults{Resource: "queryservices", Client: "a", DropReplies: dropped})
		cluster.apply(name, validSpec("/one"))
		service := cluster.awaitInForce(name, "/one")
		published := cluster.publishedOf(name)
		is.Equal(len(published), 1) // one acceptance, though replies were lost
		is.Equal(published[0].Revision, service.Status.Accepted.Revision)

		cluster.server.SetFaults(standin.Faults{Resource: "queryservices", Client: "a", DropReplies: dropped})
		is.NoErr(cluster.operator.QueryServices.Delete(context.Background(), name, ""))
		cluster.eventually("deleted", func() bool { return cluster.get(name) == nil })
		is.Equal(len(cluster.publishedOf(name)), 2) // and one tombstone
	}
}

// Without watch events, only a read shows whether a write without a reply took effect.
func TestLostReplyIsReadFirst(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	cluster.apply("fleet", validSpec("/one"))
	cluster.server.SetFaults(standin.Faults{Resource: "queryservices", Client: "a", HoldWatches: true, DropReplies: 3})
	cluster.start("a")
	cluster.awaitInForce("fleet", "/one")
	is.Equal(cluster.server.Stats()["a"].Conflicts, int64(0)) // no write was sent again without a read
}

func TestWatchEndsAndExpires(t *testing.T) {
	cluster := newCluster(t)
	cluster.start("a")
	for round := range 3 {
		path := fmt.Sprint("/", round)
		cluster.server.SetFaults(standin.Faults{CutWatches: true, CompactHistory: round > 0})
		cluster.apply("fleet", validSpec(path))
		cluster.server.SetFaults(standin.Faults{CompactHistory: round > 1})
		cluster.awaitInForce("fleet", path)
	}
}

// The platform is down at the start, and later for longer than the lease's term: the
// configuration in force is kept, and the specs written meanwhile are accepted
// afterwards.
func TestPlatformDown(t *testing.T) {
	for name, down := range map[string]standin.Faults{
		"refuse": {Client: "a", Refuse: true},
		"hang":   {Client: "a", Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(t)
			cluster.server.SetFaults(down)
			node := cluster.start("a")
			cluster.apply("fleet", validSpec("/one"))
			time.Sleep(300 * time.Millisecond)
			cluster.server.SetFaults(standin.Faults{})
			first := cluster.awaitInForce("fleet", "/one")
			cluster.server.SetFaults(down)
			cluster.eventually("lease lapsed", func() bool { return !node.controller.State().Leading })
			cluster.apply("fleet", validSpec("/two"))
			held, _ := node.store.Service("fleet")
			is.Equal(held.Revision, first.Status.Accepted.Revision)
			cluster.server.SetFaults(standin.Faults{})
			second := cluster.awaitInForce("fleet", "/two")
			is.True(second.Status.Accepted.Revision>>32 > first.Status.Accepted.Revision>>32)
		})
	}
}

func TestSlowPlatform(t *testing.T) {
	cluster := newCluster(t)
	cluster.server.SetFaults(standin.Faults{Client: "a", Delay: v1.Duration(400 * time.Millisecond)})
	cluster.start("a")
	cluster.apply("fleet", validSpec("/one"))
	cluster.awaitInForce("fleet", "/one")
}

// The holder's write hangs until another holder has accepted a different spec; when it
// arrives it must fail.
func TestLateWriteAfterLeaseExpiry(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	late := cluster.start("a")
	cluster.leader()
	cluster.apply("fleet", validSpec("/one"))
	cluster.awaitInForce("fleet", "/one")
	cluster.server.SetFaults(standin.Faults{Client: "a", Resource: "queryservices", HangWrites: true})
	cluster.apply("fleet", validSpec("/two"))
	cluster.eventually("a has sent its write", func() bool { return cluster.server.Stats()["a"].Waiting > 0 })
	cluster.server.SetFaults(standin.Faults{Client: "a", HangWrites: true})
	cluster.start("b")
	cluster.eventually("b leads", func() bool { return cluster.leader() != late })
	cluster.apply("fleet", validSpec("/three"))
	accepted := cluster.awaitInForce("fleet", "/three")
	cluster.server.SetFaults(standin.Faults{})
	cluster.apply("desk", validSpec("/desk"))
	cluster.awaitInForce("desk", "/desk")
	is.Equal(cluster.get("fleet").Status.Accepted, accepted.Status.Accepted)
	is.True(cluster.server.Stats()["a"].Conflicts > 0) // it did arrive
}

// TestFewReaders checks that in a cluster of 40 nodes at most two read the Object API,
// with one watch in total.
func TestFewReaders(t *testing.T) {
	const size = 40
	is := is.New(t)
	cluster := newCluster(t)
	var members []swim.Member
	for index := range size {
		members = append(members, swim.Member{ID: fmt.Sprintf("node-%d", index), Zone: fmt.Sprint("zone-", index%3)})
	}
	candidates := controller.Candidates(members)
	is.Equal(len(candidates), 2)
	for _, member := range members {
		cluster.startAs(member.ID, func() bool { return member.ID == candidates[0] || member.ID == candidates[1] })
	}
	for index := range 5 {
		path := fmt.Sprint("/", index)
		cluster.apply("fleet", validSpec(path))
		cluster.awaitInForce("fleet", path)
	}
	readers, watches := 0, 0
	for name, stats := range cluster.server.Stats() {
		if name != "operator" {
			readers++
			watches += stats.OpenWatches
		}
	}
	is.True(readers <= 2)
	is.Equal(watches, 1)
	t.Logf("%d nodes: %d readers, %d open watches", size, readers, watches)
}

func TestCandidatesAreInTwoZones(t *testing.T) {
	is := is.New(t)
	members := []swim.Member{
		{ID: "a", Zone: "x"}, {ID: "b", Zone: "x"}, {ID: "c", Zone: "y"},
		{ID: "d", Zone: "z", State: swim.Leaving}, {ID: "e", Zone: "z", State: swim.Suspect},
	}
	chosen := controller.Candidates(members)
	is.Equal(len(chosen), 2)
	is.True(chosen[0] == "c" || chosen[1] == "c")
	is.Equal(len(controller.Candidates(members[:1])), 1)
	is.Equal(len(controller.Candidates(members[3:])), 0)
}

var _ controller.ConfigStore = (*config.Store)(nil)
