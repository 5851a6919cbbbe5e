package query

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// checkAnswer checks the invariants of every answer.
func (s *simulation) checkAnswer() {
	s.checkOneVersion()
	s.checkCoverageIsTrue()
	s.checkNotRunIsTrue()
	for id, attempt := range s.sent {
		answered := false
		for _, reply := range s.delivered {
			answered = answered || reply.Attempt == id
		}
		if !attempt.canceled && !answered {
			s.t.Fatalf("attempt %d was left pending at the answer", id)
		}
	}
}

// checkOneVersion checks that every answer reflects one snapshot of the index: each
// part is the one that its shard returned at the answer's snapshot.
func (s *simulation) checkOneVersion() {
	for _, part := range s.answer.Parts {
		if !bytes.Equal(part.Body, bodyOf(part.Shard, s.answer.Snapshot)) {
			s.t.Fatalf("snapshot %d, shard %d has the part %q", s.answer.Snapshot, part.Shard, part.Body)
		}
	}
}

// checkCoverageIsTrue checks that every answer reports its coverage correctly: each
// shard appears once, either with its part, or as missing with a reason.
func (s *simulation) checkCoverageIsTrue() {
	answer := s.answer
	seen := make(map[v1.ShardID]bool)
	for _, part := range answer.Parts {
		if seen[part.Shard] {
			s.t.Fatalf("shard %d stands twice in the answer", part.Shard)
		}
		seen[part.Shard] = true
	}
	for _, missing := range answer.Missing {
		if seen[missing.Shard] || missing.Reason == "" {
			s.t.Fatalf("missing %+v, covered %v", missing, seen[missing.Shard])
		}
		seen[missing.Shard] = true
	}
	if len(seen) != answer.Shards {
		s.t.Fatalf("the answer speaks of %d of %d shards", len(seen), answer.Shards)
	}
	if covered := answer.Shards - len(answer.Missing); (answer.Failure == nil) != (covered >= s.query.minimum()) {
		s.t.Fatalf("covered %d, want %d, failure %v", covered, s.query.minimum(), answer.Failure)
	}
}

// checkNotRunIsTrue checks that a request refused as not run did not and will not run
// on any back end, and that a request refused by all servers is reported as not run. A
// cancelled attempt counts as one that may run, whatever its actual result.
func (s *simulation) checkNotRunIsTrue() {
	mayRun := false
	for _, attempt := range s.sent {
		mayRun = mayRun || attempt.mayRun || attempt.canceled
	}
	if mayRun == (s.answer.Verdict == verdict.NotRun) {
		s.t.Fatalf("verdict %v, some attempt may run: %v", s.answer.Verdict, mayRun)
	}
	if failure := s.answer.Failure; failure != nil && (failure.Verdict != s.answer.Verdict || failure.RetryAfter <= 0) {
		s.t.Fatalf("failure %+v of an answer %v", failure, s.answer.Verdict)
	}
}

// TestQueryUnderFailure runs queries under loss, delay, duplication, reordering,
// refusal, freezes and version switches; simulation.apply does the checks.
func TestQueryUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.apply(s.query.Start(s.now))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			s.step()
			if s.answer == nil && len(s.query.attempts) == 0 && s.query.scheduledRetries == 0 {
				t.Fatalf("nothing is under way and there is no answer")
			}
		}
		if s.answer == nil {
			s.now = s.params.Deadline
			s.apply(s.query.Tick(s.now))
		}
		if s.answer == nil {
			t.Fatalf("no answer at the deadline")
		}
		// Events after the answer have no effect.
		for _, id := range s.unanswered {
			s.apply(s.query.HandleReply(s.now, s.reply(s.sent[id])))
		}
	})
}

// A shard is not skipped because all its replicas look unhealthy: while one that
// the resource lists may hold the version, an attempt is sent.
func TestNeverAllReplicasSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		actions := s.query.Start(s.now)
		asked := make(map[v1.ShardID]bool)
		for _, send := range actions.Sends {
			for _, shard := range send.Shards {
				asked[shard] = true
			}
		}
		if actions.Answer != nil || len(s.versions) > 1 || s.query.Snapshot() != s.params.Snapshot {
			return
		}
		for _, shard := range s.query.shardMap.Shards {
			for _, server := range shard.Replicas {
				if rank := server.rank(s.now, s.params.Snapshot); rank <= replicaVersionNotReported && !asked[shard.ID] {
					t.Fatalf("shard %d was not asked though %s stands at %d", shard.ID, server.Name, rank)
				}
			}
		}
	})
}

