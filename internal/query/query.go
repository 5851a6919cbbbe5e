package query

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/crashguard"
	"github.com/driftstage/driftstage/internal/snapshot"
	"github.com/driftstage/driftstage/internal/verdict"
)

// maxReplicas bounds the replicas considered for one shard.
const maxReplicas = 64

// shardStatus is the status of one shard within a query.
type shardStatus uint8

const (
	// shardOpen: no part yet; attempts may be pending, or a retry may be scheduled.
	shardOpen shardStatus = iota
	// shardCovered: its part has been received.
	shardCovered
	// shardFailed: failed for good, with a reason.
	shardFailed
)

type shardState struct {
	status shardStatus
	reason verdict.Code
	body   []byte
	// tried has a bit for every replica tried in this pass.
	tried uint64
	// pending counts attempts in flight.
	pending int
	// hedges counts the hedges sent.
	hedges int
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// passes counts how often all replicas were tried.
	passes int
	// retryAt is when the next pass over the replicas starts; zero for none.
	retryAt time.Time
	// last is the server of the last attempt.
	last *Server
}

// attempt is a pending attempt: sent, and neither answered nor cancelled.
type attempt struct {
	server *Server
	// shards are positions in the map.
	shards  []int
	sentAt  time.Time
	purpose purpose
	// serial is set if no other attempt of the query may be in flight with it.
	serial bool
}

// Query is the state of one request. It is not safe for concurrent use; the
// fleet that it uses must be guarded by the same lock as its steps.
type Query struct {
	fleet      *Fleet
	shardMap   *ShardMap
	parameters Parameters
	pin        snapshot.Pin
	started    time.Time

	shards   []shardState
	attempts map[AttemptID]*attempt
	covered  int
	failed   int
	// scheduledRetries counts the shards that have a retryAt.
	scheduledRetries int
	// verdict combines the verdicts of all finished attempts.
	verdict    verdict.Verdict
	retryAfter time.Duration
	guard      crashguard.Guard
	// deferred are the positions of shards that wait until no attempt is in flight,
	// because the query may be the cause of server crashes.
	deferred []int
	// hedgeAt is when the next attempt is due to be hedged.
	hedgeAt time.Time
	done    bool
	counts  Counts

	actions Actions
}

// New returns a query that uses the shard map. Start starts it.
func New(fleet *Fleet, shardMap *ShardMap, parameters Parameters) *Query {
	return &Query{
		fleet:      fleet,
		shardMap:   shardMap,
		parameters: parameters,
		pin:        snapshot.NewPin(parameters.Snapshot),
		shards:     make([]shardState, len(shardMap.Shards)),
		attempts:   make(map[AttemptID]*attempt, len(shardMap.Shards)),
		verdict:    verdict.NotRun,
	}
}

// Start sends the first attempts, or refuses the query as NotRun if the queues
// are too long for its deadline.
func (query *Query) Start(now time.Time) Actions {
	query.started = now
	if query.refuseIfOverloaded(now) {
		return query.finish(now)
	}
	positions := make([]int, len(query.shards))
	for position := range positions {
		positions[position] = position
	}
	query.send(now, positions, purposeFirst)
	return query.finish(now)
}

// Tick performs everything that is due: hedges, retries, the answer.
func (query *Query) Tick(now time.Time) Actions {
	if query.done {
		return Actions{}
	}
	query.sendDueRetries(now)
	query.sendDeferred(now)
	query.sendDueHedges(now)
	return query.finish(now)
}

