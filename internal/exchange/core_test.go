package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

const ms = time.Millisecond

func ids(batch Batch) []AttemptID {
	var ids []AttemptID
	for _, send := range batch.Sends {
		ids = append(ids, send.ID)
	}
	return ids
}

func TestAllShardsAreAskedAtOnceAndMerged(t *testing.T) {
	is := is.New(t)
	core := New(gatherPlan("a", "b"), &fleet{servers: map[string]int{"a": 2, "b": 2}})
	is.Equal(ids(core.Start(0)), []AttemptID{{0, 0}, {1, 0}})
	is.True(core.Reply(AttemptID{0, 0}, answered(200), 10*ms).Outcome == nil)
	outcome := core.Reply(AttemptID{1, 0}, answered(200), 20*ms).Outcome
	is.Equal(outcome.Status, StatusAnswered)
	is.Equal(outcome.Cause, CauseComplete)
	is.Equal(len(outcome.Replies), 2)
	is.Equal(outcome.Missing, 0)
}

func TestLateShardIsHedgedOnce(t *testing.T) {
	is := is.New(t)
	servers := &fleet{servers: map[string]int{"a": 3}, budget: 5}
	core := New(gatherPlan("a"), servers)
	batch := core.Start(0)
	is.Equal(batch.Wake, testLateAfter)
	is.Equal(len(core.Tick(testLateAfter-ms).Sends), 0)
	batch = core.Tick(testLateAfter)
	is.Equal(ids(batch), []AttemptID{{0, 1}})
	is.Equal(batch.Sends[0].Reason, ReasonHedge)
	is.Equal(len(core.Tick(150*ms).Sends), 0) // two attempts are the most
	is.Equal(servers.extra, 1)
	outcome := core.Reply(AttemptID{0, 1}, answered(200), 160*ms).Outcome
	is.Equal(outcome.Status, StatusAnswered)
}

func TestAnsweredShardCancelsItsOtherAttempt(t *testing.T) {
	is := is.New(t)
	core := New(gatherPlan("a", "b"), &fleet{servers: map[string]int{"a": 2, "b": 2}, budget: 5})
	core.Start(0)
	core.Tick(testLateAfter)
	batch := core.Reply(AttemptID{0, 1}, answered(200), 60*ms)
	is.Equal(batch.Cancels, []AttemptID{{0, 0}})
}

func TestFailedAttemptIsRetriedWithinTheBudget(t *testing.T) {
	is := is.New(t)
	core := New(gatherPlan("a"), &fleet{servers: map[string]int{"a": 2}, budget: 1})
	core.Start(0)
	batch := core.Reply(AttemptID{0, 0}, lost, 5*ms)
	is.Equal(batch.Sends[0].Reason, ReasonRetry)
	outcome := core.Reply(AttemptID{0, 1}, lost, 10*ms).Outcome
	is.Equal(outcome.Status, StatusFailed)
	is.Equal(outcome.Cause, CauseShardsLost)
}

func TestSpentBudgetWaitsAndSendsLater(t *testing.T) {
	is := is.New(t)
	servers := &fleet{servers: map[string]int{"a": 2}}
	core := New(gatherPlan("a"), servers)
	core.Start(0)
	batch := core.Reply(AttemptID{0, 0}, lost, 5*ms)
	is.Equal(len(batch.Sends), 0)
	is.True(batch.Outcome == nil)
	is.Equal(batch.Wake, 5*ms+retryPause)
	servers.budget = 1
	is.Equal(ids(core.Tick(5*ms+retryPause)), []AttemptID{{0, 1}})
}

func TestPartialAnswerAtTheTarget(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b", "c")
	plan.LeastShards = 2
	core := New(plan, &fleet{servers: map[string]int{"a": 1, "b": 1, "c": 1}})
	core.Start(0)
	core.Reply(AttemptID{0, 0}, answered(200), 10*ms)
	is.True(core.Tick(testTarget).Outcome == nil) // one of three is too few
	outcome := core.Reply(AttemptID{1, 0}, answered(200), testTarget+30*ms).Outcome
	is.Equal(outcome.Status, StatusAnswered)
	is.Equal(outcome.Cause, CauseTarget)
	is.Equal(outcome.Missing, 1)
}

func TestPartialAnswerIsNotGivenBeforeTheTarget(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b")
	plan.LeastShards = 1
	core := New(plan, &fleet{servers: map[string]int{"a": 1, "b": 1}})
	core.Start(0)
	batch := core.Reply(AttemptID{0, 0}, answered(200), 10*ms)
	is.True(batch.Outcome == nil)
	is.True(batch.Wake <= testTarget)
	is.True(core.Tick(testTarget).Outcome != nil)
}

