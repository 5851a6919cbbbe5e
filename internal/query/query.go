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

// maximumReplicas bounds the replicas of one shard that are considered.
const maximumReplicas = 64

// status is the state of one shard within a query.
type status uint8

const (
	// open: no part yet; attempts may be pending, or a retry may be due.
	open status = iota
	// covered: its part was taken.
	covered
	// failed: given up, with a reason.
	failed
)

type shardState struct {
	status status
	reason verdict.Code
	body   []byte
	// tried has a bit for every replica asked since the last pass.
	tried uint64
	// pending counts attempts under way.
	pending int
	// hedges counts the hedges sent.
	hedges int
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// passes counts how often all replicas were tried.
	passes int
	// retryAt is when to try the replicas once more; zero for not at all.
	retryAt time.Time
	// last is the server that was asked last.
	last *Server
}

// attempt is one that is pending: sent, and neither answered nor cancelled.
type attempt struct {
	server *Server
	// shards are positions in the map.
	shards  []int
	sentAt  time.Time
	purpose purpose
	// careful is set if it is the only one that may be under way.
	careful bool
}

// Query is the state of one request. It is not safe for concurrent use; the
// fleet that it works on must be guarded by the same lock as its steps.
type Query struct {
	fleet      *Fleet
	shardMap   *Map
	parameters Parameters
	pin        snapshot.Pin
	started    time.Time

	shards   []shardState
	attempts map[AttemptID]*attempt
	covered  int
	failed   int
	// retries counts the shards that wait for a retry: those with a retryAt.
	retries int
	// verdict joins all that has ended; pending attempts are not in it.
	verdict    verdict.Verdict
	retryAfter time.Duration
	care       crashguard.Guard
	// held are the positions of shards that wait for the end of what is under way: the query may be what
	// ends servers.
	held []int
	// hedgeAt is when the next attempt comes due for a hedge.
	hedgeAt time.Time
	done    bool
	counts  Counts

	actions Actions
}

// New returns a query by the map. Start begins it.
func New(fleet *Fleet, shardMap *Map, parameters Parameters) *Query {
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

// Start sends the first attempts, or refuses the query as NotRun when the queues
// are too long for it.
func (query *Query) Start(now time.Time) Actions {
	query.started = now
	if query.refuseOverload(now) {
		return query.finish(now)
	}
	wanted := make([]int, len(query.shards))
	for position := range wanted {
		wanted[position] = position
	}
	query.send(now, wanted, first)
	return query.finish(now)
}

// Tick does what has come due: hedges, retries, the answer.
func (query *Query) Tick(now time.Time) Actions {
	if query.done {
		return Actions{}
	}
	query.retryDue(now)
	query.releaseHeld(now)
	query.hedgeDue(now)
	return query.finish(now)
}

// NextTick is when Tick is due. It is never after the deadline.
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
	if query.retries > 0 {
		for position := range query.shards {
			earlier(query.shards[position].retryAt)
		}
	}
	return next
}

// Handle takes in the end of an attempt. A reply of an attempt that is not
// pending changes nothing.
func (query *Query) Handle(now time.Time, reply Reply) Actions {
	pending, ok := query.attempts[reply.Attempt]
	if !ok || query.done {
		query.counts.StaleReplies++
		return Actions{}
	}
	query.settle(reply.Attempt, pending)
	query.noteReply(pending, reply.Failure)
	failure := reply.Failure
	if failure == nil {
		failure = query.check(pending, reply)
	}
	if failure == nil {
		query.take(now, pending, reply)
	} else {
		query.fail(now, pending, failure)
	}
	query.releaseHeld(now)
	return query.finish(now)
}

// Counts is what the query has done so far.
func (query *Query) Counts() Counts { return query.counts }

// Snapshot is the index version by which the query works at present.
func (query *Query) Snapshot() int64 { return query.pin.Version() }

// settle takes an attempt out of the pending ones.
func (query *Query) settle(id AttemptID, pending *attempt) {
	delete(query.attempts, id)
	pending.server.pending--
	for _, position := range pending.shards {
		query.shards[position].pending--
	}
}

// check tells why the parts of a reply must not be taken, or nil: they have to
// be of the pinned version and of exactly the shards asked for.
func (query *Query) check(pending *attempt, reply Reply) *verdict.Error {
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

// take covers shards with the parts of a reply.
func (query *Query) take(now time.Time, pending *attempt, reply Reply) {
	query.verdict = query.verdict.With(verdict.Ran)
	query.observe(now, pending)
	for index, position := range pending.shards {
		shard := &query.shards[position]
		if shard.status == covered {
			continue
		}
		shard.status = covered
		shard.body = reply.Parts[index].Body
		query.covered++
	}
	query.cancelLosers(now, pending.shards)
}

func (query *Query) observe(now time.Time, pending *attempt) {
	took := now.Sub(pending.sentAt)
	query.fleet.latencies.add(took)
	pending.server.observeLatency(took)
}

// cancelLosers cancels the attempts of which no shard is open any more.
func (query *Query) cancelLosers(now time.Time, settled []int) {
	twins := false
	for _, position := range settled {
		twins = twins || query.shards[position].pending > 0
	}
	if !twins {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(query.attempts)) {
		if !query.needed(query.attempts[id]) {
			query.giveUpAttempt(now, id)
		}
	}
}

func (query *Query) needed(pending *attempt) bool {
	for _, position := range pending.shards {
		if query.shards[position].status == open {
			return true
		}
	}
	return false
}

// giveUpAttempt cancels a pending attempt, which may have run. Its latency is at
// least its age: leaving that out would make a server that never answers look
// like one that is not asked.
func (query *Query) giveUpAttempt(now time.Time, id AttemptID) {
	pending := query.attempts[id]
	if float64(now.Sub(pending.sentAt)) > pending.server.latency {
		query.observe(now, pending)
	}
	query.settle(id, pending)
	query.verdict = query.verdict.With(verdict.MayHaveRun)
	query.actions.Cancels = append(query.actions.Cancels, id)
}

// target is the number of shards that is enough after AnswerAfter, minimum the
// one under which there is no answer.
func (query *Query) target() int  { return atLeast(query.parameters.Target, len(query.shards)) }
func (query *Query) minimum() int { return atLeast(query.parameters.Minimum, len(query.shards)) }

// atLeast is the number of shards that makes up a fraction, one at least.
func atLeast(fraction float64, shards int) int {
	const tolerance = 1e-9
	wanted := int(math.Ceil(fraction*float64(shards) - tolerance))
	return min(max(wanted, 1), max(shards, 1))
}