// NextTick returns when Tick must be called next, at the deadline at the latest.
func (query *Query) NextTick() time.Time {
	next := query.parameters.Deadline
	earlier := func(due time.Time) {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	earlier(query.hedgeAt)
	if query.covered < len(query.shards) && query.covered >= query.target() {
		earlier(query.parameters.AnswerAfter)
	}
	if query.scheduledRetries > 0 {
		for position := range query.shards {
			earlier(query.shards[position].retryAt)
		}
	}
	return next
}

// HandleReply processes the result of an attempt. A reply to an attempt that is not
// pending is dropped.
func (query *Query) HandleReply(now time.Time, reply Reply) Actions {
	pending, ok := query.attempts[reply.Attempt]
	if !ok || query.done {
		query.counts.StaleReplies++
		return Actions{}
	}
	query.removeAttempt(reply.Attempt, pending)
	query.updateGuard(pending, reply.Failure)
	failure := reply.Failure
	if failure == nil {
		failure = query.validate(pending, reply)
	}
	if failure == nil {
		query.acceptParts(now, pending, reply)
	} else {
		query.handleFailure(now, pending, failure)
	}
	query.sendDeferred(now)
	return query.finish(now)
}

// Counts returns the query's counters so far.
func (query *Query) Counts() Counts { return query.counts }

// Snapshot returns the index version that the query currently uses.
func (query *Query) Snapshot() int64 { return query.pin.Version() }

// removeAttempt removes an attempt from the pending ones.
func (query *Query) removeAttempt(id AttemptID, pending *attempt) {
	delete(query.attempts, id)
	pending.server.pending--
	for _, position := range pending.shards {
		query.shards[position].pending--
	}
}

// validate returns why the parts of a reply must be rejected, or nil: they must be
// of the pinned version and of exactly the requested shards.
func (query *Query) validate(pending *attempt, reply Reply) *verdict.Error {
	if !query.pin.Accepts(reply.Snapshot) {
		return verdict.New(verdict.Ran, verdict.CodeBadReply, "part of snapshot %d, pinned is %d", reply.Snapshot, query.pin.Version())
	}
	if len(reply.Parts) != len(pending.shards) {
		return verdict.New(verdict.Ran, verdict.CodeBadReply, "%d parts for %d shards", len(reply.Parts), len(pending.shards))
	}
	for index, position := range pending.shards {
		if reply.Parts[index].Shard != query.shardMap.Shards[position].ID {
			return verdict.New(verdict.Ran, verdict.CodeBadReply, "part of shard %d not asked for", reply.Parts[index].Shard)
		}
	}
	return nil
}

// acceptParts marks shards as covered by the parts of a reply.
func (query *Query) acceptParts(now time.Time, pending *attempt, reply Reply) {
	query.verdict = query.verdict.With(verdict.Ran)
	query.recordLatency(now, pending)
	for index, position := range pending.shards {
		shard := &query.shards[position]
		if shard.status == shardCovered {
			continue
		}
		shard.status = shardCovered
		shard.body = reply.Parts[index].Body
		query.covered++
	}
	query.cancelUnneeded(now, pending.shards)
}

func (query *Query) recordLatency(now time.Time, pending *attempt) {
	took := now.Sub(pending.sentAt)
	query.fleet.latencies.add(took)
	pending.server.observeLatency(took)
}

// cancelUnneeded cancels the attempts that have no open shard any more.
func (query *Query) cancelUnneeded(now time.Time, positions []int) {
	duplicates := false
	for _, position := range positions {
		duplicates = duplicates || query.shards[position].pending > 0
	}
	if !duplicates {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(query.attempts)) {
		if !query.needed(query.attempts[id]) {
			query.cancelAttempt(now, id)
		}
	}
}

func (query *Query) needed(pending *attempt) bool {
	for _, position := range pending.shards {
		if query.shards[position].status == shardOpen {
			return true
		}
	}
	return false
}

// cancelAttempt cancels a pending attempt, which may have run. Its age is recorded
// as a latency if it exceeds the server's average: otherwise a server that never
// replies would look like one that gets no attempts.
func (query *Query) cancelAttempt(now time.Time, id AttemptID) {
	pending := query.attempts[id]
	if float64(now.Sub(pending.sentAt)) > pending.server.latency {
		query.recordLatency(now, pending)
	}
	query.removeAttempt(id, pending)
	query.verdict = query.verdict.With(verdict.MayHaveRun)
	query.actions.Cancels = append(query.actions.Cancels, id)
}

// target is the number of shards that suffices after AnswerAfter; minimum is the
// number below which the query fails.
func (query *Query) target() int  { return atLeast(query.parameters.Target, len(query.shards)) }
func (query *Query) minimum() int { return atLeast(query.parameters.Minimum, len(query.shards)) }

// atLeast returns the number of shards that makes up a fraction, at least one.
func atLeast(fraction float64, shards int) int {
	const tolerance = 1e-9
	wanted := int(math.Ceil(fraction*float64(shards) - tolerance))
	return min(max(wanted, 1), max(shards, 1))
}
