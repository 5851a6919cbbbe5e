package query

import (
	"maps"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	// minRetryAfter is the shortest retry delay returned to a caller.
	minRetryAfter = 20 * time.Millisecond
	// retryJitter is the largest random fraction added to the retry delay, so that
	// refused callers do not retry at the same time.
	retryJitter = 1.0
)

// finish ends a step: it answers if the query is finished, and returns the actions.
func (query *Query) finish(now time.Time) Actions {
	if !query.done {
		query.restartIfBetter(now)
		query.answerIfFinished(now)
	}
	actions := query.actions
	query.actions = Actions{}
	return actions
}

func (query *Query) answerIfFinished(now time.Time) {
	total := len(query.shards)
	deadlinePassed := !now.Before(query.parameters.Deadline)
	allDone := query.covered+query.failed == total
	targetReached := query.covered >= query.target() && !now.Before(query.parameters.AnswerAfter)
	minimumUnreachable := total-query.failed < query.minimum()
	if deadlinePassed || allDone || targetReached || minimumUnreachable {
		query.answer(now)
	}
}

// answer ends the query. Pending attempts are cancelled and count as attempts
// that may have run.
func (query *Query) answer(now time.Time) {
	query.done = true
	query.dropUnsent()
	query.cancelAll(now)
	answer := &Answer{Snapshot: query.pin.Version(), Verdict: query.verdict, Shards: len(query.shards)}
	for position := range query.shards {
		shard := &query.shards[position]
		id := query.shardMap.Shards[position].ID
		if shard.status == shardCovered {
			answer.Parts = append(answer.Parts, Part{Shard: id, Body: shard.body})
			continue
		}
		answer.Missing = append(answer.Missing, Missing{Shard: id, Reason: query.missingReason(shard)})
	}
	if query.covered < query.minimum() {
		answer.Failure = query.failure()
	}
	query.actions.Answer = answer
}

// dropUnsent discards the sends of this step. They were not sent, so they do not
// affect the verdict.
func (query *Query) dropUnsent() {
	for index := range query.actions.Sends {
		id := query.actions.Sends[index].Attempt
		query.removeAttempt(id, query.attempts[id])
	}
	query.actions.Sends = nil
}

// cancelAll cancels every pending attempt, in the order in which they were sent.
func (query *Query) cancelAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(query.attempts)) {
		query.cancelAttempt(now, id)
	}
}

// Abort ends the query at once because the caller has disconnected.
func (query *Query) Abort(now time.Time) Actions {
	if query.done {
		return Actions{}
	}
	query.answer(now)
	return query.finish(now)
}

func (query *Query) missingReason(shard *shardState) verdict.Code {
	if shard.status == shardFailed && shard.reason != "" {
		return shard.reason
	}
	return verdict.CodeDeadline
}

// failure returns the error of an answer below the minimum coverage: the most
// frequent reason among the failed shards, or the deadline if none failed.
func (query *Query) failure() *verdict.Error {
	counts := make(map[verdict.Code]int)
	code := verdict.CodeDeadline
	for position := range query.shards {
		shard := &query.shards[position]
		if shard.status != shardFailed {
			continue
		}
		counts[shard.reason]++
		if counts[shard.reason] > counts[code] {
			code = shard.reason
		}
	}
	failure := verdict.New(query.verdict, code, "covered %d of %d shards, want %d", query.covered, len(query.shards), query.minimum())
	wait := float64(max(query.retryAfter, minRetryAfter))
	failure.RetryAfter = time.Duration(wait * (1 + retryJitter*query.parameters.Random.Float64()))
	return failure
}

// restartIfBetter restarts the query at another version, at most once, if shards
// failed because the pinned version is not held, the answer would therefore miss
// its target coverage, and more shards hold the other version.
func (query *Query) restartIfBetter(now time.Time) {
	if query.failed == 0 {
		return
	}
	notHeld := 0
	for position := range query.shards {
		shard := &query.shards[position]
		if shard.status == shardFailed && shard.reason == verdict.CodeVersionNotHeld {
			notHeld++
		}
	}
	if notHeld == 0 || len(query.shards)-query.failed >= query.target() {
		return
	}
	choice := query.fleet.Snapshot()
	if choice.Shards <= len(query.shards)-notHeld {
		return
	}
	notRun := query.verdict == verdict.NotRun && len(query.attempts) == len(query.actions.Sends)
	if !query.pin.Restart(choice.Version, query.parameters.Repeatable || notRun) {
		return
	}
	query.restart(now)
}

// restart discards all parts, since an answer is of one version only.
func (query *Query) restart(now time.Time) {
	query.dropUnsent()
	query.cancelAll(now)
	positions := make([]int, len(query.shards))
	for position := range query.shards {
		query.shards[position] = shardState{}
		positions[position] = position
	}
	query.covered, query.failed, query.scheduledRetries = 0, 0, 0
	query.deferred = nil
	query.hedgeAt = time.Time{}
	query.send(now, positions, purposeRestart)
}
