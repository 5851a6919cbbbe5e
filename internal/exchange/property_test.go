package exchange

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// history records all sends, replies and outcomes of a request.
type history struct {
	sends    map[int]int
	chosen   map[AttemptID]*endpoints.Endpoint
	open     []AttemptID
	started  map[AttemptID]bool
	ended    map[AttemptID]upstream.Reply
	outcomes []*Outcome
}

// TestRequestInvariants drives the core with random replies at random times and checks the
// invariants of every request.
func TestRequestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := drawPlan(t)
		servers := &fakeServers{
			servers:        make(map[string]int),
			health:         make(map[string]endpoints.ServiceHealth),
			budget:         rapid.IntRange(0, 6).Draw(t, "budget"),
			busy:           make(map[string]bool),
			listIncomplete: rapid.Bool().Draw(t, "list incomplete"),
			justStarted:    rapid.Bool().Draw(t, "just started"),
			shedding:       rapid.Bool().Draw(t, "shedding"),
		}
		for _, service := range plan.Services {
			servers.servers[service] = rapid.IntRange(0, 3).Draw(t, "servers")
			servers.health[service] = endpoints.ServiceHealth{
				FailureRate: rapid.Float64Range(0, 1).Draw(t, "failure rate"),
				RetryBudget: float64(rapid.IntRange(-1, 6).Draw(t, "retry budget")),
			}
		}
		history := &history{sends: make(map[int]int), chosen: make(map[AttemptID]*endpoints.Endpoint), started: make(map[AttemptID]bool), ended: make(map[AttemptID]upstream.Reply)}
		core := New(plan, servers)
		now := time.Duration(0)
		batch := core.Start(now)
		for step := 0; len(history.outcomes) == 0; step++ {
			history.record(batch)
			if len(history.outcomes) > 0 {
				break
			}
			if step > 500 {
				t.Fatalf("no outcome after %v", now)
			}
			if batch.Wake > plan.Deadline {
				t.Fatalf("wake at %v, after the deadline", batch.Wake)
			}
			batch, now = history.advance(t, core, batch, now)
		}
		history.check(t, plan, servers, now)
	})
}

func drawPlan(t *rapid.T) Plan {
	if rapid.Bool().Draw(t, "gather") {
		plan := gatherPlan([]string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "shards")]...)
		plan.LeastShards = rapid.IntRange(1, len(plan.Services)).Draw(t, "least")
		plan.MaximumAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
		plan.ArrivedLate = rapid.Bool().Draw(t, "late")
		plan.YieldUntil = time.Duration(rapid.IntRange(0, 1200).Draw(t, "yield")) * ms
		plan.Jitter = rapid.Float64Range(0, 1).Draw(t, "jitter")
		return plan
	}
	plan := singlePlan(rapid.Bool().Draw(t, "repeatable"))
	plan.Trial = rapid.Bool().Draw(t, "trial")
	plan.MaximumAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
	return plan
}

// record adds the actions of a batch to the history.
func (h *history) record(batch Batch) {
	for _, send := range batch.Sends {
		h.sends[send.ID.Shard]++
		h.open = append(h.open, send.ID)
		h.started[send.ID] = true
		h.chosen[send.ID] = send.Choice.Endpoint
	}
	for _, id := range batch.Cancels {
		h.finish(id)
	}
	if batch.Outcome != nil {
		h.outcomes = append(h.outcomes, batch.Outcome)
	}
}

// finish removes the attempt from the open ones.
func (h *history) finish(id AttemptID) {
	for index, other := range h.open {
		if other == id {
			h.open = append(h.open[:index], h.open[index+1:]...)
			return
		}
	}
}

var replies = []upstream.Reply{answered(200), answered(500), answered(404), refused, lost,
	{Kind: upstream.Unreachable, Verdict: verdict.NotRun}, {Kind: upstream.WrongServer, Verdict: verdict.NotRun},
	{Kind: upstream.Malformed, Verdict: verdict.MayHaveRun},
	// It is unknown whether these have run.
	{Kind: upstream.Expired, Verdict: verdict.MayHaveRun}, {Kind: upstream.WrongServer, Verdict: verdict.MayHaveRun}, {Kind: upstream.Reset, Verdict: verdict.MayHaveRun},
	unsentUnreachable, unsentReset}

