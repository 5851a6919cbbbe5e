package exchange

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// updateGuard updates the guard with the end of an attempt. An attempt that has not run, that ran into
// its deadline, or whose answer did not fit into memory does not count as a loss.
func (c *Core) updateGuard(attempt *attempt, reply upstream.Reply, now time.Duration) {
	switch {
	case reply.Kind == upstream.Answered:
		c.noteAnswer(now)
	case reply.Unsent || reply.Verdict == verdict.NotRun || reply.Kind == upstream.Expired || reply.Kind == upstream.NoMemory:
	default:
		c.guard.RecordLoss(attempt.sequential)
	}
}

// noteAnswer records that a server answered. If the attempts were sequential until then, all
// shards are checked now.
func (c *Core) noteAnswer(now time.Duration) {
	wasSequential := c.sequential()
	c.guard.RecordAnswer()
	if !wasSequential {
		return
	}
	for index := range c.shards {
		c.shards[index].nextCheckAt = now
	}
}

// sequential reports whether only one attempt of the request may be in flight.
func (c *Core) sequential() bool {
	return c.guard.Sequential() || c.plan.Trial && !c.guard.Answered()
}

// waitsForSuspectedServices reports whether a shard of a trial waits for the shards of
// suspected services, of which one is still open.
func (c *Core) waitsForSuspectedServices(shard *shard) bool {
	if !c.plan.Trial || slices.Contains(c.plan.SuspectedServices, shard.service) {
		return false
	}
	for index := range c.shards {
		if other := &c.shards[index]; !other.resolved() && slices.Contains(c.plan.SuspectedServices, other.service) {
			return true
		}
	}
	return false
}

// stopped reports whether no more attempts are made: a sequential attempt was lost.
func (c *Core) stopped() bool { return c.guard.Stopped() }

// inFlight returns the number of attempts that have not ended.
func (c *Core) inFlight() int {
	count := 0
	for index := range c.shards {
		count += c.shards[index].inFlight()
	}
	return count
}
