package query

import (
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
)

// queueMargin scales predicted queues, which may turn out longer. It keeps the
// number of queries low that some owners refuse after others have started work.
const queueMargin = 1.25

// refuseIfOverloaded fails the query before anything is sent if, according to the
// owners' reports, the queues of too many shards are full or their predicted wait
// exceeds the remaining time. The work of the other shards would be wasted.
func (query *Query) refuseIfOverloaded(now time.Time) bool {
	remaining := query.parameters.Deadline.Sub(now) - query.fleet.attemptFloor()
	refused := 0
	for position := range query.shards {
		if query.overloaded(now, remaining, position) {
			refused++
		}
	}
	if len(query.shards)-refused >= query.minimum() {
		query.retryAfter = 0
		return false
	}
	for position := range query.shards {
		query.failShard(position, purposeFirst, verdict.CodeOverloaded)
	}
	return true
}

// overloaded reports whether all replicas of a shard would refuse an attempt, and
// takes the shortest wait among them as the retry delay.
func (query *Query) overloaded(now time.Time, remaining time.Duration, position int) bool {
	shortest := time.Duration(0)
	usable := 0
	for _, server := range query.shardMap.Shards[position].Replicas {
		if server.removed || server.load.Draining {
			continue
		}
		queued, wait := server.predictQueue(now)
		full := query.fleet.queueLimit > 0 && queued*queueMargin >= float64(query.fleet.queueLimit)
		if !full && float64(wait)*queueMargin <= float64(remaining) {
			return false
		}
		if usable == 0 || wait < shortest {
			shortest = wait
		}
		usable++
	}
	query.retryAfter = max(query.retryAfter, shortest)
	return usable > 0
}

// predictQueue predicts the queue length and the wait at the server's owner: the
// reported queue, minus what has been served since, plus what this gateway has
// sent since.
func (server *Server) predictQueue(now time.Time) (float64, time.Duration) {
	load := &server.load
	if load.Wait == 0 {
		return 0, 0
	}
	perAttempt := load.Wait / time.Duration(load.Queued+1)
	queued := float64(load.Queued + max(server.pending-server.pendingAtReport, 0))
	queued -= float64(now.Sub(server.loadSeen)) / float64(max(perAttempt, 1))
	queued = max(queued, 0)
	return queued, time.Duration((queued + 1) * float64(perAttempt))
}
