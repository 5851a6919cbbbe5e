package query

import (
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
)

// waitMargin is how much longer than predicted a wait may turn out. With it, few
// queries are refused by some owners after others have begun to work for them.
const waitMargin = 1.25

// refuseOverload fails the query before anything is sent if, by what the owners
// reported, the queues of too many shards are longer than its time. The work of
// the other shards would be for nothing.
func (query *Query) refuseOverload(now time.Time) bool {
	left := query.parameters.Deadline.Sub(now) - query.fleet.floor()
	refused := 0
	for position := range query.shards {
		wait, known := query.shardMap.Shards[position].wait(now)
		if !known || float64(wait)*waitMargin <= float64(left) {
			continue
		}
		refused++
		query.retryAfter = max(query.retryAfter, wait)
	}
	if len(query.shards)-refused >= query.minimum() {
		return false
	}
	for position := range query.shards {
		query.giveUp(position, first, verdict.CodeOverloaded)
	}
	return true
}

// wait is the shortest predicted wait of the shard's replicas; false when none
// of them may be asked.
func (shard *Shard) wait(now time.Time) (time.Duration, bool) {
	shortest, known := time.Duration(0), false
	for _, server := range shard.Replicas {
		if server.removed || server.load.Draining {
			continue
		}
		wait := server.wait(now)
		if !known || wait < shortest {
			shortest, known = wait, true
		}
	}
	return shortest, known
}

// wait predicts the time in the queue of an attempt sent now: the reported wait,
// less the time since, for the queue has moved on, and longer by the attempts
// that this gateway has sent since.
func (server *Server) wait(now time.Time) time.Duration {
	each := server.load.Wait / time.Duration(server.load.Queued+1)
	since := max(server.pending-server.pendingAtReport, 0)
	wait := server.load.Wait + each*time.Duration(since)
	return max(wait-now.Sub(server.loadSeen), 0)
}
