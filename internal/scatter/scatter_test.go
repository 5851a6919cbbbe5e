package scatter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/owner"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
	"github.com/matryer/is"
)

const timeout = 3 * time.Second

// fakeCluster simulates a cluster in one process: the owners call each other without a
// network.
type fakeCluster struct {
	// mutex guards services and members: cancelled attempts may still read them.
	mutex    sync.Mutex
	services []*config.Service
	members  []swim.Member
	owners   map[string]*owner.Manager
	// unreachable nodes refuse connections; lost ones reset them after the call.
	unreachable map[string]bool
	lost        map[string]bool
	// calls counts the attempts sent to other nodes.
	calls atomic.Int32
}

func (cluster *fakeCluster) Members() []swim.Member {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.members
}

func (cluster *fakeCluster) setMembers(members []swim.Member) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.members = members
}

func (cluster *fakeCluster) Services() []*config.Service {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.services
}

func (cluster *fakeCluster) setServices(services ...*config.Service) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.services = services
}

func (cluster *fakeCluster) Service(name string) (*config.Service, bool) {
	for _, service := range cluster.Services() {
		if service.Name == name {
			return service, true
		}
	}
	return nil, false
}

func (cluster *fakeCluster) Execute(ctx context.Context, address string, request *message.SubRequest) (*message.SubReply, error) {
	cluster.calls.Add(1)
	if cluster.unreachable[address] {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection refused")
	}
	reply := cluster.owners[address].Execute(ctx, request)
	if cluster.lost[address] {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeLost, "connection reset")
	}
	return reply, nil
}

func (cluster *fakeCluster) Loads(_ context.Context, address string, request *message.LoadRequest) (*message.LoadReply, error) {
	if cluster.unreachable[address] {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection refused")
	}
	return cluster.owners[address].Loads(request), nil
}

// start runs a fleet of stand-in back ends, three nodes, and a scatterer on the first node.
func start(t *testing.T, change func(*backend.Options)) (*backend.Fleet, *fakeCluster, *scatter.Scatterer) {
	t.Helper()
	options := backend.DefaultOptions()
	options.Time = backend.ServiceTime{Median: time.Millisecond}
	change(&options)
	fleet, err := backend.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	resource := fleet.Resource()
	spec := resource.Spec
	spec.Coverage = v1.Coverage{Minimum: 0.5, Target: 1}
	spec.Hedging = v1.Hedging{Budget: 0.05, Quantile: 0.95}
	spec.Limits.Queue = 64
	cluster := &fakeCluster{
		services:    []*config.Service{{Name: options.Service, Revision: 1, Spec: &spec}},
		owners:      make(map[string]*owner.Manager),
		unreachable: make(map[string]bool),
		lost:        make(map[string]bool),
	}
	for index := range 3 {
		id := fmt.Sprintf("node-%d", index)
		cluster.members = append(cluster.members, swim.Member{ID: id, Address: id, Zone: "zone-a"})
		cluster.owners[id] = owner.NewManager(owner.Options{Services: cluster})
	}
	scatterer := scatter.New(scatter.Options{
		NodeID:  "node-0",
		Zone:    "zone-a",
		Members: cluster,
		Owners:  cluster,
		Local:   cluster.owners["node-0"],
		Seed:    1,
	})
	return fleet, cluster, scatterer
}

var lastRequest atomic.Int64

func runQuery(t *testing.T, scatterer *scatter.Scatterer, cluster *fakeCluster, repeatable bool) (string, scatter.Answer) {
	t.Helper()
	id := fmt.Sprintf("request-%d", lastRequest.Add(1))
	answer := scatterer.Run(t.Context(), scatter.Query{
		RequestID:  id,
		Service:    cluster.services[0],
		Body:       []byte(id),
		Timeout:    timeout,
		Repeatable: repeatable,
		Class:      v1.ClassInteractive,
	})
	checkAnswer(t, id, answer)
	return id, answer
}

// checkAnswer checks the invariants of every answer: its parts are of its own request,
// shard and snapshot, and the coverage matches the parts.
func checkAnswer(t *testing.T, id string, answer scatter.Answer) {
	t.Helper()
	if len(answer.Results) != answer.Coverage.Covered {
		t.Fatalf("%d results, covered %d", len(answer.Results), answer.Coverage.Covered)
	}
	for _, result := range answer.Results {
		var body backend.PartBody
		if err := json.Unmarshal(result.Body, &body); err != nil {
			t.Fatal(err)
		}
		if body.RequestID != id || body.Shard != result.Shard || body.Snapshot != answer.Snapshot {
			t.Fatalf("request %s, shard %d, snapshot %d got the part %+v", id, result.Shard, answer.Snapshot, body)
		}
	}
}

// executionsOf counts the executions of a request on the back ends, by shard.
func executionsOf(fleet *backend.Fleet, id string) map[v1.ShardID]int {
	runs := make(map[v1.ShardID]int)
	for _, execution := range fleet.Record().Executions(backend.RecordFilter{RequestID: id}) {
		for _, shard := range execution.Shards {
			runs[shard]++
		}
	}
	return runs
}

func TestCompleteAnswer(t *testing.T) {
	is := is.New(t)
	fleet, cluster, scatterer := start(t, func(*backend.Options) {})
	id, answer := runQuery(t, scatterer, cluster, true)
	is.True(answer.Failure == nil)
	is.Equal(answer.Coverage.Covered, 8)
	is.Equal(answer.Verdict, verdict.Ran)
	is.Equal(len(executionsOf(fleet, id)), 8)
}

func TestSecondOwnerTakesOver(t *testing.T) {
	is := is.New(t)
	_, cluster, scatterer := start(t, func(*backend.Options) {})
	runQuery(t, scatterer, cluster, true)
	cluster.unreachable["node-1"] = true
	for range 10 {
		_, answer := runQuery(t, scatterer, cluster, false)
		is.True(answer.Failure == nil)
		is.Equal(answer.Coverage.Covered, 8)
	}
}

// A request that is not repeatable runs at most once on each shard, even if the
// connections to owners break after it ran.
func TestNotRepeatableRunsAtMostOnce(t *testing.T) {
	fleet, cluster, scatterer := start(t, func(*backend.Options) {})
	runQuery(t, scatterer, cluster, true)
	for _, lost := range []string{"node-1", "node-2"} {
		cluster.lost[lost] = true
		for range 10 {
			id, answer := runQuery(t, scatterer, cluster, false)
			runs := executionsOf(fleet, id)
			for shard, count := range runs {
				if count > 1 {
					t.Fatalf("shard %d ran %d times", shard, count)
				}
			}
			if answer.Verdict == verdict.NotRun && len(runs) > 0 {
				t.Fatalf("said NotRun, ran on %v", runs)
			}
		}
	}
}
