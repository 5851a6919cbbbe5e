package query

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

// purpose is why attempts are sent; it decides which budget pays.
type purpose uint8

const (
	first purpose = iota
	retry
	hedge
	// restarted: first attempts at another version; they earn nothing.
	restarted
)

const (
	// maximumPasses is how often all replicas of a shard are tried.
	maximumPasses = 3
	// passDelay is the least time before the replicas are tried once more.
	passDelay = 5 * time.Millisecond
)

// group is an attempt in the making: a server and the shards to ask it for.
type group struct {
	server *Server
	shards []int
}

// send asks one replica of each of the shards, one attempt a server.
func (query *Query) send(now time.Time, wanted []int, purpose purpose) {
	tooLate := now.Add(query.fleet.floor()).After(query.parameters.Deadline) || !now.Before(query.parameters.Deadline)
	var groups []group
	grouped := make(map[*Server]int, len(wanted))
	frame := choice{
		now:        now,
		version:    query.pin.Version(),
		zone:       query.fleet.zone,
		random:     query.parameters.Random,
		repeatable: query.parameters.Repeatable,
		// Retries come after a reply that told what is held.
		doubtVersions: purpose == first || purpose == restarted,
		chosen: func(server *Server) bool {
			_, ok := grouped[server]
			return ok
		},
	}
	for _, position := range wanted {
		shard := &query.shards[position]
		if tooLate {
			query.giveUp(position, purpose, verdict.CodeDeadline)
			continue
		}
		if purpose != first && shard.last != nil {
			frame.avoidOwner = shard.last.Owner
		}
		server := frame.replica(&query.shardMap.Shards[position], shard.tried)
		if purpose == hedge {
			server = frame.hedgeReplica(server, shard.last)
		}
		if server == nil {
			query.exhausted(now, position, purpose)
			continue
		}
		index, ok := grouped[server]
		if !ok {
			index = len(groups)
			grouped[server] = index
			groups = append(groups, group{server: server})
		}
		groups[index].shards = append(groups[index].shards, position)
	}
	query.actions.Sends = slices.Grow(query.actions.Sends, len(groups))
	for index := range groups {
		query.sendGroup(now, &groups[index], purpose)
	}
}

// exhausted deals with a shard of which no replica is left to ask.
func (query *Query) exhausted(now time.Time, position int, purpose purpose) {
	shard := &query.shards[position]
	if purpose == hedge || shard.pending > 0 {
		return
	}
	if shard.reason == "" {
		shard.reason = query.unavailable(position)
	}
	if shard.passes+1 < maximumPasses && query.worthAnotherPass(shard.reason) {
		delay := max(query.retryAfter, passDelay<<shard.passes)
		if now.Add(delay + query.fleet.floor()).Before(query.parameters.Deadline) {
			shard.passes++
			shard.tried = 0
			shard.retryAt = now.Add(delay)
			query.retries++
			return
		}
	}
	query.giveUp(position, purpose, shard.reason)
}

// unavailable says why no replica of a shard could be asked at all.
func (query *Query) unavailable(position int) verdict.Code {
	draining := true
	for _, server := range query.shardMap.Shards[position].Replicas {
		draining = draining && (server.removed || server.load.Draining)
	}
	if draining {
		return verdict.CodeDraining
	}
	return verdict.CodeVersionNotHeld
}

// worthAnotherPass tells whether the cause may pass within milliseconds. Lack of
// capacity does not, and trying again would add to it.
func (query *Query) worthAnotherPass(reason verdict.Code) bool {
	switch reason {
	case verdict.CodeVersionNotHeld:
		// When another version is the one to pin, starting again there is better.
		return query.fleet.Snapshot().Version == query.pin.Version()
	case verdict.CodeOverloaded, verdict.CodeShed, verdict.CodeDeadline, verdict.CodeCanceled, verdict.CodeDraining:
		return false
	default:
		return true
	}
}

// giveUp fails a shard; a hedge that cannot be sent fails nothing.
func (query *Query) giveUp(position int, purpose purpose, reason verdict.Code) {
	shard := &query.shards[position]
	if purpose == hedge || shard.pending > 0 || shard.status != open {
		return
	}
	shard.status = failed
	shard.reason = reason
	query.failed++
}

