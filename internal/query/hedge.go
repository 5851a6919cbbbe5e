package query

import (
	"slices"
	"time"
)

// hedgeRecheck divides the hedge delay for another look when tokens are short.
const hedgeRecheck = 4

// scheduleHedge sets the time of the next hedge for an attempt sent now.
func (query *Query) scheduleHedge(now time.Time) {
	delay, known := query.fleet.hedgeAfter()
	if !known {
		return
	}
	due := now.Add(delay)
	if query.hedgeAt.IsZero() || due.Before(query.hedgeAt) {
		query.hedgeAt = due
	}
}

// hedgeDue sends second attempts for the shards that have waited too long.
func (query *Query) hedgeDue(now time.Time) {
	if query.hedgeAt.IsZero() || now.Before(query.hedgeAt) {
		return
	}
	query.hedgeAt = time.Time{}
	delay, known := query.fleet.hedgeAfter()
	if !known {
		return
	}
	var slow []int
	for _, pending := range query.attempts {
		if !pending.hedgeable {
			continue
		}
		due := pending.sentAt.Add(delay)
		if now.Before(due) {
			query.noteHedge(due)
			continue
		}
		slow = query.unhedged(slow, pending)
	}
	if len(slow) == 0 {
		return
	}
	slices.Sort(slow)
	query.send(now, slow, hedge)
	for _, position := range slow {
		if !query.shards[position].hedged {
			query.noteHedge(now.Add(max(delay/hedgeRecheck, time.Millisecond)))
		}
	}
}

func (query *Query) noteHedge(due time.Time) {
	if query.hedgeAt.IsZero() || due.Before(query.hedgeAt) {
		query.hedgeAt = due
	}
}

// unhedged adds the shards of an attempt that may still be hedged.
func (query *Query) unhedged(into []int, pending *attempt) []int {
	for _, position := range pending.shards {
		shard := &query.shards[position]
		if shard.status == open && !shard.hedged && shard.pending == 1 {
			into = append(into, position)
		}
	}
	return into
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
