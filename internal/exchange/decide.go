package exchange

import (
	"time"

	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// decide returns the outcome once there is nothing left to wait for.
func (c *Core) decide(now time.Duration) *Outcome {
	answered, lost := c.answered(), c.lost()
	total := len(c.shards)
	switch {
	case c.stopped() && c.inFlight() == 0:
		return c.fail(CauseServersCrashed)
	case answered+lost == total && answered >= c.plan.LeastShards:
		return c.answer(CauseComplete)
	case total-lost < c.plan.LeastShards:
		return c.fail(CauseShardsLost)
	case answered >= c.plan.LeastShards && now >= c.plan.Target:
		return c.answer(CauseTarget)
	case now >= c.plan.Deadline && answered >= c.plan.LeastShards:
		return c.answer(CauseDeadline)
	case now >= c.plan.Deadline:
		return c.fail(CauseDeadline)
	}
	return nil
}

func (c *Core) answered() int {
	count := 0
	for index := range c.shards {
		if c.shards[index].answer != nil {
			count++
		}
	}
	return count
}

func (c *Core) lost() int {
	count := 0
	for index := range c.shards {
		if c.shards[index].lost {
			count++
		}
	}
	return count
}

func (c *Core) answer(cause Cause) *Outcome {
	outcome := &Outcome{Status: StatusAnswered, Cause: cause, Replies: make([]upstream.Reply, 0, len(c.shards))}
	for index := range c.shards {
		if reply := c.shards[index].answer; reply != nil {
			outcome.Replies = append(outcome.Replies, *reply)
		}
	}
	outcome.Missing = len(c.shards) - len(outcome.Replies)
	return outcome
}

// fail ends the request without a success. For a request for one server, the server's
// own failure is forwarded. The status is a refusal only if no attempt can have run.
func (c *Core) fail(cause Cause) *Outcome {
	if fallback := c.shards[0].fallback; !c.plan.Gather && fallback != nil {
		return &Outcome{Status: StatusAnswered, Cause: CauseServerFailed, Replies: []upstream.Reply{*fallback}}
	}
	status := StatusFailed
	switch {
	case c.verdict() == verdict.NotRun:
		status = StatusRefused
	case cause == CauseDeadline:
		status = StatusExpired
	}
	switch {
	case c.Sends() == 0:
		cause = CauseNoServers
	case cause == CauseShardsLost && c.memoryExhausted:
		cause = CauseNoMemory
	case cause == CauseShardsLost && c.budgetExhausted:
		cause = CauseNoBudget
	}
	return &Outcome{Status: status, Cause: cause, Missing: len(c.shards)}
}

func (c *Core) verdict() verdict.Verdict {
	joined := verdict.NotRun
	for index := range c.shards {
		joined = joined.With(c.shards[index].verdict())
	}
	return joined
}

// Sends returns the number of attempts made.
func (c *Core) Sends() int {
	count := 0
	for index := range c.shards {
		count += len(c.shards[index].attempts)
	}
	return count
}