// twoReplicas returns a query of a service with one shard at two servers.
func twoReplicas(repeatable bool) (*Query, *Fleet) { return pairs(1, repeatable) }

// pairs returns a query of a service in which every shard has two servers of its own.
func pairs(shards int, repeatable bool) (*Query, *Fleet) {
	spec := &v1.QueryServiceSpec{
		Coverage: v1.Coverage{Target: 1},
		Hedging:  v1.Hedging{Budget: 0.05, Quantile: 0.95},
	}
	for index := range shards {
		names := []string{fmt.Sprint("s", 2*index), fmt.Sprint("s", 2*index+1)}
		spec.Servers = append(spec.Servers, v1.Server{Name: names[0]}, v1.Server{Name: names[1]})
		spec.Shards = append(spec.Shards, v1.Shard{ID: v1.ShardID(index), Replicas: names})
	}
	fleet := NewFleet("")
	shardMap := fleet.Configure(1, spec)
	for range minLatencySamples {
		fleet.latencies.add(time.Millisecond)
	}
	for _, server := range spec.Servers {
		fleet.ObserveLoad(start, server.Name, Load{Window: 1, SnapshotsHeld: []int64{41}})
	}
	next := AttemptID(0)
	return New(fleet, shardMap, Parameters{
		Repeatable:  repeatable,
		AnswerAfter: start.Add(testDeadline),
		Deadline:    start.Add(testDeadline),
		Minimum:     1,
		Target:      1,
		Snapshot:    41,
		NextAttempt: func() AttemptID { next++; return next },
		Random:      newRandom(),
	}), fleet
}

func TestHedgeWinsAndLoserIsCancelled(t *testing.T) {
	is := is.New(t)
	query, _ := twoReplicas(true)
	sent := query.Start(start)
	is.Equal(len(sent.Sends), 1)
	is.True(query.NextTick().Before(start.Add(5 * time.Millisecond)))
	hedged := query.Tick(query.NextTick())
	is.Equal(len(hedged.Sends), 1)
	is.True(hedged.Sends[0].Server != sent.Sends[0].Server)
	won := query.HandleReply(start.Add(3*time.Millisecond), Reply{Attempt: hedged.Sends[0].Attempt, Snapshot: 41, Parts: []Part{{Shard: 0, Body: bodyOf(0, 41)}}})
	is.Equal(won.Cancels, []AttemptID{sent.Sends[0].Attempt})
	is.True(won.Answer != nil)
	late := query.HandleReply(start.Add(4*time.Millisecond), Reply{Attempt: sent.Sends[0].Attempt, Snapshot: 41, Parts: []Part{{Shard: 0}}})
	is.Equal(late, Actions{})
	is.Equal(query.Counts().StaleReplies, 1)
}

// A hedge is sent to an ejected replica only if the slow server itself is full.
func TestHedgeFallsBackToSameServer(t *testing.T) {
	is := is.New(t)
	query, fleet := twoReplicas(true)
	sent := query.Start(start)
	slow := sent.Sends[0].Server
	fleet.EachServer(func(server *Server) {
		if server != slow {
			fleet.ObserveLoad(start, server.Name, Load{Window: 4, Ejected: true, SnapshotsHeld: []int64{41}})
		}
	})
	hedged := query.Tick(query.NextTick())
	is.Equal(len(hedged.Sends), 1)
	is.Equal(hedged.Sends[0].Server.Name, slow.Name)
	is.True(hedged.Sends[0].Attempt != sent.Sends[0].Attempt)
}

