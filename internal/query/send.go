package query

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

// purpose is why attempts are sent; it decides which budget is charged.
type purpose uint8

const (
	purposeFirst purpose = iota
	purposeRetry
	purposeHedge
	// purposeRestart: first attempts at another version; they earn no budget.
	purposeRestart
)

const (
	// maxPasses is how often all replicas of a shard are tried.
	maxPasses = 3
	// passDelay is the shortest delay before the second pass; it doubles per pass.
	passDelay = 5 * time.Millisecond
)

// group is an attempt to be sent: a server and the shards it is to answer.
type group struct {
	server *Server
	shards []int
}

// send sends the shards at the positions to one replica each, with one attempt per
// server.
func (query *Query) send(now time.Time, positions []int, purpose purpose) {
	tooLate := now.Add(query.fleet.attemptFloor()).After(query.parameters.Deadline) || !now.Before(query.parameters.Deadline)
	var groups []group
	grouped := make(map[*Server]int, len(positions))
	selector := replicaSelector{
		now:        now,
		version:    query.pin.Version(),
		zone:       query.fleet.zone,
		random:     query.parameters.Random,
		repeatable: query.parameters.Repeatable,
		// Retries follow a reply that reported the versions held.
		allowUnreportedVersion: purpose == purposeFirst || purpose == purposeRestart,
		alreadyChosen: func(server *Server) bool {
			_, ok := grouped[server]
			return ok
		},
	}
	for _, position := range positions {
		shard := &query.shards[position]
		if tooLate {
			query.failShard(position, purpose, verdict.CodeDeadline)
			continue
		}
		if purpose != purposeFirst && shard.last != nil {
			selector.avoidOwner = shard.last.Owner
		}
		server := selector.pick(&query.shardMap.Shards[position], shard.tried)
		if purpose == purposeHedge {
			server = selector.hedgeReplica(server, shard.last)
		}
		if server == nil {
			query.handleExhausted(now, position, purpose)
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

// handleExhausted schedules another pass for a shard without untried replicas, or
// fails it.
func (query *Query) handleExhausted(now time.Time, position int, purpose purpose) {
	shard := &query.shards[position]
	if purpose == purposeHedge || shard.pending > 0 {
		return
	}
	if shard.reason == "" {
		shard.reason = query.unavailableReason(position)
	}
	if shard.passes+1 < maxPasses && query.retryable(shard.reason) {
		delay := max(query.retryAfter, passDelay<<shard.passes)
		if now.Add(delay + query.fleet.attemptFloor()).Before(query.parameters.Deadline) {
			shard.passes++
			shard.tried = 0
			shard.retryAt = now.Add(delay)
			query.scheduledRetries++
			return
		}
	}
	query.failShard(position, purpose, shard.reason)
}

// unavailableReason returns why no replica of a shard could be used at all.
func (query *Query) unavailableReason(position int) verdict.Code {
	draining := true
	for _, server := range query.shardMap.Shards[position].Replicas {
		draining = draining && (server.removed || server.load.Draining)
	}
	if draining {
		return verdict.CodeDraining
	}
	return verdict.CodeVersionNotHeld
}

// retryable reports whether the reason may be gone within milliseconds. Overload
// is not, and another pass would add to it.
func (query *Query) retryable(reason verdict.Code) bool {
	switch reason {
	case verdict.CodeVersionNotHeld:
		// If another version is now preferred, a restart at that version is better.
		return query.fleet.Snapshot().Version == query.pin.Version()
	case verdict.CodeOverloaded, verdict.CodeShed, verdict.CodeDeadline, verdict.CodeCanceled, verdict.CodeDraining:
		return false
	default:
		return true
	}
}

// failShard marks a shard as failed. A hedge that cannot be sent does not fail it.
func (query *Query) failShard(position int, purpose purpose, reason verdict.Code) {
	shard := &query.shards[position]
	if purpose == purposeHedge || shard.pending > 0 || shard.status != shardOpen {
		return
	}
	shard.status = shardFailed
	shard.reason = reason
	query.failed++
}

func (query *Query) sendGroup(now time.Time, group *group, purpose purpose) {
	if !query.charge(purpose) {
		for _, position := range group.shards {
			query.failShard(position, purpose, query.reasonOr(position, verdict.CodeOverloaded))
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
		if purpose == purposeHedge {
			shard.hedges++
		}
		ids[index] = query.shardMap.Shards[position].ID
	}
	group.server.recordSend(now)
	query.attempts[id] = &attempt{
		server:  group.server,
		shards:  group.shards,
		sentAt:  now,
		purpose: purpose,
		serial:  query.guard.Sequential(),
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

// recordSend counts a pending attempt. At an ejected server it is the only probe
// until the next load report.
func (server *Server) recordSend(now time.Time) {
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

// charge charges an attempt to its budget; it returns false if the budget is empty.
func (query *Query) charge(purpose purpose) bool {
	counts := &query.counts
	switch purpose {
	case purposeRetry:
		return spend(&query.fleet.retries, &counts.Retries, &counts.RetriesOverBudget)
	case purposeHedge:
		return spend(&query.fleet.hedges, &counts.Hedges, &counts.HedgesOverBudget)
	case purposeRestart:
		counts.Restarts++
		return true
	default:
		counts.First++
		query.fleet.retries.earn(1)
		query.fleet.hedges.earn(1)
		return true
	}
}

func spend(budget *budget, sent, overBudget *int) bool {
	if !budget.spend() {
		*overBudget++
		return false
	}
	*sent++
	return true
}

// pendingServer returns a server with a pending attempt for the shard.
func (query *Query) pendingServer(position int) *Server {
	for _, id := range slices.Sorted(maps.Keys(query.attempts)) {
		if pending := query.attempts[id]; slices.Contains(pending.shards, position) {
			return pending.server
		}
	}
	return nil
}

// handleFailure handles a failed attempt: each of its shards without another
// attempt is sent again if that is allowed, or fails. A failed hedge is replaced
// at once, because the attempt that it hedged is late already.
func (query *Query) handleFailure(now time.Time, pending *attempt, failure *verdict.Error) {
	query.verdict = query.verdict.With(failure.Verdict)
	query.retryAfter = max(query.retryAfter, failure.RetryAfter)
	query.excludeRefusedVersion(now, pending.server, failure)
	var again, hedgeAgain []int
	for _, position := range pending.shards {
		shard := &query.shards[position]
		if shard.status != shardOpen {
			continue
		}
		shard.reason = failure.Code
		if shard.pending > 0 {
			shard.last = query.pendingServer(position)
			if pending.purpose == purposeHedge && shard.hedges < maxHedges {
				hedgeAgain = append(hedgeAgain, position)
			}
			continue
		}
		if failure.Verdict != verdict.NotRun && !query.parameters.Repeatable {
			query.failShard(position, purposeRetry, failure.Code)
			continue
		}
		again = append(again, position)
	}
	if len(again) > 0 {
		query.resend(now, again)
	}
	if len(hedgeAgain) > 0 && !query.guard.Sequential() {
		query.send(now, hedgeAgain, purposeHedge)
	}
}

// sendDueRetries resends the shards whose retry is due.
func (query *Query) sendDueRetries(now time.Time) {
	if query.scheduledRetries == 0 {
		return
	}
	var due []int
	for position := range query.shards {
		shard := &query.shards[position]
		if !shard.retryAt.IsZero() && !now.Before(shard.retryAt) {
			shard.retryAt = time.Time{}
			query.scheduledRetries--
			due = append(due, position)
		}
	}
	if len(due) > 0 {
		query.resend(now, due)
	}
}
