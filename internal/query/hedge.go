package query

import "time"

const (
	// maximumHedges is how often one shard is hedged: the first hedge may straggle
	// as well.
	maximumHedges = 2
	// hedgeRecheck divides the hedge delay for another look when tokens are short.
	hedgeRecheck = 4
	// unknownPart is the part of a query's time after which an attempt is hedged
	// while too few latencies are known.
	unknownPart = 10
)

func (query *Query) unknownDelay() time.Duration {
	return query.parameters.Deadline.Sub(query.started) / unknownPart
}

// scheduleHedge sets the time of the next hedge for an attempt sent now.
func (query *Query) scheduleHedge(now time.Time) {
	delay, allowed := query.fleet.hedgeAfter(query.unknownDelay())
	if allowed && query.parameters.Repeatable {
		query.noteHedge(now.Add(delay))
	}
}

// hedgeDue sends further attempts for the shards that have waited too long since
// the last one.
func (query *Query) hedgeDue(now time.Time) {
	if query.hedgeAt.IsZero() || now.Before(query.hedgeAt) {
		return
	}
	query.hedgeAt = time.Time{}
	delay, allowed := query.fleet.hedgeAfter(query.unknownDelay())
	if !allowed || query.care.Sequential() {
		return
	}
	slow := query.slowShards(now, delay)
	if len(slow) == 0 {
		return
	}
	query.send(now, slow, hedge)
	for _, position := range slow {
		if query.shards[position].sentAt.Before(now) {
			query.noteHedge(now.Add(max(delay/hedgeRecheck, time.Millisecond)))
		}
	}
}

// slowShards lists the shards to hedge now and notes when others come due.
func (query *Query) slowShards(now time.Time, delay time.Duration) []int {
	var slow []int
	for position := range query.shards {
		shard := &query.shards[position]
		if shard.status != open || shard.pending == 0 || shard.hedges >= maximumHedges {
			continue
		}
		if due := shard.sentAt.Add(delay); now.Before(due) {
			query.noteHedge(due)
			continue
		}
		slow = append(slow, position)
	}
	return slow
}

func (query *Query) noteHedge(due time.Time) {
	if query.hedgeAt.IsZero() || due.Before(query.hedgeAt) {
		query.hedgeAt = due
	}
}

// hedgeReplica picks the server of a hedge: the untried replica if it is in good
// standing, else once more the server that is slow to reply, if that is in good
// standing itself and has room. A straggling reply seldom means a straggling
// server, and where the other replicas are lost there is no one else to ask.
func (choice *choice) hedgeReplica(untried, slow *Server) *Server {
	if untried != nil && untried.standing(choice.now, choice.version) <= versionUnknown {
		return untried
	}
	if slow != nil && slow.standing(choice.now, choice.version) == good && !slow.full() {
		return slow
	}
	return untried
}
