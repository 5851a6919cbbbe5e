package query

import (
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
)

// noteReply takes into account what a reply says of the query.
func (query *Query) noteReply(pending *attempt, failure *verdict.Error) {
	switch {
	case failure == nil:
		query.care.RecordAnswer()
	case failure.Code == verdict.CodeLost || failure.Code == verdict.CodeBadReply:
		query.care.RecordLoss(pending.careful)
	}
}

// sendAgain asks further replicas of the shards, those of one server at a time if that is careful.
func (query *Query) sendAgain(now time.Time, wanted []int) {
	if !query.care.Sequential() {
		query.send(now, wanted, retry)
		return
	}
	query.held = append(query.held, wanted...)
}

// releaseHeld goes on with the shards that wait, as far as that is allowed.
func (query *Query) releaseHeld(now time.Time) {
	if !query.care.Sequential() {
		held := query.held
		query.held = nil
		if len(held) > 0 {
			query.send(now, held, retry)
		}
		return
	}
	for len(query.held) > 0 && (query.care.Stopped() || len(query.attempts) == 0) {
		position := query.held[0]
		query.held = query.held[1:]
		if query.care.Stopped() {
			query.giveUp(position, retry, query.reasonOr(position, verdict.CodeLost))
			continue
		}
		query.send(now, []int{position}, retry)
	}
}