// advance ends a random attempt or lets time pass.
func (h *history) advance(t *rapid.T, core *Core, batch Batch, now time.Duration) (Batch, time.Duration) {
	if len(h.open) > 0 && rapid.IntRange(0, 2).Draw(t, "reply now") > 0 {
		id := rapid.SampledFrom(h.open).Draw(t, "attempt")
		reply := rapid.SampledFrom(replies).Draw(t, "reply")
		now += time.Duration(rapid.IntRange(0, 30).Draw(t, "after")) * ms
		h.finish(id)
		h.ended[id] = reply
		return core.Reply(id, reply, now), now
	}
	now = max(now, batch.Wake)
	return core.Tick(now), now
}

// check verifies the invariants once the request has its outcome.
func (h *history) check(t *rapid.T, plan Plan, servers *fakeServers, now time.Duration) {
	outcome := h.outcomes[0]
	extra := 0
	for shard, count := range h.sends {
		arrivals := h.arrivals(shard)
		extra += max(arrivals-1, 0)
		if servers := h.servers(shard); servers > plan.MaximumAttempts {
			t.Fatalf("shard %d was sent to %d servers, more than allowed", shard, servers)
		}
		if ran := arrivals - h.refused(shard); ran > plan.MaximumAttempts {
			t.Fatalf("shard %d may have run %d times", shard, ran)
		}
		if count > plan.MaximumAttempts+maxUnsent+maxRefused+1 {
			t.Fatalf("%d attempts for shard %d", count, shard)
		}
	}
	if extra > servers.extra {
		t.Fatalf("%d extra sends, %d charged to the budget", extra, servers.extra)
	}
	h.checkRefusal(t, outcome)
	if plan.Gather && outcome.Status == StatusAnswered && len(outcome.Replies) < plan.LeastShards {
		t.Fatalf("answered with %d shards, want at least %d", len(outcome.Replies), plan.LeastShards)
	}
	if plan.Gather && outcome.Status == StatusAnswered && outcome.Missing+len(outcome.Replies) != len(plan.Services) {
		t.Fatalf("%d missing and %d received of %d shards", outcome.Missing, len(outcome.Replies), len(plan.Services))
	}
	if !plan.Repeatable {
		h.checkOnce(t)
	}
	if now > plan.Deadline+time.Second {
		t.Fatalf("outcome at %v", now)
	}
}

// arrivals returns the number of attempts for a shard that reached a server or may have.
func (h *history) arrivals(shard int) int {
	count := 0
	for id := range h.started {
		if id.Shard == shard && !h.ended[id].Unsent {
			count++
		}
	}
	return count
}

// servers returns the number of servers that a shard's attempts reached or may have.
func (h *history) servers(shard int) int {
	reached := make(map[*endpoints.Endpoint]bool)
	for id := range h.started {
		if id.Shard == shard && !h.ended[id].Unsent {
			reached[h.chosen[id]] = true
		}
	}
	return len(reached)
}

// refused returns the number of attempts for a shard that were refused by their servers.
func (h *history) refused(shard int) int {
	count := 0
	for id := range h.started {
		if id.Shard == shard && h.ended[id].Kind == upstream.Refused {
			count++
		}
	}
	return count
}

// checkRefusal verifies that a request is refused only if no attempt can have run.
func (h *history) checkRefusal(t *rapid.T, outcome *Outcome) {
	if outcome.Status != StatusRefused {
		return
	}
	for id := range h.started {
		if reply, ended := h.ended[id]; !ended || reply.Verdict != verdict.NotRun {
			t.Fatalf("refused although attempt %v may have run", id)
		}
	}
}

// checkOnce verifies that at most one attempt of an unrepeatable request may have run.
func (h *history) checkOnce(t *rapid.T) {
	mayHaveRun := 0
	for id := range h.started {
		if reply, ended := h.ended[id]; !ended || reply.Verdict != verdict.NotRun {
			mayHaveRun++
		}
	}
	if mayHaveRun > 1 {
		t.Fatalf("%d attempts may have run", mayHaveRun)
	}
}
