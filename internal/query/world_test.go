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

// world plays the owners and back ends of one query: it holds every attempt that
// was sent, lets it run or not, and replies late, twice, out of order or never.
type world struct {
	t      *rapid.T
	now    time.Time
	fleet  *Fleet
	query  *Query
	params Parameters

	// sent holds every attempt ever sent; open those without delivered reply.
	sent      map[AttemptID]*sentAttempt
	open      []AttemptID
	delivered []Reply
	versions  []int64
	// heldFrom is the oldest version that the back ends still hold.
	heldFrom int64
	firsts   int
	hedges   int
	answer   *Answer
}

type sentAttempt struct {
	send Send
	// mayRun stays true until the world has decided that it never ran.
	mayRun   bool
	canceled bool
}

var start = time.Unix(1000, 0)

const testDeadline = 100 * time.Millisecond

func newWorld(t *rapid.T) *world {
	world := &world{t: t, now: start, sent: make(map[AttemptID]*sentAttempt)}
	spec := drawSpec(t)
	world.fleet = NewFleet(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
	shardMap := world.fleet.Configure(1, spec)
	if rapid.Bool().Draw(t, "latency known") {
		for range 2 * latencyMinimum {
			world.fleet.latencies.add(2 * time.Millisecond)
		}
	}
	for _, server := range spec.Servers {
		world.observe(server.Name)
	}
	next := AttemptID(0)
	world.params = Parameters{
		Repeatable:  rapid.Bool().Draw(t, "repeatable"),
		AnswerAfter: start.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "answer after")) * time.Millisecond),
		Deadline:    start.Add(testDeadline),
		Minimum:     rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum"),
		Target:      1,
		Snapshot:    rapid.Int64Range(40, 42).Draw(t, "snapshot"),
		NextAttempt: func() AttemptID { next++; return next },
		Random:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
	}
	world.versions = []int64{world.params.Snapshot}
	world.query = New(world.fleet, shardMap, world.params)
	return world
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

// observe reports an arbitrary load of a server, so that versions switch and
// servers drain, are ejected and come back while the query runs.
func (world *world) observe(server string) {
	held := rapid.SampledFrom([][]int64{nil, {40, 41}, {41}, {41, 42}, {42}}).Draw(world.t, "held")
	world.fleet.Observe(world.now, server, Load{
		Queued:        rapid.IntRange(0, 20).Draw(world.t, "queued"),
		InFlight:      rapid.IntRange(0, 5).Draw(world.t, "in flight"),
		Window:        rapid.IntRange(1, 5).Draw(world.t, "window"),
		Wait:          time.Duration(rapid.SampledFrom([]int{0, 0, 1, 50, 300}).Draw(world.t, "wait")) * time.Millisecond,
		Draining:      rapid.IntRange(0, 5).Draw(world.t, "draining") == 0,
		Ejected:       rapid.IntRange(0, 3).Draw(world.t, "ejected") == 0,
		SnapshotsHeld: held,
	})
}

// apply carries out actions and checks each of them.
func (world *world) apply(actions Actions) {
	if world.answer != nil && (len(actions.Sends) > 0 || len(actions.Cancels) > 0 || actions.Answer != nil) {
		world.t.Fatalf("actions after the answer: %+v", actions)
	}
	for _, id := range actions.Cancels {
		attempt, ok := world.sent[id]
		if !ok || attempt.canceled {
			world.t.Fatalf("cancelled attempt %d that is not pending", id)
		}
		attempt.canceled = true
	}
	for _, send := range actions.Sends {
		world.checkSend(send)
		world.sent[send.Attempt] = &sentAttempt{send: send, mayRun: true}
		world.open = append(world.open, send.Attempt)
	}
	if actions.Answer != nil {
		world.answer = actions.Answer
		world.checkAnswer()
	}
}

func (world *world) checkSend(send Send) {
	if _, ok := world.sent[send.Attempt]; ok {
		world.t.Fatalf("attempt id %d used again", send.Attempt)
	}
	if !world.now.Before(world.params.Deadline) {
		world.t.Fatalf("attempt sent at the deadline")
	}
	if send.Server.removed {
		world.t.Fatalf("attempt sent to a server that the resource says is draining")
	}
	if last := world.versions[len(world.versions)-1]; send.Snapshot != last {
		world.versions = append(world.versions, send.Snapshot)
	}
	if len(world.versions) > 2 {
		world.t.Fatalf("restarted more than once: %v", world.versions)
	}
	world.checkOneShardMap(send)
	world.checkAtMostOnce(send)
	world.countExtra(send)
}

