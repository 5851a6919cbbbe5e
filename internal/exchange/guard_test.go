package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/crashguard"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// A request that may crash servers is sent to only one more server once its first
// attempts were lost, not to another server of each shard.
func TestRequestThatLosesAllItsAttemptsGetsOneMore(t *testing.T) {
	is := is.New(t)
	services := []string{"a", "b", "c", "d"}
	plan := gatherPlan(services...)
	plan.MaximumAttempts = 3
	core := New(plan, &fakeServers{servers: map[string]int{"a": 3, "b": 3, "c": 3, "d": 3}, budget: 99})
	is.Equal(len(core.Start(0).Sends), 4)
	retries := 0
	for shard := range services {
		retries += len(core.Reply(AttemptID{Shard: shard}, lost, time.Duration(shard+1)*ms).Sends)
	}
	is.Equal(retries, 2) // those before the third loss
	core.Reply(AttemptID{0, 1}, lost, 10*ms)
	batch := core.Reply(AttemptID{1, 1}, lost, 10*ms)
	is.Equal(len(batch.Sends), 1)
	outcome := core.Reply(batch.Sends[0].ID, lost, 20*ms).Outcome
	is.Equal(outcome.Status, StatusFailed)
	is.Equal(outcome.Cause, CauseServersCrashed)
	is.Equal(core.Sends(), 4+2+1)
}

// If many servers fail at the same time for another reason, the first answer shows that the
// request is not the cause.
func TestRetriesResumeAfterTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 2, "b": 2, "c": 2, "d": 2}, budget: 99}
	core := New(gatherPlan("a", "b", "c", "d"), servers)
	core.Start(0)
	for shard := range 3 {
		core.Reply(AttemptID{Shard: shard}, lost, ms)
	}
	batch := core.Reply(AttemptID{Shard: 3}, answered(200), 2*ms)
	sends := len(batch.Sends)
	for shard := range 3 {
		outcome := core.Reply(AttemptID{Shard: shard, Number: 1}, answered(200), 3*ms).Outcome
		is.Equal(outcome != nil, shard == 2)
	}
	is.True(sends >= 1)
}

func TestTrialAsksOneServerFirst(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b")
	plan.Trial = true
	servers := &fakeServers{servers: map[string]int{"a": 3, "b": 3}, budget: 9}
	core := New(plan, servers)
	is.Equal(ids(core.Start(0)), []AttemptID{{0, 0}})
	is.Equal(len(core.Tick(2*testHedgeDelay).Sends), 0) // not hedged either
	batch := core.Reply(AttemptID{0, 0}, answered(200), 60*ms)
	is.Equal(ids(batch), []AttemptID{{1, 0}})

	failed := New(plan, &fakeServers{servers: map[string]int{"a": 3, "b": 3}, budget: 9})
	failed.Start(0)
	outcome := failed.Reply(AttemptID{0, 0}, lost, ms).Outcome
	is.Equal(outcome.Status, StatusFailed)
	is.Equal(outcome.Cause, CauseServersCrashed)
	is.Equal(failed.Sends(), 1)
}

// A trial whose attempt reaches no server continues with the next server: nothing has run.
func TestTrialContinuesIfNoServerIsReached(t *testing.T) {
	is := is.New(t)
	plan := singlePlan(false)
	plan.Trial = true
	core := New(plan, &fakeServers{servers: map[string]int{"a": 3}, budget: 9})
	core.Start(0)
	is.Equal(ids(core.Reply(AttemptID{0, 0}, unsentUnreachable, ms)), []AttemptID{{0, 1}})
	is.Equal(core.Reply(AttemptID{0, 1}, answered(200), 2*ms).Outcome.Status, StatusAnswered)
}

// A trial starts at the shard of a suspected service, whose servers crashed; the others wait
// for its answer.
func TestTrialStartsWithSuspectedServices(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b", "c")
	plan.Trial, plan.SuspectedServices = true, []string{"c"}
	core := New(plan, &fakeServers{servers: map[string]int{"a": 3, "b": 3, "c": 3}, budget: 9})
	is.Equal(ids(core.Start(0)), []AttemptID{{2, 0}})
	is.Equal(ids(core.Reply(AttemptID{Shard: 2}, answered(200), ms)), []AttemptID{{0, 0}, {1, 0}})

	// Without a server there, the suspicion cannot be tested, and the others are asked.
	plan.LeastShards = 2
	core = New(plan, &fakeServers{servers: map[string]int{"a": 3, "b": 3}, budget: 9})
	batch := core.Start(0)
	for len(batch.Sends) == 0 {
		batch = core.Tick(batch.Wake)
	}
	is.Equal(ids(batch), []AttemptID{{0, 0}})
}

// An attempt that expired, was refused or was never sent does not count as a loss.
func TestOnlyLossesMakeARequestSequential(t *testing.T) {
	is := is.New(t)
	core := New(gatherPlan("a", "b", "c", "d"), &fakeServers{servers: map[string]int{"a": 9, "b": 9, "c": 9, "d": 9}})
	core.Start(0)
	expired := upstream.Reply{Kind: upstream.Expired, Verdict: verdict.MayHaveRun}
	for shard, reply := range []upstream.Reply{unsentUnreachable, unsentReset, refused, expired} {
		core.Reply(AttemptID{Shard: shard}, reply, ms)
	}
	is.Equal(core.guard, crashguard.Guard{})
}
