package query

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/verdict"
)

// sequentialThreshold is the number of lost attempts after which a query tries one server at a time.
const sequentialThreshold = 3

// runUntilAnswered ends every attempt with the result of reply and returns the answer and the number of sends.
func runUntilAnswered(t *testing.T, query *Query, reply func(send Send, number int) Reply) (*Answer, int) {
	t.Helper()
	now, sends := start, 0
	actions := query.Start(now)
	for unanswered := actions.Sends; actions.Answer == nil; {
		if len(unanswered) == 0 {
			now = query.NextTick()
			actions = query.Tick(now)
		} else {
			send := unanswered[0]
			unanswered = unanswered[1:]
			sends++
			actions = query.HandleReply(now, reply(send, sends))
		}
		unanswered = append(unanswered, actions.Sends...)
	}
	return actions.Answer, sends
}

func lostReply(send Send) Reply {
	return Reply{Attempt: send.Attempt, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeLost, "lost")}
}

func completeReply(send Send) Reply {
	reply := Reply{Attempt: send.Attempt, Snapshot: 41}
	for _, shard := range send.Shards {
		reply.Parts = append(reply.Parts, Part{Shard: shard, Body: bodyOf(shard, 41)})
	}
	return reply
}

// Guards against a query that crashes one server after another because each lost attempt is resent to
// the next replica of its shard.
func TestLimitsServersCrashedByOneQuery(t *testing.T) {
	for _, shards := range []int{1, 2, 3, 10, 90} {
		t.Run(fmt.Sprint(shards, " shards"), func(t *testing.T) {
			is := is.New(t)
			query, fleet := pairs(shards, true)
			fleet.retries.tokens = float64(10 * shards)
			answer, sends := runUntilAnswered(t, query, func(send Send, _ int) Reply { return lostReply(send) })
			is.True(sends <= shards+sequentialThreshold) // two are resent before the third loss, one sequentially
			is.Equal(answer.Verdict, verdict.MayHaveRun)
			is.Equal(answer.Failure.Code, verdict.CodeLost)
			is.Equal(len(answer.Missing), shards)
		})
	}
}

// The loss of a machine with several servers loses no shard that has another replica.
func TestCompleteAnswerAfterMachineLoss(t *testing.T) {
	for _, lost := range []int{1, sequentialThreshold, 5, 9} {
		t.Run(fmt.Sprint(lost, " servers"), func(t *testing.T) {
			is := is.New(t)
			query, fleet := pairs(10, true)
			fleet.retries.tokens = 100
			answer, sends := runUntilAnswered(t, query, func(send Send, number int) Reply {
				if number <= lost {
					return lostReply(send)
				}
				return completeReply(send)
			})
			is.Equal(answer.Failure, nil)
			is.Equal(len(answer.Parts), 10)
			is.Equal(sends, 10+lost)
		})
	}
}

// All servers of the first attempts are lost at once: the next reply shows that the query is not the cause,
// and the remaining shards are sent concurrently again.
func TestReplyEndsSequentialMode(t *testing.T) {
	is := is.New(t)
	query, fleet := pairs(10, true)
	fleet.retries.tokens = 100
	const lost = 10 + sequentialThreshold - 1
	maxPending := 0
	answer, sends := runUntilAnswered(t, query, func(send Send, number int) Reply {
		switch {
		case number <= lost:
			return lostReply(send)
		case number == lost+1:
			is.Equal(len(query.attempts), 1)
		}
		maxPending = max(maxPending, len(query.attempts))
		return completeReply(send)
	})
	is.Equal(answer.Failure, nil)
	is.Equal(len(answer.Parts), 10)
	is.Equal(sends, 10+lost)
	is.True(maxPending > 1) // the others are sent concurrently
}

// No hedge is sent in sequential mode.
func TestNoHedgesInSequentialMode(t *testing.T) {
	is := is.New(t)
	query, fleet := pairs(5, true)
	fleet.retries.tokens, fleet.hedges.tokens = 100, 10
	sent := query.Start(start)
	for _, send := range sent.Sends[:sequentialThreshold] {
		query.HandleReply(start, lostReply(send))
	}
	for now := start; now.Before(start.Add(testDeadline)); now = now.Add(time.Millisecond) {
		is.Equal(len(query.Tick(now).Sends), 0)
	}
}