func TestUnrepeatableRequest(t *testing.T) {
	for _, test := range []struct {
		name  string
		reply upstream.Reply
		// retried tells whether another attempt is made.
		retried bool
		status  Status
	}{
		{"refused", refused, true, StatusRefused},
		{"unreachable", upstream.Reply{Kind: upstream.Unreachable, Verdict: refused.Verdict}, true, StatusRefused},
		{"foreign", upstream.Reply{Kind: upstream.Foreign, Verdict: refused.Verdict}, true, StatusRefused},
		{"lost", lost, false, StatusFailed},
		{"reset", upstream.Reply{Kind: upstream.Reset, Verdict: lost.Verdict}, false, StatusFailed},
		{"malformed", upstream.Reply{Kind: upstream.Malformed, Verdict: lost.Verdict}, false, StatusFailed},
		{"failed by the server", answered(500), false, StatusAnswered},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core := New(singlePlan(false), &fleet{servers: map[string]int{"a": 9}, budget: 9})
			core.Start(0)
			is.Equal(len(core.Tick(10*testLateAfter).Sends), 0) // never hedged
			batch := core.Reply(AttemptID{0, 0}, test.reply, 510*ms)
			is.Equal(len(batch.Sends) == 1, test.retried)
			if test.retried {
				batch = core.Reply(AttemptID{0, 1}, test.reply, 520*ms)
			}
			is.True(core.Sends() <= 2) // the target has passed
			is.Equal(batch.Outcome.Status, test.status)
		})
	}
}

func TestRefusalIsNeverPromisedOnceSomethingMayHaveRun(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fleet{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	core.Tick(testLateAfter)
	core.Reply(AttemptID{0, 1}, refused, 60*ms)
	now := 70 * ms
	batch := core.Reply(AttemptID{0, 0}, lost, now)
	for batch.Outcome == nil {
		if len(batch.Sends) > 0 {
			batch = core.Reply(batch.Sends[0].ID, refused, now)
			continue
		}
		now = batch.Wake
		batch = core.Tick(now)
	}
	is.Equal(batch.Outcome.Status, StatusFailed)
}

func TestRefusalComesEarlyWithoutServers(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(false), &fleet{})
	batch := core.Start(0)
	for batch.Outcome == nil {
		batch = core.Tick(batch.Wake)
		is.True(batch.Wake <= testTarget/4) // a quarter of the target is early
	}
	is.Equal(batch.Outcome.Status, StatusRefused)
	is.Equal(batch.Outcome.Cause, CauseNoServers)
}

func TestBusyServersAreWaitedFor(t *testing.T) {
	is := is.New(t)
	servers := &fleet{servers: map[string]int{"a": 1}, busy: map[string]bool{"a": true}}
	core := New(singlePlan(true), servers)
	core.Start(0)
	is.True(core.Tick(testTarget+ms).Outcome == nil)
	servers.busy["a"] = false
	is.Equal(len(core.Tick(testTarget+100*ms).Sends), 1)
}

// A refused caller comes back after its target, so that a refusal for being late
// would make it late: every shard is asked, whatever is expected of it.
func TestRequestThatWouldBeLateIsCarriedOut(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b", "c")
	plan.LeastShards = 2
	servers := &fleet{servers: map[string]int{"a": 1, "b": 1, "c": 1}, lateAfter: 2 * testTarget}
	core := New(plan, servers)
	is.Equal(len(core.Start(0).Sends), 3)
	is.True(core.Tick(testTarget).Outcome == nil)
	core.Reply(AttemptID{0, 0}, answered(200), testTarget+10*ms)
	is.Equal(core.Reply(AttemptID{1, 0}, answered(200), testTarget+20*ms).Outcome.Status, StatusAnswered)
}

func TestDeadlineEndsTheRequest(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fleet{servers: map[string]int{"a": 1}})
	core.Start(0)
	outcome := core.Tick(testDeadline).Outcome
	is.Equal(outcome.Status, StatusExpired)
	is.Equal(outcome.Cause, CauseDeadline)
}