// checkOneShardMap: an attempt asks a server only for shards that the pinned map
// gives it.
func (world *world) checkOneShardMap(send Send) {
	for _, shard := range send.Shards {
		position, found := world.query.shardMap.index[shard]
		if !found || !slices.Contains(world.query.shardMap.Shards[position].Replicas, send.Server) {
			world.t.Fatalf("%s was asked for shard %d, against the map", send.Server.Name, shard)
		}
	}
}

// checkAtMostOnce: no shard of a request that is not repeatable is sent again
// while an earlier attempt of it may have run.
func (world *world) checkAtMostOnce(send Send) {
	if world.params.Repeatable {
		return
	}
	for _, shard := range send.Shards {
		for _, earlier := range world.sent {
			if earlier.mayRun && slices.Contains(earlier.send.Shards, shard) {
				world.t.Fatalf("shard %d of a request that is not repeatable sent twice", shard)
			}
		}
	}
}

// countExtra tells first attempts from hedges, which have a budget.
func (world *world) countExtra(send Send) {
	concurrent := false
	for _, shard := range send.Shards {
		for id, earlier := range world.sent {
			if !slices.Contains(earlier.send.Shards, shard) {
				continue
			}
			pending := slices.Contains(world.open, id) && !earlier.canceled
			concurrent = concurrent || pending
		}
	}
	if concurrent {
		world.hedges++
	} else {
		world.firsts++
	}
	if allowed := hedgeInitial + 0.05*float64(world.firsts); float64(world.hedges) > allowed {
		world.t.Fatalf("%d hedges for %d other attempts", world.hedges, world.firsts)
	}
}

func bodyOf(shard v1.ShardID, snapshot int64) []byte {
	return fmt.Appendf(nil, "shard %d snapshot %d", shard, snapshot)
}

// reply decides the fate of an attempt: whether it ran, and what is heard of it.
func (world *world) reply(attempt *sentAttempt) Reply {
	reply := Reply{Attempt: attempt.send.Attempt}
	refuse := func(code verdict.Code) {
		attempt.mayRun = false
		reply.Failure = verdict.New(verdict.NotRun, code, "refused")
		reply.Failure.RetryAfter = time.Duration(rapid.IntRange(0, 5).Draw(world.t, "retry after")) * time.Millisecond
	}
	if attempt.send.Snapshot < world.heldFrom {
		refuse(verdict.CodeVersionNotHeld)
		return reply
	}
	switch rapid.IntRange(0, 9).Draw(world.t, "fate") {
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
		world.parts(&reply, attempt.send.Shards, attempt.send.Snapshot+1)
	case 6:
		world.parts(&reply, attempt.send.Shards[:len(attempt.send.Shards)-1], attempt.send.Snapshot)
	default:
		world.parts(&reply, attempt.send.Shards, attempt.send.Snapshot)
	}
	return reply
}

func (world *world) parts(reply *Reply, shards []v1.ShardID, snapshot int64) {
	reply.Snapshot = snapshot
	for _, shard := range shards {
		reply.Parts = append(reply.Parts, Part{Shard: shard, Body: bodyOf(shard, snapshot)})
	}
}

// switchVersion takes every version up to the newest pinned one away.
func (world *world) switchVersion() {
	world.heldFrom = world.versions[len(world.versions)-1] + 1
	for index := range 5 {
		world.fleet.Observe(world.now, fmt.Sprint("s", index), Load{Window: 1, SnapshotsHeld: []int64{world.heldFrom}})
	}
}

// step lets one thing happen.
func (world *world) step() {
	switch kind := rapid.IntRange(0, 9).Draw(world.t, "event"); {
	case kind <= 4 && len(world.open) > 0:
		position := rapid.IntRange(0, len(world.open)-1).Draw(world.t, "which")
		id := world.open[position]
		world.open = slices.Delete(world.open, position, position+1)
		reply := world.reply(world.sent[id])
		world.delivered = append(world.delivered, reply)
		world.apply(world.query.Handle(world.now, reply))
	case kind == 5 && len(world.delivered) > 0:
		again := rapid.SampledFrom(world.delivered).Draw(world.t, "duplicate")
		world.apply(world.query.Handle(world.now, again))
	case kind == 6:
		world.observe(fmt.Sprint("s", rapid.IntRange(0, 4).Draw(world.t, "server")))
	case kind == 7 && world.heldFrom < 50:
		world.switchVersion()
	default:
		// A long step stands for a process that was frozen.
		pause := rapid.SampledFrom([]int{0, 1, 3, 10, 200}).Draw(world.t, "pause")
		world.now = world.now.Add(time.Duration(pause) * time.Millisecond)
		world.apply(world.query.Tick(world.now))
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
