package exchange

import (
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	// retryPause is how long a shard waits for a server or for retry budget
	// before it looks again.
	retryPause = 20 * time.Millisecond
	// refusalShare is the part of the target within which a request that no
	// server takes is refused: a caller that is told early can come back in time.
	refusalShare = 0.2
)

// Core is the state of one request. It is not safe for concurrent use.
type Core struct {
	plan    Plan
	servers Servers
	shards  []shard
	done    bool
	// withoutBudget is set once a shard is lost for want of retry budget.
	withoutBudget bool
}

// New returns the core of a request that has just arrived.
func New(plan Plan, servers Servers) *Core {
	core := &Core{plan: plan, servers: servers, shards: make([]shard, len(plan.Services))}
	for index, service := range plan.Services {
		core.shards[index] = newShard(service)
	}
	return core
}

// Start sends the first attempts, or refuses a request that is not expected to
// be answered before its target: what is left out shortens the queues for the
// others, and a caller that is told at once can come back in time.
func (core *Core) Start(now time.Duration) Batch {
	if !core.plan.Returning && core.feasibleShards() < core.plan.LeastShards {
		core.done = true
		return Batch{Outcome: &Outcome{Status: StatusRefused, Cause: CauseOverloaded, Missing: len(core.shards)}}
	}
	return core.step(now)
}

func (core *Core) feasibleShards() int {
	count := 0
	for _, service := range core.plan.Services {
		if core.servers.Feasible(service) {
			count++
		}
	}
	return count
}

// Tick takes the passing of time into account.
func (core *Core) Tick(now time.Duration) Batch {
	return core.step(now)
}

// Reply takes the end of an attempt into account.
func (core *Core) Reply(id AttemptID, reply upstream.Reply, now time.Duration) Batch {
	shard := &core.shards[id.Shard]
	shard.attempts[id.Number].finished = true
	if core.done || shard.answer != nil {
		return core.step(now)
	}
	core.judge(shard, reply)
	shard.nextAt = now
	return core.step(now)
}

// judge records what a reply means for its shard.
func (core *Core) judge(shard *shard, reply upstream.Reply) {
	shard.ran = shard.ran.With(reply.Verdict)
	switch {
	case reply.Success():
		shard.answer = &reply
	case reply.Kind != upstream.Answered:
	case core.final(&reply):
		shard.answer = &reply
	default:
		shard.fallback = &reply
	}
}

// final reports whether a server's failure is the answer to the request: the
// caller's own fault, or one that must not be repeated.
func (core *Core) final(reply *upstream.Reply) bool {
	if core.plan.Gather {
		return false
	}
	return reply.Status < 500 || !core.plan.Repeatable
}

func (core *Core) step(now time.Duration) Batch {
	batch := Batch{}
	if core.done {
		return batch
	}
	for index := range core.shards {
		core.stepShard(index, now, &batch)
	}
	if outcome := core.decide(now); outcome != nil {
		core.done = true
		batch.Outcome = outcome
		return batch
	}
	batch.Wake = core.wake()
	return batch
}

func (core *Core) stepShard(index int, now time.Duration, batch *Batch) {
	shard := &core.shards[index]
	if shard.resolved() {
		core.cancelRest(index, batch)
		return
	}
	if now < shard.nextAt {
		return
	}
	switch underWay := shard.underWay(); {
	case len(shard.attempts) == 0:
		core.send(index, ReasonFirst, now, batch)
	case underWay == 0 && !core.mayRetry(shard):
		shard.lost = true
	case underWay == 0:
		core.send(index, ReasonRetry, now, batch)
	case core.mayHedge(shard) && shard.late(now):
		core.send(index, ReasonHedge, now, batch)
	default:
		shard.nextAt = core.nextLook(shard, now)
	}
}

// mayRetry reports whether another attempt is allowed after all have ended.
func (core *Core) mayRetry(shard *shard) bool {
	if len(shard.attempts) >= core.plan.MaximumAttempts {
		return false
	}
	return core.plan.Repeatable || shard.ran == verdict.NotRun
}

// mayHedge reports whether another attempt is allowed beside those under way.
func (core *Core) mayHedge(shard *shard) bool {
	return core.plan.Repeatable && len(shard.attempts) < core.plan.MaximumAttempts
}

func (core *Core) nextLook(shard *shard, now time.Duration) time.Duration {
	if core.mayHedge(shard) {
		return max(shard.lateAt(), now)
	}
	return core.plan.Deadline
}

func (core *Core) send(index int, reason Reason, now time.Duration, batch *Batch) {
	shard := &core.shards[index]
	choice, availability := core.servers.Choose(shard.service, shard.tried, reason != ReasonFirst)
	if availability != endpoints.Chosen {
		core.wait(shard, availability, now)
		return
	}
	shard.attempts = append(shard.attempts, attempt{choice: choice, sentAt: now})
	shard.tried = append(shard.tried, choice.Endpoint)
	shard.nextAt = core.nextLook(shard, now)
	id := AttemptID{Shard: index, Number: len(shard.attempts) - 1}
	batch.Sends = append(batch.Sends, Send{ID: id, Reason: reason, Choice: choice})
}

// wait puts off a send for which there is no server or no budget. A shard with
// nothing under way that has waited in vain for long enough is lost.
func (core *Core) wait(shard *shard, availability endpoints.Availability, now time.Duration) {
	if shard.underWay() == 0 && now >= core.patience(shard, availability) {
		shard.lost = true
		core.withoutBudget = core.withoutBudget || availability == endpoints.NoBudget
		return
	}
	shard.nextAt = now + retryPause
}

// patience returns until when a shard waits for a server to take its request. Busy
// servers will have room. A service whose servers have all been tried has nothing
// to wait for. Without retry budget a shard's part is of use until the target, when
// the answer is given without it; a whole request is answered early, because its
// caller can ask again, which is no extra send.
func (core *Core) patience(shard *shard, availability endpoints.Availability) time.Duration {
	switch {
	case availability == endpoints.Busy:
		return core.plan.Deadline
	case availability == endpoints.NoServer && len(shard.attempts) > 0:
		return 0
	case availability == endpoints.NoBudget && core.plan.Gather:
		return core.plan.Target
	}
	return time.Duration(refusalShare * float64(core.plan.Target))
}

// cancelRest cancels the attempts of a shard that has its answer.
func (core *Core) cancelRest(index int, batch *Batch) {
	shard := &core.shards[index]
	for number := range shard.attempts {
		if !shard.attempts[number].finished {
			shard.attempts[number].finished = true
			batch.Cancels = append(batch.Cancels, AttemptID{Shard: index, Number: number})
		}
	}
}

// wake returns when the core has to be called at the latest.
func (core *Core) wake() time.Duration {
	wake := core.plan.Deadline
	if core.plan.Gather && core.answered() >= core.plan.LeastShards {
		wake = min(wake, core.plan.Target)
	}
	for index := range core.shards {
		if shard := &core.shards[index]; !shard.resolved() {
			wake = min(wake, shard.nextAt)
		}
	}
	return wake
}