func TestServersOwnFailure(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fleet{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	batch := core.Reply(AttemptID{0, 0}, answered(500), 10*ms)
	is.Equal(len(batch.Sends), 1) // a repeatable request is tried again
	outcome := core.Reply(AttemptID{0, 1}, lost, 20*ms).Outcome
	is.Equal(outcome.Status, StatusAnswered)
	is.Equal(outcome.Replies[0].Status, 500) // the failure is handed on unchanged
	is.Equal(outcome.Cause, CauseServerFailed)
}

func TestCallersOwnFaultIsFinal(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fleet{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	outcome := core.Reply(AttemptID{0, 0}, answered(404), 10*ms).Outcome
	is.Equal(outcome.Replies[0].Status, 404)
}

func TestFailedPartIsNoPart(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{404, 500, 504} {
		core := New(gatherPlan("a"), &fleet{servers: map[string]int{"a": 1}})
		core.Start(0)
		batch := core.Reply(AttemptID{0, 0}, answered(status), 10*ms)
		for batch.Outcome == nil {
			batch = core.Tick(batch.Wake)
		}
		is.Equal(batch.Outcome.Status, StatusFailed)
	}
}

func TestNothingIsDoneAfterTheOutcome(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fleet{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	core.Tick(testLateAfter)
	is.True(core.Reply(AttemptID{0, 0}, answered(200), 60*ms).Outcome != nil)
	late := core.Reply(AttemptID{0, 1}, answered(200), 70*ms)
	is.Equal(late.Outcome, (*Outcome)(nil))
	is.Equal(len(late.Sends), 0)
}

var _ Servers = (*fleet)(nil)

// A request that was withheld has not run, so that even one that must not be
// repeated goes to another server.
func TestWithheldRequestGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	withheld := upstream.Reply{Kind: upstream.Withheld, Verdict: verdict.NotRun}
	core := New(singlePlan(false), &fleet{servers: map[string]int{"a": 2}, budget: 1})
	core.Start(0)
	is.Equal(ids(core.Reply(AttemptID{0, 0}, withheld, ms)), []AttemptID{{0, 1}})
}

// A request whose retry is not allowed gets its final answer soon, not at its
// deadline: the caller may ask again.
func TestRequestWithoutBudgetIsAnsweredSoon(t *testing.T) {
	for _, test := range []struct {
		name    string
		plan    Plan
		servers *fleet
		// reply ends the first attempt, if one could be sent.
		reply upstream.Reply
		// limit is when the final answer has to be there.
		limit time.Duration
		want  Status
	}{
		{"refused, no budget", singlePlan(false), &fleet{servers: map[string]int{"a": 2}}, refused, testTarget / 4, StatusRefused},
		{"lost, no budget", singlePlan(true), &fleet{servers: map[string]int{"a": 2}}, lost, testTarget / 4, StatusFailed},
		{"shard without budget", gatherPlan("a"), &fleet{servers: map[string]int{"a": 2}}, lost, testTarget + retryPause, StatusFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core := New(test.plan, test.servers)
			now := time.Duration(0)
			batch := core.Start(now)
			if len(batch.Sends) > 0 {
				batch = core.Reply(AttemptID{0, 0}, test.reply, now)
			}
			for batch.Outcome == nil && now < testDeadline {
				now = batch.Wake
				batch = core.Tick(now)
			}
			is.Equal(batch.Outcome.Status, test.want)
			is.Equal(batch.Outcome.Cause, CauseNoBudget)
			is.True(now <= test.limit)
		})
	}
}

// Cold servers take nothing more of this node for seconds: nobody waits for that. The
// part of a shard is of use until the target.
func TestColdServersAreNotWaitedFor(t *testing.T) {
	is := is.New(t)
	servers := &fleet{servers: map[string]int{"a": 1, "b": 1}, cold: map[string]bool{"a": true}}
	outcome := New(singlePlan(true), servers).Start(0).Outcome
	is.True(outcome != nil)
	is.Equal(outcome.Status, StatusRefused)
	plan := gatherPlan("a", "b")
	plan.LeastShards = 1
	core := New(plan, servers)
	is.Equal(len(core.Start(0).Sends), 1)
	is.True(core.Reply(AttemptID{Shard: 1}, answered(200), testTarget/4).Outcome == nil)
	outcome = core.Tick(testTarget).Outcome
	is.True(outcome != nil)
	is.Equal(outcome.Missing, 1)
}

// A whole list without a server for the request is nothing to wait for.
func TestRequestWithoutServersIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fleet{})
	batch := core.Start(0)
	is.True(batch.Outcome != nil)
	is.Equal(batch.Outcome.Status, StatusRefused)
	is.Equal(batch.Outcome.Cause, CauseNoServers)
	waiting := New(singlePlan(true), &fleet{settling: true})
	is.True(waiting.Start(0).Outcome == nil)
}

// What was sent to where there is no way any more is not waited for to the deadline: a
// gathered request fails, or is answered without it, once that is known. A request for
// one server is waited for: it may be at work, and must not be sent again.
func TestShardsThatAreCutOffAreNotWaitedFor(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		is := is.New(t)
		servers := &fleet{servers: map[string]int{"a": 1, "b": 1}, budget: 9}
		plan := gatherPlan("a", "b")
		plan.MaximumAttempts = attempts
		core := New(plan, servers)
		core.Start(0)
		is.True(core.Reply(AttemptID{Shard: 1}, answered(200), testLateAfter/2).Outcome == nil)
		is.True(core.Tick(2*testTarget).Outcome == nil)
		servers.cut = true
		batch := core.Tick(2*testTarget + reachPause)
		is.True(batch.Outcome != nil)
		is.Equal(batch.Outcome.Status, StatusFailed)
		is.Equal(batch.Outcome.Cause, CauseShardsLost)
	}
	for _, repeatable := range []bool{true, false} {
		core := New(singlePlan(repeatable), &fleet{servers: map[string]int{"a": 1}, budget: 9, cut: true})
		core.Start(0)
		for now := testLateAfter; now < testDeadline; now += reachPause {
			is.New(t).True(core.Tick(now).Outcome == nil)
		}
	}
}
