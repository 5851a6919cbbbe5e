package exchange

import (
	"time"

	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// decide returns the outcome once there is nothing worth waiting for.
func (core *Core) decide(now time.Duration) *Outcome {
	answered, lost := core.answered(), core.lost()
	total := len(core.shards)
	switch {
	case answered+lost == total && answered >= core.plan.LeastShards:
		return core.answer(CauseComplete)
	case total-lost < core.plan.LeastShards:
		return core.fail(CauseShardsLost)
	case answered >= core.plan.LeastShards && now >= core.plan.Target:
		return core.answer(CauseTarget)
	case now >= core.plan.Deadline && answered >= core.plan.LeastShards:
		return core.answer(CauseDeadline)
	case now >= core.plan.Deadline:
		return core.fail(CauseDeadline)
	}
	return nil
}

func (core *Core) answered() int {
	count := 0
	for index := range core.shards {
		if core.shards[index].answer != nil {
			count++
		}
	}
	return count
}

func (core *Core) lost() int {
	count := 0
	for index := range core.shards {
		if core.shards[index].lost {
			count++
		}
	}
	return count
}

func (core *Core) answer(cause Cause) *Outcome {
	outcome := &Outcome{Status: StatusAnswered, Cause: cause, Replies: make([]upstream.Reply, 0, len(core.shards))}
	for index := range core.shards {
		if reply := core.shards[index].answer; reply != nil {
			outcome.Replies = append(outcome.Replies, *reply)
		}
	}
	outcome.Missing = len(core.shards) - len(outcome.Replies)
	return outcome
}

// fail ends the request without a success. A server's own failure is handed on
// where the request was for one server; a refusal is promised only if nothing
// can have run.
func (core *Core) fail(cause Cause) *Outcome {
	if fallback := core.shards[0].fallback; !core.plan.Gather && fallback != nil {
		return &Outcome{Status: StatusAnswered, Cause: CauseServerFailed, Replies: []upstream.Reply{*fallback}}
	}
	status := StatusFailed
	switch {
	case core.verdict() == verdict.NotRun:
		status = StatusRefused
	case cause == CauseDeadline:
		status = StatusExpired
	}
	switch {
	case core.Sends() == 0:
		cause = CauseNoServers
	case cause == CauseShardsLost && core.withoutBudget:
		cause = CauseNoBudget
	}
	return &Outcome{Status: status, Cause: cause, Missing: len(core.shards)}
}

func (core *Core) verdict() verdict.Verdict {
	joined := verdict.NotRun
	for index := range core.shards {
		joined = joined.With(core.shards[index].verdict())
	}
	return joined
}

// Sends returns how many attempts have been made.
func (core *Core) Sends() int {
	count := 0
	for index := range core.shards {
		count += len(core.shards[index].attempts)
	}
	return count
}
