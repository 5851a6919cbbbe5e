package query

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
	"pgregory.net/rapid"
)

// simulation simulates the owners and back ends of one query: it records every attempt
// sent, runs it or not, and replies late, twice, out of order or never.
type simulation struct {
	t      *rapid.T
	now    time.Time
	fleet  *Fleet
	query  *Query
	params Parameters

	// sent holds every attempt ever sent; unanswered those without a delivered reply.
	sent       map[AttemptID]*sentAttempt
	unanswered []AttemptID
	delivered  []Reply
	versions   []int64
	// heldFrom is the oldest version that the back ends still hold.
	heldFrom      int64
	otherAttempts int
	hedges        int
	answer        *Answer
}

type sentAttempt struct {
	send Send
	// mayRun is true until the simulation has decided that the attempt never ran.
	mayRun   bool
	canceled bool
}

var start = time.Unix(1000, 0)

const testDeadline = 100 * time.Millisecond

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: start, sent: make(map[AttemptID]*sentAttempt)}
	spec := drawSpec(t)
	s.fleet = NewFleet(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
	shardMap := s.fleet.Configure(1, spec)
	if rapid.Bool().Draw(t, "latency known") {
		for range 2 * minLatencySamples {
			s.fleet.latencies.add(2 * time.Millisecond)
		}
	}
	for _, server := range spec.Servers {
		s.observe(server.Name)
	}
	next := AttemptID(0)
	s.params = Parameters{
		Repeatable:  rapid.Bool().Draw(t, "repeatable"),
		AnswerAfter: start.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "answer after")) * time.Millisecond),
		Deadline:    start.Add(testDeadline),
		Minimum:     rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum"),
		Target:      1,
		Snapshot:    rapid.Int64Range(40, 42).Draw(t, "snapshot"),
		NextAttempt: func() AttemptID { next++; return next },
		Random:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
	}
	s.versions = []int64{s.params.Snapshot}
	s.query = New(s.fleet, shardMap, s.params)
	return s
}

func drawSpec(t *rapid.T) *v1.QueryServiceSpec {
	servers := rapid.IntRange(1, 5).Draw(t, "servers")
	spec := &v1.QueryServiceSpec{
		Coverage: v1.Coverage{Target: 1},
		Hedging:  v1.Hedging{Budget: 0.05, Quantile: 0.95},
	}
	for index := range servers {
		spec.Servers = append(spec.Servers, v1.Server{
			Name:     fmt.Sprint("s", index),
			Zone:     []string{"a", "b"}[index%2],
			Draining: rapid.IntRange(0, 9).Draw(t, "removed") == 0,
		})
	}
	for index := range rapid.IntRange(1, 6).Draw(t, "shards") {
		shard := v1.Shard{ID: v1.ShardID(index * 10)}
		for replica := range rapid.IntRange(1, min(3, servers)).Draw(t, "replicas") {
			shard.Replicas = append(shard.Replicas, spec.Servers[(index+replica)%servers].Name)
		}
		spec.Shards = append(spec.Shards, shard)
	}
	return spec
}

// observe reports an arbitrary load of a server, so that versions change and
// servers drain, are ejected and recover while the query runs.
func (s *simulation) observe(server string) {
	held := rapid.SampledFrom([][]int64{nil, {40, 41}, {41}, {41, 42}, {42}}).Draw(s.t, "held")
	s.fleet.ObserveLoad(s.now, server, Load{
		Queued:        rapid.IntRange(0, 20).Draw(s.t, "queued"),
		InFlight:      rapid.IntRange(0, 5).Draw(s.t, "in flight"),
		Window:        rapid.IntRange(1, 5).Draw(s.t, "window"),
		Wait:          time.Duration(rapid.SampledFrom([]int{0, 0, 1, 50, 300}).Draw(s.t, "wait")) * time.Millisecond,
		Draining:      rapid.IntRange(0, 5).Draw(s.t, "draining") == 0,
		Ejected:       rapid.IntRange(0, 3).Draw(s.t, "ejected") == 0,
		SnapshotsHeld: held,
	})
}

// apply performs actions and checks each of them.
func (s *simulation) apply(actions Actions) {
	if s.answer != nil && (len(actions.Sends) > 0 || len(actions.Cancels) > 0 || actions.Answer != nil) {
		s.t.Fatalf("actions after the answer: %+v", actions)
	}
	for _, id := range actions.Cancels {
		attempt, ok := s.sent[id]
		if !ok || attempt.canceled {
			s.t.Fatalf("cancelled attempt %d that is not pending", id)
		}
		attempt.canceled = true
	}
	for _, send := range actions.Sends {
		s.checkSend(send)
		s.sent[send.Attempt] = &sentAttempt{send: send, mayRun: true}
		s.unanswered = append(s.unanswered, send.Attempt)
	}
	if actions.Answer != nil {
		s.answer = actions.Answer
		s.checkAnswer()
	}
}

func (s *simulation) checkSend(send Send) {
	if _, ok := s.sent[send.Attempt]; ok {
		s.t.Fatalf("attempt id %d used again", send.Attempt)
	}
	if !s.now.Before(s.params.Deadline) {
		s.t.Fatalf("attempt sent at the deadline")
	}
	if send.Server.removed {
		s.t.Fatalf("attempt sent to a server that the resource says is draining")
	}
	if last := s.versions[len(s.versions)-1]; send.Snapshot != last {
		s.versions = append(s.versions, send.Snapshot)
	}
	if len(s.versions) > 2 {
		s.t.Fatalf("restarted more than once: %v", s.versions)
	}
	s.checkOneShardMap(send)
	s.checkAtMostOnce(send)
	s.countHedges(send)
}

