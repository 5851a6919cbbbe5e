package scatter_test

import (
	"sync"
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/matryer/is"
)

// outcome is a caller's answer, to be compared with the executions recorded by the back ends.
type outcome struct {
	id         string
	repeatable bool
	answer     scatter.Answer
}

// runLoad sends requests from several concurrent callers, some repeatable and some not,
// and returns the outcomes.
func runLoad(t *testing.T, scatterer *scatter.Scatterer, cluster *fakeCluster, callers, perCaller int) []outcome {
	t.Helper()
	var mutex sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for round := range perCaller {
				repeatable := (caller+round)%2 == 0
				id, answer := runQuery(t, scatterer, cluster, repeatable)
				mutex.Lock()
				outcomes = append(outcomes, outcome{id, repeatable, answer})
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return outcomes
}

// checkVerdicts checks the verdicts of callers against the executions of the back ends and
// returns the number of complete answers.
func checkVerdicts(t *testing.T, fleet *backend.Fleet, outcomes []outcome) (complete int) {
	t.Helper()
	for _, outcome := range outcomes {
		runs := executionsOf(fleet, outcome.id)
		if outcome.answer.Verdict == verdict.NotRun && len(runs) > 0 {
			t.Errorf("%s was said not to have run, and ran on %v", outcome.id, runs)
		}
		for shard, count := range runs {
			if !outcome.repeatable && count > 1 {
				t.Errorf("%s is not repeatable, and ran %d times on shard %d", outcome.id, count, shard)
			}
		}
		if outcome.answer.Failure == nil && outcome.answer.Coverage.Covered == outcome.answer.Coverage.Shards {
			complete++
		}
	}
	return complete
}

// Whatever fault a back end's replies have, no caller gets a part of another
// request, shard or version, and the verdicts are correct.
func TestMisbehavingBackEnd(t *testing.T) {
	faults := []backend.FaultKind{
		backend.FaultTruncate, backend.FaultReset, backend.FaultDuplicate, backend.FaultWrongRequest,
		backend.FaultLate, backend.FaultWrongVersion, backend.FaultWrongBodyVersion, backend.FaultError,
		backend.FaultCrash, backend.FaultDrain,
	}
	for _, kind := range faults {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			fleet, cluster, scatterer := start(t, func(*backend.Options) {})
			outcomes := runLoad(t, scatterer, cluster, 4, 5)
			server := fleet.Servers()[1].Name
			during := make(chan []outcome)
			go func() { during <- runLoad(t, scatterer, cluster, 16, 10) }()
			time.Sleep(5 * time.Millisecond)
			if err := fleet.SetFault(backend.Fault{Server: server, Kind: kind, OneIn: 3, DelayMillis: 200}); err != nil {
				t.Fatal(err)
			}
			outcomes = append(outcomes, runLoad(t, scatterer, cluster, 4, 15)...)
			outcomes = append(outcomes, <-during...)
			if err := fleet.SetFault(backend.Fault{Server: server, Kind: backend.FaultNone}); err != nil {
				t.Fatal(err)
			}
			complete := checkVerdicts(t, fleet, outcomes)
			if complete < len(outcomes)/2 {
				t.Errorf("only %d of %d answers are whole", complete, len(outcomes))
			}
		})
	}
}

// Index versions advance on the servers at different times while queries run.
func TestVersionsSwitch(t *testing.T) {
	fleet, cluster, scatterer := start(t, func(options *backend.Options) { options.Servers = 6; options.Replicas = 3 })
	var outcomes []outcome
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		outcomes = runLoad(t, scatterer, cluster, 6, 60)
	}()
	for round := range 6 {
		time.Sleep(20 * time.Millisecond)
		fleet.PublishVersion(0, time.Duration(round)*2*time.Millisecond)
	}
	<-finished
	snapshots := make(map[int64]bool)
	for _, outcome := range outcomes {
		snapshots[outcome.answer.Snapshot] = true
	}
	if complete := checkVerdicts(t, fleet, outcomes); complete < len(outcomes)*9/10 {
		t.Errorf("only %d of %d answers are whole", complete, len(outcomes))
	}
	if len(snapshots) < 3 {
		t.Errorf("answers are of snapshots %v only", snapshots)
	}
}

