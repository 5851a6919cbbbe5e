package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/verdict"
)

func TestPlannerArrivals(t *testing.T) {
	is := is.New(t)
	options := DefaultLoadOptions()
	options.Rate, options.Duration, options.RepeatableShare = 1000, 20*time.Second, 0.25
	planner := newPlanner(options, "test")
	bodies := map[string]bool{}
	repeatable := 0
	var last time.Duration
	for query, more := planner.next(); more; query, more = planner.next() {
		is.True(query.offset >= last)
		is.Equal(len(query.body), options.BodyBytes)
		last = query.offset
		bodies[query.hash] = true
		if query.repeatable {
			repeatable++
		}
	}
	is.Equal(len(bodies), planner.count)
	is.True(math.Abs(float64(planner.count)-21000) < 1000) // Poisson: sigma is 145.
	is.True(math.Abs(float64(repeatable)/float64(planner.count)-0.25) < 0.02)
}

// correctAnswer returns an outcome, its answer and the matching record.
func correctAnswer(shards int) (*outcome, Answer, []backend.Execution) {
	body := []byte("query")
	hash := backend.Hash(body)
	result := &outcome{query: query{body: body, hash: hash}, status: 200}
	answer := Answer{RequestID: "r", Snapshot: 4, Verdict: verdict.Ran}
	answer.Coverage = AnswerCoverage{Shards: shards, Covered: shards}
	var record []backend.Execution
	for shard := range shards {
		id := v1.ShardID(shard)
		answer.Results = append(answer.Results, AnswerResult{Shard: id, Body: partBody(hash, id, 4)})
		record = append(record, backend.Execution{
			QueryHash: hash, Shards: []v1.ShardID{id}, Snapshot: 4, Outcome: backend.OutcomeCompleted,
		})
	}
	return result, answer, record
}

func partBody(hash string, shard v1.ShardID, snapshot int64) json.RawMessage {
	encoded, _ := json.Marshal(backend.PartBody{Shard: shard, Snapshot: snapshot, QueryHash: hash})
	return encoded
}

func TestCorrectAnswerHasNoFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		result, answer, record := correctAnswer(rapid.IntRange(1, 9).Draw(t, "shards"))
		result.recordAnswer(answer)
		result.checkExecutions(groupByQuery(record)[result.query.hash])
		if len(result.wrong) > 0 {
			t.Fatalf("unexpected faults: %v", result.wrong)
		}
	})
}

// TestEachFaultIsDetected introduces one fault at a random shard of a correct answer.
func TestEachFaultIsDetected(t *testing.T) {
	type change func(shard int, result *outcome, answer *Answer, record *[]backend.Execution)
	faults := map[string]struct {
		want   AnswerFault
		change change
	}{
		"part of another version": {FaultMixedVersions, func(shard int, result *outcome, answer *Answer, _ *[]backend.Execution) {
			answer.Results[shard].Body = partBody(result.query.hash, v1.ShardID(shard), 5)
		}},
		"part of another request": {FaultWrongBody, func(shard int, _ *outcome, answer *Answer, _ *[]backend.Execution) {
			answer.Results[shard].Body = partBody("other", v1.ShardID(shard), 4)
		}},
		"part of another shard": {FaultWrongBody, func(shard int, result *outcome, answer *Answer, _ *[]backend.Execution) {
			answer.Results[shard].Body = partBody(result.query.hash, v1.ShardID(shard+1), 4)
		}},
		"covered without result": {FaultFalseCoverage, func(shard int, _ *outcome, answer *Answer, _ *[]backend.Execution) {
			answer.Results = append(answer.Results[:shard], answer.Results[shard+1:]...)
		}},
		"missing and covered": {FaultFalseCoverage, func(shard int, _ *outcome, answer *Answer, _ *[]backend.Execution) {
			answer.Coverage.Missing = []MissingShard{{Shard: v1.ShardID(shard)}}
		}},
		"result not completed": {FaultFalseCoverage, func(shard int, _ *outcome, _ *Answer, record *[]backend.Execution) {
			(*record)[shard].Outcome = backend.OutcomeCanceled
		}},
		"result twice": {FaultFalseCoverage, func(shard int, _ *outcome, answer *Answer, _ *[]backend.Execution) {
			answer.Results = append(answer.Results, answer.Results[shard])
		}},
		"not run but ran": {FaultNotRunButRan, func(_ int, _ *outcome, answer *Answer, _ *[]backend.Execution) {
			answer.Verdict = verdict.NotRun
		}},
		"ran twice": {FaultRanTwice, func(shard int, _ *outcome, _ *Answer, record *[]backend.Execution) {
			*record = append(*record, (*record)[shard])
		}},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				shards := rapid.IntRange(1, 9).Draw(t, "shards")
				result, answer, record := correctAnswer(shards)
				fault.change(rapid.IntRange(0, shards-1).Draw(t, "shard"), result, &answer, &record)
				result.recordAnswer(answer)
				result.checkExecutions(groupByQuery(record)[result.query.hash])
				for _, wrong := range result.wrong {
					if wrong.Fault == fault.want {
						return
					}
				}
				t.Fatalf("want %s, got %v", fault.want, result.wrong)
			})
		})
	}
}

// TestBaselineAgainstFleet runs a load with a stopped server: coverage must drop below 1,
// and the record must show no extra load.
func TestBaselineAgainstFleet(t *testing.T) {
	is := is.New(t)
	fleetOptions := backend.DefaultOptions()
	fleetOptions.Time.Median = time.Millisecond
	fleet, err := backend.Start(fleetOptions)
	is.NoErr(err)
	defer fleet.Close()
	is.NoErr(fleet.SetFault(backend.Fault{Server: "sample-2", Kind: backend.FaultCrash}))
	options := DefaultLoadOptions()
	options.Warmup, options.Duration, options.SettleTime = 0, 500*time.Millisecond, 0
	report, err := Load(t.Context(), options, NewDirect(fleet.Describe(""), 1), fleetRecorder{fleet})
	is.NoErr(err)
	is.Equal(report.WrongAnswers, 0)
	is.True(report.Useful > 10)
	is.True(report.Coverage < 1)
	is.True(report.BackEnds.Ratio > 0.5 && report.BackEnds.Ratio < 1)
	var table bytes.Buffer
	is.NoErr(WriteTable(&table, []*Report{report}))
	is.True(strings.Contains(table.String(), fmt.Sprintf("%.4f", report.Coverage)))
}

type fleetRecorder struct{ fleet *backend.Fleet }

func (recorder fleetRecorder) Record(filter backend.RecordFilter) ([]backend.Execution, error) {
	return recorder.fleet.Record().Executions(filter), nil
}
