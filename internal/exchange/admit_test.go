package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/upstream"
)

// If too few shards have a server, nothing is sent, so that the request can be refused
// with the guarantee that it has not run: at once if the list is complete, after a hold if
// it may be incomplete.
func TestTooFewShardsWithServersAreRefusedBeforeAnythingIsSent(t *testing.T) {
	for _, test := range []struct {
		name           string
		listIncomplete bool
		want           time.Duration
	}{
		{"complete list", false, 0},
		{"list just after an outage", true, testHoldTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			plan := gatherPlan("a", "b", "c")
			core := New(plan, &fakeServers{servers: map[string]int{"a": 1, "b": 1}, listIncomplete: test.listIncomplete})
			now := time.Duration(0)
			batch := core.Start(now)
			for batch.Outcome == nil {
				is.Equal(len(batch.Sends), 0)
				now = batch.Wake
				batch = core.Tick(now)
			}
			is.Equal(now, test.want)
			is.Equal(batch.Outcome.Status, StatusRefused)
			is.Equal(batch.Outcome.Cause, CauseNoServers)
			is.Equal(batch.Outcome.Unlisted, []string{"c"})
			is.Equal(core.Sends(), 0)
		})
	}
}

func TestServersThatAppearAreAsked(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 1}, listIncomplete: true}
	core := New(gatherPlan("a", "b"), servers)
	is.Equal(len(core.Start(0).Sends), 0)
	servers.servers["b"] = 1
	is.Equal(ids(core.Tick(pollInterval)), []AttemptID{{0, 0}, {1, 0}})
}

// A request that is held before anything is sent reports the cause at each step.
func TestHeldRequestReportsTheCause(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 1}, listIncomplete: true}
	plan := gatherPlan("a", "b")
	plan.Jitter = 0.5
	core := New(plan, servers)
	is.Equal(core.Start(0).Hold, HoldListIncomplete)
	servers.servers["b"], servers.listGrowing = 1, true
	is.Equal(core.Tick(20*ms).Hold, HoldGrowing)
	servers.listGrowing = false
	is.Equal(core.Tick(40*ms).Hold, HoldJitter) // until 60 ms
	batch := core.Tick(60 * ms)
	is.Equal(batch.Hold, HoldNone)
	is.Equal(len(batch.Sends), 2)
}

// A shard without servers does not delay a request that has enough other shards.
func TestShardWithoutServersIsLeftOut(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b")
	plan.LeastShards = 1
	core := New(plan, &fakeServers{servers: map[string]int{"a": 1}})
	is.Equal(ids(core.Start(0)), []AttemptID{{0, 0}})
}

// On a node that has just started, a late request is held in favor of others, for longer
// while servers shed load; one that can still meet its target is not held.
func TestLateRequestYieldsOnANewNode(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 1}, justStarted: true, shedding: true}
	plan := gatherPlan("a")
	plan.YieldUntil, plan.Jitter = time.Second, 0.5
	is.Equal(len(New(plan, servers).Start(0).Sends), 1) // in time

	plan.ArrivedLate = true
	core := New(plan, servers)
	batch := core.Start(0)
	is.Equal(batch.Hold, HoldYield)
	is.Equal(batch.Wake, 520*ms)
	is.Equal(len(core.Tick(100*ms).Sends), 0)
	batch = core.Tick(520 * ms) // servers still refuse
	is.Equal(len(batch.Sends), 0)
	servers.shedding = false
	is.Equal(len(core.Tick(batch.Wake-ms).Sends), 0)
	is.Equal(len(core.Tick(batch.Wake).Sends), 1)
}

func TestLateRequestYieldsForALimitedTime(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a")
	plan.ArrivedLate, plan.YieldUntil, plan.Jitter = true, time.Second, 0.9
	core := New(plan, &fakeServers{servers: map[string]int{"a": 1}, justStarted: true, shedding: true})
	batch := core.Start(0)
	for len(batch.Sends) == 0 {
		is.True(batch.Wake <= plan.YieldUntil)
		batch = core.Tick(batch.Wake)
	}
}

// On a node that has been running for a while, late callers do not all arrive at the same
// time; holding them would only prolong an overload.
func TestLateRequestDoesNotYieldOnAnOlderNode(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a")
	plan.ArrivedLate, plan.YieldUntil = true, time.Second
	core := New(plan, &fakeServers{servers: map[string]int{"a": 1}, shedding: true})
	is.Equal(len(core.Start(0).Sends), 1)
}

// Only attempts that reach a server are extra: an attempt for which no connection was
// established costs no budget, and neither does its replacement.
func TestUnsentAttemptsCostNoBudget(t *testing.T) {
	for _, reply := range []upstream.Reply{unsentUnreachable, unsentReset} {
		is := is.New(t)
		servers := &fakeServers{servers: map[string]int{"a": 3}}
		core := New(gatherPlan("a"), servers)
		core.Start(0)
		batch := core.Reply(AttemptID{0, 0}, reply, ms)
		is.Equal(ids(batch), []AttemptID{{0, 1}}) // without any budget
		batch = core.Reply(AttemptID{0, 1}, reply, 2*ms)
		is.Equal(ids(batch), []AttemptID{{0, 2}}) // and beyond MaximumAttempts
		is.Equal(core.Reply(AttemptID{0, 2}, answered(200), 3*ms).Outcome.Status, StatusAnswered)
	}
}

func TestHedgeThatWasNotSentIsRefunded(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 3}, budget: 1}
	core := New(gatherPlan("a"), servers)
	core.Start(0)
	core.Tick(testHedgeDelay)
	is.Equal(servers.budget, 0)
	batch := core.Reply(AttemptID{0, 1}, unsentUnreachable, testHedgeDelay+ms)
	is.Equal(ids(batch), []AttemptID{{0, 2}}) // with the budget of the first hedge
	is.Equal(servers.budget, 0)
	is.Equal(servers.extra, 1)
}

// Guards against a trial that is held in favor of requests that can still meet their target: identical
// requests, and others under which servers crashed, wait for its result.
func TestTrialDoesNotYield(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b")
	plan.Trial, plan.ArrivedLate, plan.YieldUntil = true, true, time.Second
	core := New(plan, &fakeServers{servers: map[string]int{"a": 1, "b": 1}, justStarted: true})
	is.Equal(ids(core.Start(0)), []AttemptID{{0, 0}})
}