// Queries started with the old map keep it; queries with the new map get the new
// number of shards, and none mixes the two.
func TestRepartition(t *testing.T) {
	is := is.New(t)
	fleet, cluster, scatterer := start(t, func(*backend.Options) {})
	outcomes := runLoad(t, scatterer, cluster, 2, 5)
	const partitions = 12
	version := fleet.PublishVersion(partitions, 0)
	spec := *cluster.services[0].Spec
	spec.Shards = fleet.Shards(partitions)
	cluster.setServices(&config.Service{Name: cluster.services[0].Name, Revision: 2, Spec: &spec})
	outcomes = append(outcomes, runLoad(t, scatterer, cluster, 2, 5)...)
	checkVerdicts(t, fleet, outcomes)
	last := outcomes[len(outcomes)-1].answer
	is.Equal(last.Failure, nil)
	is.Equal(last.Snapshot, version.Snapshot)
	is.Equal(last.Coverage.Covered, partitions)
	for _, outcome := range outcomes {
		is.True(outcome.answer.Failure != nil || outcome.answer.Revision == 1 == (outcome.answer.Coverage.Shards == 8))
	}
}

// A frozen server does not determine the latency of a query: its shards are hedged.
func TestFrozenServerIsHedged(t *testing.T) {
	is := is.New(t)
	fleet, cluster, scatterer := start(t, func(*backend.Options) {})
	runLoad(t, scatterer, cluster, 2, 20)
	is.NoErr(fleet.SetFault(backend.Fault{Server: fleet.Servers()[0].Name, Kind: backend.FaultFreeze}))
	started := time.Now()
	_, answer := runQuery(t, scatterer, cluster, true)
	is.Equal(answer.Failure, nil)
	is.Equal(answer.Coverage.Covered, 8)
	is.True(time.Since(started) < timeout/2)
	is.NoErr(fleet.SetFault(backend.Fault{Server: fleet.Servers()[0].Name, Kind: backend.FaultNone}))
}

// Leaving members get no new work; the next owner takes over at once.
func TestLeavingMemberGetsNoWork(t *testing.T) {
	is := is.New(t)
	_, cluster, scatterer := start(t, func(*backend.Options) {})
	runQuery(t, scatterer, cluster, true)
	for _, id := range []string{"node-1", "node-2"} {
		is.NoErr(cluster.owners[id].Stop(t.Context()))
	}
	_, answer := runQuery(t, scatterer, cluster, false) // refused by the stopped nodes
	is.True(answer.Failure == nil || answer.Verdict != verdict.MayHaveRun)
	members := append([]swim.Member(nil), cluster.members...)
	members[1].State = swim.Leaving
	members[2].State = swim.Dead
	cluster.setMembers(members)
	time.Sleep(50 * time.Millisecond)
	cluster.calls.Store(0)
	_, answer = runQuery(t, scatterer, cluster, false)
	is.Equal(answer.Failure, nil)
	is.Equal(answer.Coverage.Covered, 8)
	is.Equal(cluster.calls.Load(), int32(0)) // this node is the only one left
}

// Under overload, refusals are NotRun, quick, and carry a retry delay.
func TestOverloadRefusesAtOnce(t *testing.T) {
	fleet, cluster, scatterer := start(t, func(options *backend.Options) {
		options.Slots = 1
		options.Queue = 0
		options.Time = backend.ServiceTime{Median: 20 * time.Millisecond}
	})
	spec := *cluster.services[0].Spec
	spec.Limits.Queue = 2
	spec.Coverage = v1.Coverage{Minimum: 1, Target: 1}
	cluster.setServices(&config.Service{Name: cluster.services[0].Name, Revision: 2, Spec: &spec})
	outcomes := runLoad(t, scatterer, cluster, 20, 5)
	checkVerdicts(t, fleet, outcomes)
	refused := 0
	for _, outcome := range outcomes {
		if outcome.answer.Failure == nil {
			continue
		}
		refused++
		if outcome.answer.Failure.RetryAfter <= 0 {
			t.Errorf("a refusal without advice: %v", outcome.answer.Failure)
		}
	}
	if refused == 0 || refused == len(outcomes) {
		t.Errorf("%d of %d refused", refused, len(outcomes))
	}
}