func (query *Query) sendGroup(now time.Time, group *group, purpose purpose) {
	if !query.pay(purpose) {
		for _, position := range group.shards {
			query.giveUp(position, purpose, query.reasonOr(position, verdict.CodeOverloaded))
		}
		return
	}
	id := query.parameters.NextAttempt()
	ids := make([]v1.ShardID, len(group.shards))
	for index, position := range group.shards {
		shard := &query.shards[position]
		shard.pending++
		shard.last = group.server
		shard.tried |= query.replicaBit(position, group.server)
		shard.sentAt = now
		if purpose == hedge {
			shard.hedges++
		}
		ids[index] = query.shardMap.Shards[position].ID
	}
	group.server.noteSent(now)
	query.attempts[id] = &attempt{
		server:  group.server,
		shards:  group.shards,
		sentAt:  now,
		purpose: purpose,
		careful: query.care.Sequential(),
	}
	query.scheduleHedge(now)
	query.actions.Sends = append(query.actions.Sends, Send{
		Attempt:  id,
		Server:   group.server,
		Shards:   ids,
		Snapshot: query.pin.Version(),
		Deadline: query.parameters.Deadline,
	})
}

// noteSent counts a pending attempt. At an ejected server it is the one probe
// until the next report.
func (server *Server) noteSent(now time.Time) {
	server.pending++
	if server.load.Ejected {
		server.loadSeen = now
	}
}

func (query *Query) reasonOr(position int, reason verdict.Code) verdict.Code {
	if known := query.shards[position].reason; known != "" {
		return known
	}
	return reason
}

func (query *Query) replicaBit(position int, server *Server) uint64 {
	for index, replica := range query.shardMap.Shards[position].Replicas {
		if replica == server {
			return 1 << index
		}
	}
	return 0
}

// pay takes the price of an attempt from its budget, or says that there is none.
func (query *Query) pay(purpose purpose) bool {
	counts := &query.counts
	switch purpose {
	case retry:
		return spend(&query.fleet.retries, &counts.Retries, &counts.OutOfRetries)
	case hedge:
		return spend(&query.fleet.hedges, &counts.Hedges, &counts.OutOfHedges)
	case restarted:
		counts.Restarted++
		return true
	default:
		counts.First++
		query.fleet.retries.earn(1)
		query.fleet.hedges.earn(1)
		return true
	}
}

func spend(budget *budget, paid, refused *int) bool {
	if !budget.spend() {
		*refused++
		return false
	}
	*paid++
	return true
}

// pendingServer returns a server that works for the shard at present.
func (query *Query) pendingServer(position int) *Server {
	for _, id := range slices.Sorted(maps.Keys(query.attempts)) {
		if pending := query.attempts[id]; slices.Contains(pending.shards, position) {
			return pending.server
		}
	}
	return nil
}

// fail deals with the failure of an attempt: every shard of it that has no other
// attempt is sent again where that is allowed, or fails. A hedge that failed is
// replaced at once, for the attempt that it was to help is late already.
func (query *Query) fail(now time.Time, pending *attempt, failure *verdict.Error) {
	query.verdict = query.verdict.With(failure.Verdict)
	query.retryAfter = max(query.retryAfter, failure.RetryAfter)
	query.excludeRefused(now, pending.server, failure)
	var again, hedgeAgain []int
	for _, position := range pending.shards {
		shard := &query.shards[position]
		if shard.status != open {
			continue
		}
		shard.reason = failure.Code
		if shard.pending > 0 {
			shard.last = query.pendingServer(position)
			if pending.purpose == hedge && shard.hedges < maximumHedges {
				hedgeAgain = append(hedgeAgain, position)
			}
			continue
		}
		if failure.Verdict != verdict.NotRun && !query.parameters.Repeatable {
			query.giveUp(position, retry, failure.Code)
			continue
		}
		again = append(again, position)
	}
	if len(again) > 0 {
		query.sendAgain(now, again)
	}
	if len(hedgeAgain) > 0 && !query.care.Sequential() {
		query.send(now, hedgeAgain, hedge)
	}
}

// retryDue tries shards again whose pause is over.
func (query *Query) retryDue(now time.Time) {
	if query.retries == 0 {
		return
	}
	var due []int
	for position := range query.shards {
		shard := &query.shards[position]
		if !shard.retryAt.IsZero() && !now.Before(shard.retryAt) {
			shard.retryAt = time.Time{}
			query.retries--
			due = append(due, position)
		}
	}
	if len(due) > 0 {
		query.sendAgain(now, due)
	}
}