// A hedge may be slow as well: there is a second hedge, and no third.
func TestSecondHedgeIsTheLast(t *testing.T) {
	is := is.New(t)
	query, fleet := twoReplicas(true)
	fleet.hedges.tokens = 10
	sends := len(query.Start(start).Sends)
	for now := query.NextTick(); now.Before(start.Add(testDeadline)); now = query.NextTick() {
		sends += len(query.Tick(now).Sends)
	}
	is.Equal(sends, 1+maxHedges)
	last := query.Tick(start.Add(testDeadline))
	is.Equal(len(last.Cancels), 1+maxHedges)
	is.Equal(last.Answer.Failure.Code, verdict.CodeDeadline)
}

// A hedge refused at once is replaced at once, at the server that is slow.
func TestRefusedHedgeIsReplaced(t *testing.T) {
	is := is.New(t)
	query, _ := twoReplicas(true)
	sent := query.Start(start)
	now := query.NextTick()
	hedged := query.Tick(now)
	is.Equal(len(hedged.Sends), 1)
	again := query.HandleReply(now, Reply{Attempt: hedged.Sends[0].Attempt, Failure: verdict.New(verdict.NotRun, verdict.CodeUnreachable, "refused")})
	is.Equal(len(again.Sends), 1)
	is.Equal(again.Sends[0].Server.Name, sent.Sends[0].Server.Name)
	last := query.HandleReply(now, Reply{Attempt: again.Sends[0].Attempt, Failure: verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")})
	is.Equal(len(last.Sends), 0)
	is.True(last.Answer == nil) // the first attempt is still in flight
}

// The failure code is that of the shards that failed, not of the attempts
// cancelled as a consequence.
func TestFailureNamesItsCause(t *testing.T) {
	is := is.New(t)
	query, _ := pairs(5, false)
	sent := query.Start(start)
	done := query.HandleReply(start, Reply{Attempt: sent.Sends[0].Attempt, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeLost, "lost")})
	is.Equal(done.Answer.Failure.Code, verdict.CodeLost)
	is.Equal(len(done.Cancels), 4)
}

// First attempts earn the budget of hedges, and a slower duplicate is cancelled
// while other shards are still open.
func TestHedgesStayWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	const shards = 100
	query, _ := pairs(shards, true)
	sent := query.Start(start)
	is.Equal(len(sent.Sends), shards)
	hedged := query.Tick(query.NextTick())
	is.Equal(len(hedged.Sends), hedgeInitial+shards/20)
	shard := hedged.Sends[0].Shards[0]
	won := query.HandleReply(start.Add(3*time.Millisecond), Reply{Attempt: hedged.Sends[0].Attempt, Snapshot: 41, Parts: []Part{{Shard: shard, Body: bodyOf(shard, 41)}}})
	is.True(won.Answer == nil)
	is.Equal(won.Cancels, []AttemptID{sent.Sends[shard].Attempt})
}

func TestNotRepeatableIsNotHedged(t *testing.T) {
	is := is.New(t)
	query, _ := twoReplicas(false)
	query.Start(start)
	is.Equal(query.NextTick(), start.Add(testDeadline))
	is.Equal(len(query.Tick(start.Add(testDeadline/2)).Sends), 0)
}

// No replica holds the version any more: the query restarts once at the version
// that they hold now.
func TestRestartAtCommonVersion(t *testing.T) {
	is := is.New(t)
	query, fleet := twoReplicas(false)
	sent := query.Start(start)
	for _, server := range []string{"s0", "s1"} {
		fleet.ObserveLoad(start, server, Load{Window: 1, SnapshotsHeld: []int64{42}})
	}
	now := start
	var actions Actions
	for attempt := sent.Sends[0]; attempt.Snapshot == 41; now = now.Add(time.Millisecond) {
		actions = query.HandleReply(now, Reply{Attempt: attempt.Attempt, Failure: verdict.New(verdict.NotRun, verdict.CodeVersionNotHeld, "held: 42")})
		for len(actions.Sends) == 0 && actions.Answer == nil {
			now = query.NextTick()
			actions = query.Tick(now)
		}
		is.True(actions.Answer == nil)
		attempt = actions.Sends[0]
	}
	is.Equal(actions.Sends[0].Snapshot, int64(42))
	done := query.HandleReply(now, Reply{Attempt: actions.Sends[0].Attempt, Snapshot: 42, Parts: []Part{{Shard: 0, Body: bodyOf(0, 42)}}})
	is.Equal(done.Answer.Snapshot, int64(42))
	is.Equal(done.Answer.Failure, nil)
}

