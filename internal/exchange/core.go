package exchange

import (
	"time"

	"github.com/driftstage/driftstage/internal/crashguard"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	// pollInterval is the interval at which a shard checks again for a server or for
	// retry budget.
	pollInterval = 20 * time.Millisecond
	// reachCheckInterval is the interval at which a shard that waits for its last attempts
	// checks whether their servers are still reachable.
	reachCheckInterval = 100 * time.Millisecond
	// maxUnsent bounds the attempts of a shard for which no connection was established.
	maxUnsent = 8
	// maxRefused bounds the refused attempts of a shard: if servers refuse 60% of
	// all attempts, 99% of the shards have an answer by then.
	maxRefused = 8
	// earlyRefusalShare is the share of the target after which a request that no server
	// accepts is refused: the earlier a caller is refused, the more likely its retry
	// meets the target.
	earlyRefusalShare = 0.2
)

// Core is the state of one request. It is not safe for concurrent use.
type Core struct {
	plan    Plan
	servers Servers
	shards  []shard
	done    bool
	// admitted is set once the first attempts may be sent.
	admitted bool
	// releaseAt is when a request that was held for servers is released; zero while it
	// is held or if it was not.
	releaseAt time.Duration
	// wasHeld is set if the request was held for servers.
	wasHeld bool
	// yieldCheckAt is when a late request next checks whether it may start; zero before
	// its first check.
	yieldCheckAt time.Duration
	// guard stops a request that may crash the servers that run it.
	guard crashguard.Guard
	// budgetExhausted is set once a shard is lost for lack of retry budget.
	budgetExhausted bool
	// memoryExhausted is set once a shard is lost because its answer does not fit into memory.
	memoryExhausted bool
}

// New returns the core of a request that has just arrived.
func New(plan Plan, servers Servers) *Core {
	core := &Core{plan: plan, servers: servers, shards: make([]shard, len(plan.Services))}
	for index, service := range plan.Services {
		core.shards[index] = newShard(service)
	}
	return core
}

// Start sends the first attempts, or refuses or holds the request (see admit).
func (c *Core) Start(now time.Duration) Batch {
	return c.step(now)
}

// maxShortenedShare is the largest share of the target that ShortenTarget subtracts.
const maxShortenedShare = 0.1

// ShortenTarget moves the target to an earlier time by what this node needs to return the answer,
// as far as that became known only after the start.
func (c *Core) ShortenTarget(needed time.Duration) {
	c.plan.Target -= min(needed, time.Duration(maxShortenedShare*float64(c.plan.Target)))
}

// Tick handles the passing of time.
func (c *Core) Tick(now time.Duration) Batch {
	return c.step(now)
}

// Reply handles the end of an attempt.
func (c *Core) Reply(id AttemptID, reply upstream.Reply, now time.Duration) Batch {
	shard := &c.shards[id.Shard]
	attempt := &shard.attempts[id.Number]
	attempt.finished = true
	if reply.Unsent {
		attempt.unsent = true
		c.noteUnsent(shard)
	}
	c.updateGuard(attempt, reply, now)
	if c.done || shard.answer != nil {
		return c.step(now)
	}
	c.applyReply(shard, attempt, reply, now)
	shard.nextCheckAt = now
	return c.step(now)
}

// noteUnsent counts an attempt that reached no server and refunds its charge: only
// attempts that reach a server after the shard's first one are extra.
func (c *Core) noteUnsent(shard *shard) {
	shard.unsent++
	if shard.charged > max(shard.arrivals()-1, 0) {
		shard.charged--
		c.servers.RefundRetry(shard.service)
	}
}

// applyReply applies a reply to its shard.
func (c *Core) applyReply(shard *shard, attempt *attempt, reply upstream.Reply, now time.Duration) {
	shard.endedVerdict = shard.endedVerdict.With(reply.Verdict)
	switch {
	case reply.Success():
		shard.answer = &reply
	case reply.Kind == upstream.Reset && reply.Unsent:
		// The server has no free connection now, but may have one soon.
		attempt.allowRetry(now)
	case reply.Kind == upstream.Refused:
		attempt.refused = true
		attempt.allowRetry(now + refusalBackoff(attempt, reply))
	case reply.Kind == upstream.NoMemory:
		// The answer of another server would not fit either.
		shard.lost, c.memoryExhausted = true, true
	case reply.Kind != upstream.Answered:
	case c.isFinal(&reply):
		shard.answer = &reply
	default:
		shard.fallback = &reply
	}
}

// refusalBackoff returns how long a server that refused is not asked again: the time it
// specified, or else the expected duration of a request, after which a slot should be free.
func refusalBackoff(attempt *attempt, reply upstream.Reply) time.Duration {
	if reply.RetryAfter > 0 {
		return reply.RetryAfter
	}
	return attempt.choice.Expected
}

