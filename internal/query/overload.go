package query

import (
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
)

// queueMargin is how much longer than predicted a queue may turn out. With it, few
// queries are refused by some owners after others have begun to work for them.
const queueMargin = 1.25

// refuseOverload fails the query before anything is sent if, by what the owners
// reported, the queues of too many shards are full or longer than its time. The
// work of the other shards would be for nothing.
func (query *Query) refuseOverload(now time.Time) bool {
	left := query.parameters.Deadline.Sub(now) - query.fleet.floor()
	refused := 0
	for position := range query.shards {
		if query.overloaded(now, left, position) {
			refused++
		}
	}
	if len(query.shards)-refused >= query.minimum() {
		query.retryAfter = 0
		return false
	}
	for position := range query.shards {
		query.giveUp(position, first, verdict.CodeOverloaded)
	}
	return true
}

// overloaded tells whether all replicas of a shard would refuse an attempt, and
// notes the shortest wait among them as advice.
func (query *Query) overloaded(now time.Time, left time.Duration, position int) bool {
	shortest := time.Duration(0)
	asked := 0
	for _, server := range query.shardMap.Shards[position].Replicas {
		if server.removed || server.load.Draining {
			continue
		}
		queued, wait := server.queue(now)
		full := query.fleet.queue > 0 && queued*queueMargin >= float64(query.fleet.queue)
		if !full && float64(wait)*queueMargin <= float64(left) {
			return false
		}
		if asked == 0 || wait < shortest {
			shortest = wait
		}
		asked++
	}
	query.retryAfter = max(query.retryAfter, shortest)
	return asked > 0
}

// queue predicts the queue at the server's owner and the wait in it: as reported,
// less what has been served since, more what this gateway has sent since.
func (server *Server) queue(now time.Time) (float64, time.Duration) {
	load := &server.load
	if load.Wait == 0 {
		return 0, 0
	}
	each := load.Wait / time.Duration(load.Queued+1)
	queued := float64(load.Queued + max(server.pending-server.pendingAtReport, 0))
	queued -= float64(now.Sub(server.loadSeen)) / float64(max(each, 1))
	queued = max(queued, 0)
	return queued, time.Duration((queued + 1) * float64(each))
}
