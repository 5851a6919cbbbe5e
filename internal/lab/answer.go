package lab

import (
	"encoding/json"
	"fmt"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/verdict"
)

// Answer is the body of a gateway's response.
type Answer struct {
	RequestID string          `json:"requestId"`
	Service   string          `json:"service"`
	Revision  int64           `json:"revision"`
	Snapshot  int64           `json:"snapshot"`
	Verdict   verdict.Verdict `json:"verdict"`
	Coverage  AnswerCoverage  `json:"coverage"`
	Results   []AnswerResult  `json:"results"`
}

// AnswerCoverage describes which shards an answer covers.
type AnswerCoverage struct {
	Shards  int            `json:"shards"`
	Covered int            `json:"covered"`
	Missing []MissingShard `json:"missing"`
}

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Shard  v1.ShardID   `json:"shard"`
	Reason verdict.Code `json:"reason"`
}

// AnswerResult is the result of one shard.
type AnswerResult struct {
	Shard v1.ShardID      `json:"shard"`
	Body  json.RawMessage `json:"body"`
}

// AnswerFault is a kind of wrong answer.
type AnswerFault string

// The values of AnswerFault. Each violates an invariant of driftstage.
const (
	// FaultMixedVersions is an answer with parts of several index versions.
	FaultMixedVersions AnswerFault = "mixed-versions"
	// FaultWrongBody is an answer with a part for another request or shard.
	FaultWrongBody AnswerFault = "foreign-body"
	// FaultFalseCoverage is a coverage that does not match the results, or
	// names a shard that no back end completed.
	FaultFalseCoverage AnswerFault = "false-coverage"
	// FaultNotRunButRan is a query reported as not run that a back end ran.
	FaultNotRunButRan AnswerFault = "not-run-but-ran"
	// FaultRanTwice is a non-repeatable query that ran twice on a shard.
	FaultRanTwice AnswerFault = "ran-twice"
	// FaultMalformed is an answer that cannot be decoded.
	FaultMalformed AnswerFault = "unreadable"
)

// Wrong is one wrong answer.
type Wrong struct {
	Fault     AnswerFault `json:"fault"`
	RequestID string      `json:"requestId"`
	QueryHash string      `json:"queryHash"`
	Detail    string      `json:"detail"`
}

// outcome is the result of one query as seen by its caller.
type outcome struct {
	query query
	// sentAt is when the query was sent.
	sentAt time.Time
	// status is the HTTP status; zero for no answer.
	status  int
	verdict verdict.Verdict
	latency time.Duration
	// requestID is empty for no answer.
	requestID string
	shards    int
	covered   []v1.ShardID
	snapshot  int64
	failure   string
	wrong     []Wrong
}

func (outcome *outcome) addFault(fault AnswerFault, format string, args ...any) {
	outcome.wrong = append(outcome.wrong, Wrong{
		Fault:     fault,
		RequestID: outcome.requestID,
		QueryHash: outcome.query.hash,
		Detail:    fmt.Sprintf(format, args...),
	})
}

// recordAnswer checks the answer for consistency with itself and with the query, and stores
// what checkExecutions needs.
func (outcome *outcome) recordAnswer(answer Answer) {
	outcome.requestID = answer.RequestID
	outcome.verdict = answer.Verdict
	outcome.shards = answer.Coverage.Shards
	outcome.snapshot = answer.Snapshot
	seen := map[v1.ShardID]bool{}
	for _, result := range answer.Results {
		if seen[result.Shard] {
			outcome.addFault(FaultFalseCoverage, "shard %d is there twice", result.Shard)
		}
		seen[result.Shard] = true
		outcome.covered = append(outcome.covered, result.Shard)
		outcome.checkResult(answer, result)
	}
	outcome.checkCoverage(answer.Coverage, seen)
}

func (outcome *outcome) checkResult(answer Answer, result AnswerResult) {
	var part backend.PartBody
	if err := json.Unmarshal(result.Body, &part); err != nil {
		outcome.addFault(FaultMalformed, "result of shard %d: %v", result.Shard, err)
		return
	}
	if part.QueryHash != outcome.query.hash || part.Shard != result.Shard {
		outcome.addFault(FaultWrongBody, "result of shard %d is of shard %d, request %s", result.Shard, part.Shard, part.RequestID)
	}
	if part.Snapshot != answer.Snapshot {
		outcome.addFault(FaultMixedVersions, "result of shard %d is of version %d, answer says %d", result.Shard, part.Snapshot, answer.Snapshot)
	}
}

func (outcome *outcome) checkCoverage(coverage AnswerCoverage, seen map[v1.ShardID]bool) {
	if coverage.Covered != len(seen) {
		outcome.addFault(FaultFalseCoverage, "says %d covered, has %d results", coverage.Covered, len(seen))
	}
	missing := map[v1.ShardID]bool{}
	for _, shard := range coverage.Missing {
		if seen[shard.Shard] {
			outcome.addFault(FaultFalseCoverage, "shard %d is both missing and there", shard.Shard)
		}
		missing[shard.Shard] = true
	}
	if coverage.Covered+len(missing) != coverage.Shards {
		outcome.addFault(FaultFalseCoverage, "%d covered and %d missing of %d shards", coverage.Covered, len(missing), coverage.Shards)
	}
}