// isFinal reports whether a server's failure is the answer to the request: a client
// error, or a failure of a request that must not be repeated.
func (c *Core) isFinal(reply *upstream.Reply) bool {
	if c.plan.Gather {
		return false
	}
	return reply.Status < 500 || !c.plan.Repeatable
}

// step advances all shards and returns the resulting actions.
func (c *Core) step(now time.Duration) Batch {
	batch := Batch{}
	if c.done {
		return batch
	}
	if !c.admitted && !c.admit(now, &batch) {
		return batch
	}
	if c.Sends() == 0 {
		batch.Sends = make([]Send, 0, len(c.shards))
	}
	for index := range c.shards {
		if !c.stopped() {
			c.stepShard(index, now, &batch)
		}
	}
	if outcome := c.decide(now); outcome != nil {
		c.done = true
		batch.Outcome = outcome
		return batch
	}
	batch.Wake = c.wake()
	return batch
}

// stepShard makes the next attempt of a shard, or schedules its next check.
func (c *Core) stepShard(index int, now time.Duration, batch *Batch) {
	shard := &c.shards[index]
	if shard.resolved() {
		c.cancelRest(index, batch)
		return
	}
	if now < shard.nextCheckAt {
		return
	}
	switch inFlight := shard.inFlight(); {
	case c.sequential() && (c.inFlight() > 0 || c.waitsForSuspectedServices(shard)):
		shard.nextCheckAt = now + pollInterval
	case len(shard.attempts) == 0:
		c.send(index, ReasonFirst, now, batch)
	case inFlight == 0 && !c.mayRetry(shard, now):
		shard.lost = true
	case inFlight == 0:
		c.send(index, ReasonRetry, now, batch)
	case c.mayHedge(shard, now) && shard.late(now) && !c.hedgeDue(shard, now):
		shard.nextCheckAt = min(c.hedgeDeadline(shard), now+pollInterval)
	case c.mayHedge(shard, now) && shard.late(now):
		c.send(index, ReasonHedge, now, batch)
	case shard.late(now) && c.unreachable(shard):
		shard.lost = true
	default:
		shard.nextCheckAt = c.nextCheck(shard, now)
	}
}

// mayRetry reports whether another attempt is allowed after all others have ended.
func (c *Core) mayRetry(shard *shard, now time.Duration) bool {
	if !c.mayAttempt(shard, now) {
		return false
	}
	return c.plan.Repeatable || shard.endedVerdict == verdict.NotRun
}

// mayAttempt reports whether the shard has attempts left. Up to maxUnsent attempts
// that reached no server do not count. Neither do up to maxRefused refused ones
// before the target: a caller that is refused by then can still retry.
func (c *Core) mayAttempt(shard *shard, now time.Duration) bool {
	if shard.unsent > maxUnsent {
		return false
	}
	refusals := shard.refusals()
	if refusals == 0 || now >= c.plan.Target || refusals > maxRefused {
		return shard.arrivals() < c.plan.MaximumAttempts
	}
	return shard.arrivals()-refusals < c.plan.MaximumAttempts
}

// mayHedge reports whether another attempt is allowed in addition to those in flight.
func (c *Core) mayHedge(shard *shard, now time.Duration) bool {
	return c.plan.Repeatable && c.mayAttempt(shard, now)
}

const (
	// The open shards of a gather count as stragglers if they are at most
	// maxStragglerShare of its shards, or at most maxStragglerCount.
	maxStragglerShare = 0.25
	maxStragglerCount = 8
)

// hedgeDue reports whether a late shard is hedged now: if it is a straggler, or at the
// latest time at which a hedge can still meet the target. While most shards are open, they
// are all late because this node or its link is busy; hedging all of them would double the
// load of an overloaded node.
func (c *Core) hedgeDue(shard *shard, now time.Duration) bool {
	open := len(c.shards) - c.answered() - c.lost()
	limit := max(int(maxStragglerShare*float64(len(c.shards))), maxStragglerCount)
	return open <= limit || now >= c.hedgeDeadline(shard)
}

// hedgeDeadline returns the latest time at which a hedge can still meet the target.
func (c *Core) hedgeDeadline(shard *shard) time.Duration {
	newest := shard.attempts[len(shard.attempts)-1]
	return c.plan.Target - newest.choice.Expected
}

// nextCheck returns when a shard with attempts in flight has to be checked again.
func (c *Core) nextCheck(shard *shard, now time.Duration) time.Duration {
	if c.mayHedge(shard, now) {
		return max(shard.lateAt(), now)
	}
	if c.plan.Gather {
		return max(shard.lateAt(), now+reachCheckInterval)
	}
	return c.plan.Deadline
}