// Servers that get no attempts report nothing newer than their lagging load
// endpoint, so a shard whose version no server reports is requested anyway.
func TestUnreportedVersionIsRequested(t *testing.T) {
	is := is.New(t)
	query, fleet := pairs(2, true)
	for _, server := range []string{"s2", "s3"} {
		fleet.ObserveLoad(start, server, Load{Window: 1, SnapshotsHeld: []int64{38, 39}})
	}
	sent := query.Start(start)
	is.Equal(len(sent.Sends), 2)
	is.Equal(sent.Sends[1].Snapshot, int64(41))
}

// A query that is not repeatable is not restarted once an attempt may have run.
func TestNoRestartAfterItMayHaveRun(t *testing.T) {
	is := is.New(t)
	query, fleet := pairs(2, false)
	query.parameters.Minimum = 0
	sent := query.Start(start)
	query.HandleReply(start, Reply{Attempt: sent.Sends[0].Attempt, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeLost, "lost")})
	for index := range 4 {
		fleet.ObserveLoad(start, fmt.Sprint("s", index), Load{Window: 1, SnapshotsHeld: []int64{42}})
	}
	notHeld := verdict.New(verdict.NotRun, verdict.CodeVersionNotHeld, "held: 42")
	done := query.HandleReply(start, Reply{Attempt: sent.Sends[1].Attempt, Failure: notHeld})
	is.Equal(len(done.Sends), 0)
	is.Equal(done.Answer.Verdict, verdict.MayHaveRun)
	is.Equal(done.Answer.Missing, []Missing{{Shard: 0, Reason: verdict.CodeLost}, {Shard: 1, Reason: verdict.CodeVersionNotHeld}})
}

// A request refused by every replica is answered at once.
func TestRefusedEverywhereAnswersAtOnce(t *testing.T) {
	is := is.New(t)
	query, _ := twoReplicas(false)
	actions := query.Start(start)
	for range 2 {
		is.Equal(len(actions.Sends), 1)
		failure := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")
		failure.RetryAfter = 70 * time.Millisecond
		actions = query.HandleReply(start, Reply{Attempt: actions.Sends[0].Attempt, Failure: failure})
	}
	is.Equal(actions.Answer.Verdict, verdict.NotRun)
	is.Equal(actions.Answer.Failure.Code, verdict.CodeOverloaded)
	is.True(actions.Answer.Failure.RetryAfter >= 70*time.Millisecond)
}

// A query is refused before anything is sent if the queues are full or longer than
// its timeout. A reported queue is assumed to shrink with the age of the report.
func TestRefusesBeforeSendingWhenQueuesAreLong(t *testing.T) {
	long := Load{Queued: 9, Window: 1, Wait: testDeadline, SnapshotsHeld: []int64{41}}
	full := Load{Queued: 60, Window: 1, Wait: testDeadline / 4, SnapshotsHeld: []int64{41}}
	short := Load{Window: 1, SnapshotsHeld: []int64{41}}
	tests := map[string]struct {
		loads   [2]Load
		age     time.Duration
		refused bool
	}{
		"both long":          {[2]Load{long, long}, 0, true},
		"both full":          {[2]Load{full, full}, 0, true},
		"one long, one full": {[2]Load{long, full}, 0, true},
		"one short":          {[2]Load{full, short}, 0, false},
		"long, a while ago":  {[2]Load{long, long}, testDeadline / 2, false},
		"full, a while ago":  {[2]Load{full, full}, testDeadline / 8, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			query, fleet := twoReplicas(false)
			fleet.queueLimit = 64
			for index, load := range test.loads {
				fleet.ObserveLoad(start.Add(-test.age), fmt.Sprint("s", index), load)
			}
			actions := query.Start(start)
			is.Equal(len(actions.Sends) == 0, test.refused)
			if !test.refused {
				return
			}
			is.Equal(actions.Answer.Verdict, verdict.NotRun)
			is.Equal(actions.Answer.Failure.Code, verdict.CodeOverloaded)
			is.True(actions.Answer.Failure.RetryAfter >= testDeadline/4)
		})
	}
}
