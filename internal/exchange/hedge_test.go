package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// manyShards returns a plan over the given number of shards, and three servers for each.
func manyShards(count int) (Plan, *fakeServers) {
	plan := Plan{Gather: true, Repeatable: true, MaximumAttempts: 2, LeastShards: count, Target: testTarget, Deadline: testDeadline}
	servers := &fakeServers{servers: make(map[string]int), budget: 10 * count}
	for index := range count {
		name := fmt.Sprint("s-", index)
		plan.Services = append(plan.Services, name)
		servers.servers[name] = 3
	}
	return plan, servers
}

func success() upstream.Reply {
	return upstream.Reply{Kind: upstream.Answered, Verdict: verdict.Ran, Status: 200, Seal: "seal"}
}

// A slow node reads no reply in time: all shards of a gather are late at once, and hedging
// all of them would double its load.
func TestHedgesWaitWhileMostShardsAreLate(t *testing.T) {
	is := is.New(t)
	plan, servers := manyShards(90)
	core := New(plan, servers)
	is.Equal(len(core.Start(0).Sends), 90)
	for now := testHedgeDelay; now < testTarget-testExpected; now += 5 * time.Millisecond {
		is.Equal(len(core.Tick(now).Sends), 0)
	}
	// This is the latest time at which a hedge can still meet the target.
	is.Equal(len(core.Tick(testTarget-testExpected).Sends), 90)
}

// The last open shards of a gather are hedged as soon as they are late.
func TestLastShardsAreHedgedAtOnce(t *testing.T) {
	is := is.New(t)
	plan, servers := manyShards(90)
	core := New(plan, servers)
	core.Start(0)
	hedged := 0
	for shard := range 70 {
		hedged += len(core.Reply(AttemptID{Shard: shard}, success(), 40*time.Millisecond).Sends)
	}
	is.Equal(hedged, 0)
	batch := core.Tick(testHedgeDelay)
	is.Equal(len(batch.Sends), 20)
	is.Equal(batch.Sends[0].Reason, ReasonHedge)
}

// Late shards whose hedge was deferred are checked again soon, and hedged once most others
// have answered.
func TestLateShardsAreHedgedOnceFewAreOpen(t *testing.T) {
	is := is.New(t)
	plan, servers := manyShards(90)
	core := New(plan, servers)
	core.Start(0)
	core.Tick(testHedgeDelay)
	for shard := range 80 {
		core.Reply(AttemptID{Shard: shard}, success(), testHedgeDelay+time.Millisecond)
	}
	is.Equal(len(core.Tick(testHedgeDelay+pollInterval).Sends), 10)
}

// A gather of few shards adds little load: each is hedged when it is late.
func TestFewShardsAreHedgedTogether(t *testing.T) {
	is := is.New(t)
	plan, servers := manyShards(maxStragglerCount)
	core := New(plan, servers)
	core.Start(0)
	is.Equal(len(core.Tick(testHedgeDelay).Sends), maxStragglerCount)
}

// A slow node returns a partial answer earlier, so that it reaches the caller in time.
func TestShortenedTargetLeavesTimeForTheAnswer(t *testing.T) {
	for _, test := range []struct{ needed, earlier time.Duration }{
		{0, 0},
		{5 * time.Millisecond, 5 * time.Millisecond},
		{time.Second, testTarget / 10},
	} {
		is := is.New(t)
		plan, servers := manyShards(3)
		plan.LeastShards = 2
		core := New(plan, servers)
		core.Start(0)
		core.ShortenTarget(test.needed)
		core.Reply(AttemptID{Shard: 0}, success(), time.Millisecond)
		batch := core.Reply(AttemptID{Shard: 1}, success(), time.Millisecond)
		is.True(batch.Outcome == nil)
		is.True(core.Tick(testTarget-test.earlier-1).Outcome == nil)
		is.Equal(core.Tick(testTarget-test.earlier).Outcome.Cause, CauseTarget)
	}
}
