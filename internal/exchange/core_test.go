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
	core := New(gatherPlan("a", "b"), &fakeServers{servers: map[string]int{"a": 2, "b": 2}})
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
	servers := &fakeServers{servers: map[string]int{"a": 3}, budget: 5}
	core := New(gatherPlan("a"), servers)
	batch := core.Start(0)
	is.Equal(batch.Wake, testHedgeDelay)
	is.Equal(len(core.Tick(testHedgeDelay-ms).Sends), 0)
	batch = core.Tick(testHedgeDelay)
	is.Equal(ids(batch), []AttemptID{{0, 1}})
	is.Equal(batch.Sends[0].Reason, ReasonHedge)
	is.Equal(len(core.Tick(150*ms).Sends), 0) // two attempts are the most
	is.Equal(servers.extra, 1)
	outcome := core.Reply(AttemptID{0, 1}, answered(200), 160*ms).Outcome
	is.Equal(outcome.Status, StatusAnswered)
}

func TestAnsweredShardCancelsItsOtherAttempt(t *testing.T) {
	is := is.New(t)
	core := New(gatherPlan("a", "b"), &fakeServers{servers: map[string]int{"a": 2, "b": 2}, budget: 5})
	core.Start(0)
	core.Tick(testHedgeDelay)
	batch := core.Reply(AttemptID{0, 1}, answered(200), 60*ms)
	is.Equal(batch.Cancels, []AttemptID{{0, 0}})
}

func TestFailedAttemptIsRetriedWithinTheBudget(t *testing.T) {
	is := is.New(t)
	core := New(gatherPlan("a"), &fakeServers{servers: map[string]int{"a": 2}, budget: 1})
	core.Start(0)
	batch := core.Reply(AttemptID{0, 0}, lost, 5*ms)
	is.Equal(batch.Sends[0].Reason, ReasonRetry)
	outcome := core.Reply(AttemptID{0, 1}, lost, 10*ms).Outcome
	is.Equal(outcome.Status, StatusFailed)
	is.Equal(outcome.Cause, CauseShardsLost)
}

func TestRetryWaitsForBudget(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 2}}
	core := New(gatherPlan("a"), servers)
	core.Start(0)
	batch := core.Reply(AttemptID{0, 0}, lost, 5*ms)
	is.Equal(len(batch.Sends), 0)
	is.True(batch.Outcome == nil)
	is.Equal(batch.Wake, 5*ms+pollInterval)
	servers.budget = 1
	is.Equal(ids(core.Tick(5*ms+pollInterval)), []AttemptID{{0, 1}})
}

