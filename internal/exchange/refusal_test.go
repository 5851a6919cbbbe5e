package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/upstream"
)

// A server that refused has run nothing: it is asked again after a backoff, even for a
// request that must not run twice.
func TestServerThatRefusedIsAskedAgain(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		servers := &fakeServers{servers: map[string]int{"a": 1}, budget: 9}
		core := New(singlePlan(repeatable), servers)
		core.Start(0)
		batch := core.Reply(AttemptID{0, 0}, refused, ms)
		is.Equal(len(batch.Sends), 0)
		is.Equal(batch.Wake, ms+testExpected)
		batch = core.Tick(batch.Wake)
		is.Equal(ids(batch), []AttemptID{{0, 1}})
		is.Equal(batch.Sends[0].Reason, ReasonRetry)
		is.Equal(servers.extra, 1)
		is.Equal(core.Reply(AttemptID{0, 1}, answered(200), 50*ms).Outcome.Status, StatusAnswered)
	}
}

// The backoff that a server specifies is respected.
func TestServerIsNotAskedBeforeItsRetryAfter(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fakeServers{servers: map[string]int{"a": 1}, budget: 9})
	core.Start(0)
	reply := refused
	reply.RetryAfter = 70 * ms
	is.Equal(core.Reply(AttemptID{0, 0}, reply, ms).Wake, 71*ms)
	is.Equal(len(core.Tick(70*ms).Sends), 0)
	is.Equal(ids(core.Tick(71*ms)), []AttemptID{{0, 1}})
}

// However often servers refuse, no more of them are asked than the route allows, and
// none after the target. A request that was only refused has not run.
func TestRefusalsDoNotReachMoreServers(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(false), &fakeServers{servers: map[string]int{"a": 9}, budget: 99})
	asked := make(map[*endpoints.Endpoint]bool)
	now := time.Duration(0)
	batch := core.Start(now)
	for batch.Outcome == nil {
		if len(batch.Sends) == 0 {
			now = batch.Wake
			batch = core.Tick(now)
			continue
		}
		is.Equal(len(batch.Sends), 1)
		is.True(now < testTarget)
		asked[batch.Sends[0].Choice.Endpoint] = true
		now += ms
		batch = core.Reply(batch.Sends[0].ID, refused, now)
	}
	is.Equal(len(asked), 2)
	is.True(core.Sends() > 4)
	is.Equal(batch.Outcome.Status, StatusRefused)
	is.True(now <= testTarget)
}

// A request that must not run twice is not sent again once a server may have run it.
func TestNoAttemptAfterOneThatMayHaveRun(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(false), &fakeServers{servers: map[string]int{"a": 2}, budget: 9})
	core.Start(0)
	is.Equal(ids(core.Reply(AttemptID{0, 0}, refused, ms)), []AttemptID{{0, 1}})
	outcome := core.Reply(AttemptID{0, 1}, lost, 2*ms).Outcome
	is.Equal(outcome.Status, StatusFailed)
}

// A server that failed is not asked again; the one that refused is.
func TestOnlyTheServerThatRefusedIsAskedAgain(t *testing.T) {
	is := is.New(t)
	core := New(singlePlan(true), &fakeServers{servers: map[string]int{"a": 3}, budget: 9})
	first := core.Start(0).Sends[0].Choice.Endpoint
	is.Equal(len(core.Reply(AttemptID{0, 0}, refused, ms).Sends), 1)
	batch := core.Reply(AttemptID{0, 1}, upstream.Reply{Kind: upstream.Lost, Verdict: lost.Verdict}, 2*ms)
	is.Equal(len(batch.Sends), 0)
	batch = core.Tick(batch.Wake)
	is.Equal(len(batch.Sends), 1)
	is.Equal(batch.Sends[0].Choice.Endpoint, first)
}