// unreachable reports whether all servers that a shard of a gather waits for are
// unreachable, so that there is no point in waiting. A request for one server keeps
// waiting: its server may be running it.
func (c *Core) unreachable(shard *shard) bool {
	if !c.plan.Gather {
		return false
	}
	unreachable := true
	for index := range shard.attempts {
		attempt := &shard.attempts[index]
		// The loop does not stop at the first reachable server: each call of ZoneUnreachable
		// also records a server that is unresponsive for the reachability of its zone.
		if !attempt.finished && !c.servers.ZoneUnreachable(attempt.choice.Endpoint) {
			unreachable = false
		}
	}
	return unreachable
}

// send makes an attempt for a shard, or defers it if no server or budget is available.
func (c *Core) send(index int, reason Reason, now time.Duration, batch *Batch) {
	shard := &c.shards[index]
	extra := shard.arrivals() > 0
	choice, availability := c.servers.Choose(shard.service, shard.excluded(now), c.allowedServers(shard), extra)
	if at, retryable := shard.nextRetryAt(); availability == endpoints.NoServer && retryable && at > now && at < c.plan.Target {
		shard.nextCheckAt = at
		return
	}
	if availability != endpoints.Chosen {
		c.deferSend(shard, availability, now)
		return
	}
	if extra {
		shard.charged++
	}
	shard.attempts = append(shard.attempts, attempt{choice: choice, sentAt: now, sequential: c.sequential()})
	shard.nextCheckAt = c.nextCheck(shard, now)
	id := AttemptID{Shard: index, Number: len(shard.attempts) - 1}
	batch.Sends = append(batch.Sends, Send{ID: id, Reason: reason, Choice: choice})
}

// allowedServers returns the servers that the shard has reached, once these are as many as
// it may ask; nil while it may ask others.
func (c *Core) allowedServers(shard *shard) []*endpoints.Endpoint {
	reached := shard.reachedServers()
	if len(reached) < c.plan.MaximumAttempts {
		return nil
	}
	return reached
}

// deferSend defers a send for which there is no server or no budget. A shard is lost once it
// has waited long enough and has no attempt in flight, or only ones to unreachable servers.
func (c *Core) deferSend(shard *shard, availability endpoints.Availability, now time.Duration) {
	waiting := shard.inFlight() > 0 && !(availability == endpoints.NoServer && c.unreachable(shard))
	if !waiting && now >= c.waitUntil(shard, availability) {
		shard.lost = true
		c.budgetExhausted = c.budgetExhausted || availability == endpoints.NoBudget
		return
	}
	shard.nextCheckAt = now + pollInterval
}

// waitUntil returns until when a shard waits for a server to accept its request:
//
//   - Busy servers will have free slots: until the deadline.
//   - If all servers of the service have been tried, or a complete list has none, there
//     is nothing to wait for.
//   - If all servers are cold, this node may have to wait seconds for its next send to
//     them: a request for one server is refused at once.
//   - Without retry budget, or with cold servers only, a shard's reply is useful until
//     the target, when the answer is given without it. A request for one server is
//     answered early, because its caller can retry, which is not an extra send.
//   - While the list may be incomplete, a shard waits until the target, a request for
//     one server for as long as a request may be held.
func (c *Core) waitUntil(shard *shard, availability endpoints.Availability) time.Duration {
	switch {
	case availability == endpoints.Busy:
		return c.plan.Deadline
	case availability == endpoints.NoServer && (len(shard.attempts) > 0 || !c.servers.ListIncomplete()):
		return 0
	case availability == endpoints.Cold && !c.plan.Gather:
		return 0
	case (availability == endpoints.NoBudget || availability == endpoints.Cold) && c.plan.Gather:
		return c.plan.Target
	case c.servers.ListIncomplete() && c.plan.Gather:
		return c.plan.Target
	case c.servers.ListIncomplete():
		return c.plan.HoldUntil
	}
	return time.Duration(earlyRefusalShare * float64(c.plan.Target))
}

// cancelRest cancels the attempts of a shard that has its answer.
func (c *Core) cancelRest(index int, batch *Batch) {
	shard := &c.shards[index]
	for number := range shard.attempts {
		if !shard.attempts[number].finished {
			shard.attempts[number].finished = true
			batch.Cancels = append(batch.Cancels, AttemptID{Shard: index, Number: number})
		}
	}
}

// wake returns the latest time at which the core has to be called again.
func (c *Core) wake() time.Duration {
	wake := c.plan.Deadline
	if c.plan.Gather && c.answered() >= c.plan.LeastShards {
		wake = min(wake, c.plan.Target)
	}
	for index := range c.shards {
		if shard := &c.shards[index]; !shard.resolved() {
			wake = min(wake, shard.nextCheckAt)
		}
	}
	return wake
}