func TestPartialAnswerAtTheTarget(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b", "c")
	plan.LeastShards = 2
	core := New(plan, &fakeServers{servers: map[string]int{"a": 1, "b": 1, "c": 1}})
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
	core := New(plan, &fakeServers{servers: map[string]int{"a": 1, "b": 1}})
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
		// retried is set if another attempt is made.
		retried bool
		status  Status
	}{
		{"refused", refused, true, StatusRefused},
		{"unreachable", upstream.Reply{Kind: upstream.Unreachable, Verdict: refused.Verdict}, true, StatusRefused},
		{"foreign", upstream.Reply{Kind: upstream.WrongServer, Verdict: refused.Verdict}, true, StatusRefused},
		{"lost", lost, false, StatusFailed},
		{"reset", upstream.Reply{Kind: upstream.Reset, Verdict: lost.Verdict}, false, StatusFailed},
		{"malformed", upstream.Reply{Kind: upstream.Malformed, Verdict: lost.Verdict}, false, StatusFailed},
		{"failed by the server", answered(500), false, StatusAnswered},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core := New(singlePlan(false), &fakeServers{servers: map[string]int{"a": 9}, budget: 9})
			core.Start(0)
			is.Equal(len(core.Tick(10*testHedgeDelay).Sends), 0) // never hedged
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

func TestNoRefusalOnceAnAttemptMayHaveRun(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fakeServers{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	core.Tick(testHedgeDelay)
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

func TestRequestWithoutServersIsRefusedEarly(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(false), &fakeServers{})
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
	servers := &fakeServers{servers: map[string]int{"a": 1}, busy: map[string]bool{"a": true}}
	core := New(singlePlan(true), servers)
	core.Start(0)
	is.True(core.Tick(testTarget+ms).Outcome == nil)
	servers.busy["a"] = false
	is.Equal(len(core.Tick(testTarget+100*ms).Sends), 1)
}

// A refused caller retries after its target, so that a refusal for being late would
// itself make it late: every shard is asked, however long its reply is expected to take.
func TestRequestExpectedToBeLateIsSent(t *testing.T) {
	is := is.New(t)
	plan := gatherPlan("a", "b", "c")
	plan.LeastShards = 2
	servers := &fakeServers{servers: map[string]int{"a": 1, "b": 1, "c": 1}, hedgeDelay: 2 * testTarget}
	core := New(plan, servers)
	is.Equal(len(core.Start(0).Sends), 3)
	is.True(core.Tick(testTarget).Outcome == nil)
	core.Reply(AttemptID{0, 0}, answered(200), testTarget+10*ms)
	is.Equal(core.Reply(AttemptID{1, 0}, answered(200), testTarget+20*ms).Outcome.Status, StatusAnswered)
}

func TestDeadlineEndsTheRequest(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fakeServers{servers: map[string]int{"a": 1}})
	core.Start(0)
	outcome := core.Tick(testDeadline).Outcome
	is.Equal(outcome.Status, StatusExpired)
	is.Equal(outcome.Cause, CauseDeadline)
}

func TestServerErrorIsRetriedThenForwarded(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fakeServers{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	batch := core.Reply(AttemptID{0, 0}, answered(500), 10*ms)
	is.Equal(len(batch.Sends), 1) // a repeatable request is retried
	outcome := core.Reply(AttemptID{0, 1}, lost, 20*ms).Outcome
	is.Equal(outcome.Status, StatusAnswered)
	is.Equal(outcome.Replies[0].Status, 500) // the failure is forwarded unchanged
	is.Equal(outcome.Cause, CauseServerFailed)
}

func TestClientErrorIsFinal(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fakeServers{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	outcome := core.Reply(AttemptID{0, 0}, answered(404), 10*ms).Outcome
	is.Equal(outcome.Replies[0].Status, 404)
}

func TestErrorReplyIsNoShardAnswer(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{404, 500, 504} {
		core := New(gatherPlan("a"), &fakeServers{servers: map[string]int{"a": 1}})
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
	core := New(singlePlan(true), &fakeServers{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	core.Tick(testHedgeDelay)
	is.True(core.Reply(AttemptID{0, 0}, answered(200), 60*ms).Outcome != nil)
	late := core.Reply(AttemptID{0, 1}, answered(200), 70*ms)
	is.Equal(late.Outcome, (*Outcome)(nil))
	is.Equal(len(late.Sends), 0)
}

var _ Servers = (*fakeServers)(nil)

// A withheld request has not run, so that even one that must not be repeated is sent to
// another server.
func TestWithheldRequestGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	withheld := upstream.Reply{Kind: upstream.NotPermitted, Verdict: verdict.NotRun}
	core := New(singlePlan(false), &fakeServers{servers: map[string]int{"a": 2}, budget: 1})
	core.Start(0)
	is.Equal(ids(core.Reply(AttemptID{0, 0}, withheld, ms)), []AttemptID{{0, 1}})
}

// A request whose retry is not allowed gets its final answer early, not at its deadline,
// because the caller may retry.
func TestRequestWithoutBudgetIsAnsweredEarly(t *testing.T) {
	for _, test := range []struct {
		name    string
		plan    Plan
		servers *fakeServers
		// reply ends the first attempt, if one was sent.
		reply upstream.Reply
		// limit is the latest time for the final answer.
		limit time.Duration
		want  Status
	}{
		{"refused, no budget", singlePlan(false), &fakeServers{servers: map[string]int{"a": 2}}, refused, testTarget / 4, StatusRefused},
		{"lost, no budget", singlePlan(true), &fakeServers{servers: map[string]int{"a": 2}}, lost, testTarget / 4, StatusFailed},
		{"shard without budget", gatherPlan("a"), &fakeServers{servers: map[string]int{"a": 2}}, lost, testTarget + pollInterval, StatusFailed},
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

// Cold servers accept nothing more from this node for seconds, too long for a request for
// one server to wait. The reply of a shard is useful until the target.
func TestColdServersAreNotWaitedFor(t *testing.T) {
	is := is.New(t)
	servers := &fakeServers{servers: map[string]int{"a": 1, "b": 1}, cold: map[string]bool{"a": true}}
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

// With a complete list that has no server for the request, there is nothing to wait for.
func TestRequestWithoutServersIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fakeServers{})
	batch := core.Start(0)
	is.True(batch.Outcome != nil)
	is.Equal(batch.Outcome.Status, StatusRefused)
	is.Equal(batch.Outcome.Cause, CauseNoServers)
	waiting := New(singlePlan(true), &fakeServers{listIncomplete: true})
	is.True(waiting.Start(0).Outcome == nil)
}

// A gathered request does not wait until its deadline for servers that have become
// unreachable: it fails, or is answered without them, once that is detected. A request for
// one server keeps waiting: its server may be running it, and it must not be sent again.
func TestUnreachableShardsAreNotWaitedFor(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		is := is.New(t)
		servers := &fakeServers{servers: map[string]int{"a": 1, "b": 1}, budget: 9}
		plan := gatherPlan("a", "b")
		plan.MaximumAttempts = attempts
		core := New(plan, servers)
		core.Start(0)
		is.True(core.Reply(AttemptID{Shard: 1}, answered(200), testHedgeDelay/2).Outcome == nil)
		is.True(core.Tick(2*testTarget).Outcome == nil)
		servers.unreachable = true
		batch := core.Tick(2*testTarget + reachCheckInterval)
		is.True(batch.Outcome != nil)
		is.Equal(batch.Outcome.Status, StatusFailed)
		is.Equal(batch.Outcome.Cause, CauseShardsLost)
	}
	for _, repeatable := range []bool{true, false} {
		core := New(singlePlan(repeatable), &fakeServers{servers: map[string]int{"a": 1}, budget: 9, unreachable: true})
		core.Start(0)
		for now := testHedgeDelay; now < testDeadline; now += reachCheckInterval {
			is.New(t).True(core.Tick(now).Outcome == nil)
		}
	}
}
