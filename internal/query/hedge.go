package query

import "time"

const (
	// maxHedges is the largest number of hedges of one shard: the first hedge may
	// be slow as well.
	maxHedges = 2
	// hedgeRecheckDivisor divides the hedge delay to get the time until the next
	// check when the hedge budget was empty.
	hedgeRecheckDivisor = 4
	// fallbackHedgeDivisor divides a query's timeout to get the hedge delay while
	// too few latencies are known.
	fallbackHedgeDivisor = 10
)

func (query *Query) fallbackHedgeDelay() time.Duration {
	return query.parameters.Deadline.Sub(query.started) / fallbackHedgeDivisor
}

// scheduleHedge sets the time of the next hedge for an attempt sent now.
func (query *Query) scheduleHedge(now time.Time) {
	delay, allowed := query.fleet.hedgeDelay(query.fallbackHedgeDelay())
	if allowed && query.parameters.Repeatable {
		query.scheduleHedgeAt(now.Add(delay))
	}
}

// sendDueHedges sends another attempt for each shard whose last attempt is older
// than the hedge delay.
func (query *Query) sendDueHedges(now time.Time) {
	if query.hedgeAt.IsZero() || now.Before(query.hedgeAt) {
		return
	}
	query.hedgeAt = time.Time{}
	delay, allowed := query.fleet.hedgeDelay(query.fallbackHedgeDelay())
	if !allowed || query.guard.Sequential() {
		return
	}
	slow := query.slowShards(now, delay)
	if len(slow) == 0 {
		return
	}
	query.send(now, slow, purposeHedge)
	for _, position := range slow {
		if query.shards[position].sentAt.Before(now) {
			query.scheduleHedgeAt(now.Add(max(delay/hedgeRecheckDivisor, time.Millisecond)))
		}
	}
}

// slowShards returns the shards to hedge now and schedules the next check for the
// others.
func (query *Query) slowShards(now time.Time, delay time.Duration) []int {
	var slow []int
	for position := range query.shards {
		shard := &query.shards[position]
		if shard.status != shardOpen || shard.pending == 0 || shard.hedges >= maxHedges {
			continue
		}
		if due := shard.sentAt.Add(delay); now.Before(due) {
			query.scheduleHedgeAt(due)
			continue
		}
		slow = append(slow, position)
	}
	return slow
}

func (query *Query) scheduleHedgeAt(due time.Time) {
	if query.hedgeAt.IsZero() || due.Before(query.hedgeAt) {
		query.hedgeAt = due
	}
}

// hedgeReplica selects the server of a hedge: the untried replica if it is healthy,
// else the slow server again if that is healthy itself and not full. A slow
// reply seldom means a slow server, and if the other replicas are lost there is
// no alternative.
func (s *replicaSelector) hedgeReplica(untried, slow *Server) *Server {
	if untried != nil && untried.rank(s.now, s.version) <= replicaVersionUnknown {
		return untried
	}
	if slow != nil && slow.rank(s.now, s.version) == replicaGood && !slow.full() {
		return slow
	}
	return untried
}