// checkOneShardMap checks that an attempt contains only shards that the pinned map
// assigns to its server.
func (s *simulation) checkOneShardMap(send Send) {
	for _, shard := range send.Shards {
		position, found := s.query.shardMap.index[shard]
		if !found || !slices.Contains(s.query.shardMap.Shards[position].Replicas, send.Server) {
			s.t.Fatalf("%s was asked for shard %d, against the map", send.Server.Name, shard)
		}
	}
}

// checkAtMostOnce checks that no shard of a request that is not repeatable is sent
// again while an earlier attempt at it may have run.
func (s *simulation) checkAtMostOnce(send Send) {
	if s.params.Repeatable {
		return
	}
	for _, shard := range send.Shards {
		for _, earlier := range s.sent {
			if earlier.mayRun && slices.Contains(earlier.send.Shards, shard) {
				s.t.Fatalf("shard %d of a request that is not repeatable sent twice", shard)
			}
		}
	}
}

// countHedges counts hedges and other attempts and checks the hedge budget.
func (s *simulation) countHedges(send Send) {
	concurrent := false
	for _, shard := range send.Shards {
		for id, earlier := range s.sent {
			if !slices.Contains(earlier.send.Shards, shard) {
				continue
			}
			pending := slices.Contains(s.unanswered, id) && !earlier.canceled
			concurrent = concurrent || pending
		}
	}
	if concurrent {
		s.hedges++
	} else {
		s.otherAttempts++
	}
	if allowed := hedgeInitial + 0.05*float64(s.otherAttempts); float64(s.hedges) > allowed {
		s.t.Fatalf("%d hedges for %d other attempts", s.hedges, s.otherAttempts)
	}
}

func bodyOf(shard v1.ShardID, snapshot int64) []byte {
	return fmt.Appendf(nil, "shard %d snapshot %d", shard, snapshot)
}

// reply decides the result of an attempt: whether it ran, and the reply.
func (s *simulation) reply(attempt *sentAttempt) Reply {
	reply := Reply{Attempt: attempt.send.Attempt}
	refuse := func(code verdict.Code) {
		attempt.mayRun = false
		reply.Failure = verdict.New(verdict.NotRun, code, "refused")
		reply.Failure.RetryAfter = time.Duration(rapid.IntRange(0, 5).Draw(s.t, "retry after")) * time.Millisecond
	}
	if attempt.send.Snapshot < s.heldFrom {
		refuse(verdict.CodeVersionNotHeld)
		return reply
	}
	switch rapid.IntRange(0, 9).Draw(s.t, "fate") {
	case 0:
		refuse(verdict.CodeShed)
	case 1:
		refuse(verdict.CodeVersionNotHeld)
	case 2:
		refuse(verdict.CodeUnreachable)
	case 3:
		reply.Failure = verdict.New(verdict.MayHaveRun, verdict.CodeLost, "lost")
	case 4:
		reply.Failure = verdict.New(verdict.Ran, verdict.CodeBadReply, "truncated")
	case 5:
		s.parts(&reply, attempt.send.Shards, attempt.send.Snapshot+1)
	case 6:
		s.parts(&reply, attempt.send.Shards[:len(attempt.send.Shards)-1], attempt.send.Snapshot)
	default:
		s.parts(&reply, attempt.send.Shards, attempt.send.Snapshot)
	}
	return reply
}

func (s *simulation) parts(reply *Reply, shards []v1.ShardID, snapshot int64) {
	reply.Snapshot = snapshot
	for _, shard := range shards {
		reply.Parts = append(reply.Parts, Part{Shard: shard, Body: bodyOf(shard, snapshot)})
	}
}

// switchVersion removes every version up to the newest pinned one from all servers.
func (s *simulation) switchVersion() {
	s.heldFrom = s.versions[len(s.versions)-1] + 1
	for index := range 5 {
		s.fleet.ObserveLoad(s.now, fmt.Sprint("s", index), Load{Window: 1, SnapshotsHeld: []int64{s.heldFrom}})
	}
}

// step performs one random event.
func (s *simulation) step() {
	switch kind := rapid.IntRange(0, 9).Draw(s.t, "event"); {
	case kind <= 4 && len(s.unanswered) > 0:
		position := rapid.IntRange(0, len(s.unanswered)-1).Draw(s.t, "which")
		id := s.unanswered[position]
		s.unanswered = slices.Delete(s.unanswered, position, position+1)
		reply := s.reply(s.sent[id])
		s.delivered = append(s.delivered, reply)
		s.apply(s.query.HandleReply(s.now, reply))
	case kind == 5 && len(s.delivered) > 0:
		again := rapid.SampledFrom(s.delivered).Draw(s.t, "duplicate")
		s.apply(s.query.HandleReply(s.now, again))
	case kind == 6:
		s.observe(fmt.Sprint("s", rapid.IntRange(0, 4).Draw(s.t, "server")))
	case kind == 7 && s.heldFrom < 50:
		s.switchVersion()
	default:
		// A long pause simulates a frozen process.
		pause := rapid.SampledFrom([]int{0, 1, 3, 10, 200}).Draw(s.t, "pause")
		s.now = s.now.Add(time.Duration(pause) * time.Millisecond)
		s.apply(s.query.Tick(s.now))
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
