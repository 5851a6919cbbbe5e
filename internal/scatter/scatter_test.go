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

// nodes stands for a system of nodes in one process: their owners call each
// other without a network.
type nodes struct {
	// mutex guards services and members: attempts that were given up may still read them.
	mutex    sync.Mutex
	services []*config.Service
	members  []swim.Member
	owners   map[string]*owner.Manager
	// unreachable nodes refuse connections; lost ones break them after the call.
	unreachable map[string]bool
	lost        map[string]bool
	// calls counts the attempts sent to other nodes.
	calls atomic.Int32
}

func (nodes *nodes) Members() []swim.Member {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	return nodes.members
}

func (nodes *nodes) setMembers(members []swim.Member) {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	nodes.members = members
}

func (nodes *nodes) Services() []*config.Service {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	return nodes.services
}

func (nodes *nodes) setServices(services ...*config.Service) {
	nodes.mutex.Lock()
	defer nodes.mutex.Unlock()
	nodes.services = services
}

func (nodes *nodes) Service(name string) (*config.Service, bool) {
	for _, service := range nodes.Services() {
		if service.Name == name {
			return service, true
		}
	}
	return nil, false
}

func (nodes *nodes) Execute(ctx context.Context, address string, request *message.SubRequest) (*message.SubReply, error) {
	nodes.calls.Add(1)
	if nodes.unreachable[address] {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection refused")
	}
	reply := nodes.owners[address].Execute(ctx, request)
	if nodes.lost[address] {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeLost, "connection reset")
	}
	return reply, nil
}

func (nodes *nodes) Loads(_ context.Context, address string, request *message.LoadRequest) (*message.LoadReply, error) {
	if nodes.unreachable[address] {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection refused")
	}
	return nodes.owners[address].Loads(request), nil
}

// start runs a fleet of stand-ins, three nodes, and a scatterer on the first.
func start(t *testing.T, change func(*backend.Options)) (*backend.Fleet, *nodes, *scatter.Scatterer) {
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
	system := &nodes{
		services:    []*config.Service{{Name: options.Service, Revision: 1, Spec: &spec}},
		owners:      make(map[string]*owner.Manager),
		unreachable: make(map[string]bool),
		lost:        make(map[string]bool),
	}
	for index := range 3 {
		id := fmt.Sprintf("node-%d", index)
		system.members = append(system.members, swim.Member{ID: id, Address: id, Zone: "zone-a"})
		system.owners[id] = owner.NewManager(owner.Options{Services: system})
	}
	scatterer := scatter.New(scatter.Options{
		NodeID:  "node-0",
		Zone:    "zone-a",
		Members: system,
		Owners:  system,
		Local:   system.owners["node-0"],
		Seed:    1,
	})
	return fleet, system, scatterer
}

var lastRequest atomic.Int64

func ask(t *testing.T, scatterer *scatter.Scatterer, system *nodes, repeatable bool) (string, scatter.Answer) {
	t.Helper()
	id := fmt.Sprintf("request-%d", lastRequest.Add(1))
	answer := scatterer.Run(t.Context(), scatter.Query{
		RequestID:  id,
		Service:    system.services[0],
		Body:       []byte(id),
		Timeout:    timeout,
		Repeatable: repeatable,
		Class:      v1.ClassInteractive,
	})
	verify(t, id, answer)
	return id, answer
}

// verify checks what holds for every answer: its parts are of its own request,
// shard and snapshot, and coverage is what the parts say.
func verify(t *testing.T, id string, answer scatter.Answer) {
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

// runsOf counts the executions of a request on the back ends, by shard.
func runsOf(fleet *backend.Fleet, id string) map[v1.ShardID]int {
	runs := make(map[v1.ShardID]int)
	for _, execution := range fleet.Record().Executions(backend.RecordFilter{RequestID: id}) {
		for _, shard := range execution.Shards {
			runs[shard]++
		}
	}
	return runs
}

func TestWholeAnswer(t *testing.T) {
	is := is.New(t)
	fleet, system, scatterer := start(t, func(*backend.Options) {})
	id, answer := ask(t, scatterer, system, true)
	is.True(answer.Failure == nil)
	is.Equal(answer.Coverage.Covered, 8)
	is.Equal(answer.Verdict, verdict.Ran)
	is.Equal(len(runsOf(fleet, id)), 8)
}

func TestSecondOwnerTakesOver(t *testing.T) {
	is := is.New(t)
	_, system, scatterer := start(t, func(*backend.Options) {})
	ask(t, scatterer, system, true)
	system.unreachable["node-1"] = true
	for range 10 {
		_, answer := ask(t, scatterer, system, false)
		is.True(answer.Failure == nil)
		is.Equal(answer.Coverage.Covered, 8)
	}
}

// A request that is not repeatable runs at most once on each shard, also when
// owners lose their connections after it ran.
func TestNotRepeatableRunsAtMostOnce(t *testing.T) {
	fleet, system, scatterer := start(t, func(*backend.Options) {})
	ask(t, scatterer, system, true)
	for _, lost := range []string{"node-1", "node-2"} {
		system.lost[lost] = true
		for range 10 {
			id, answer := ask(t, scatterer, system, false)
			runs := runsOf(fleet, id)
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
