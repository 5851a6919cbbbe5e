package query

import (
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
)

// updateGuard records in the crash guard whether an attempt was answered or lost.
func (query *Query) updateGuard(pending *attempt, failure *verdict.Error) {
	switch {
	case failure == nil:
		query.guard.RecordAnswer()
	case failure.Code == verdict.CodeLost || failure.Code == verdict.CodeBadReply:
		query.guard.RecordLoss(pending.serial)
	}
}

// resend sends the shards at the positions to other replicas. In sequential mode
// they are deferred and sent one at a time.
func (query *Query) resend(now time.Time, positions []int) {
	if !query.guard.Sequential() {
		query.send(now, positions, purposeRetry)
		return
	}
	query.deferred = append(query.deferred, positions...)
}

// sendDeferred sends deferred shards as far as the crash guard allows.
func (query *Query) sendDeferred(now time.Time) {
	if !query.guard.Sequential() {
		positions := query.deferred
		query.deferred = nil
		if len(positions) > 0 {
			query.send(now, positions, purposeRetry)
		}
		return
	}
	for len(query.deferred) > 0 && (query.guard.Stopped() || len(query.attempts) == 0) {
		position := query.deferred[0]
		query.deferred = query.deferred[1:]
		if query.guard.Stopped() {
			query.failShard(position, purposeRetry, query.reasonOr(position, verdict.CodeLost))
			continue
		}
		query.send(now, []int{position}, purposeRetry)
	}
}
