package query

import (
	"math/rand/v2"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

// AttemptID identifies one attempt; it is unique within a gateway process.
type AttemptID int64

// Parameters combines the caller's options with the service's settings.
type Parameters struct {
	Repeatable bool
	// AnswerAfter is the time from which the target coverage is sufficient.
	AnswerAfter time.Time
	// Deadline is when the answer is returned in any case.
	Deadline time.Time
	// Minimum and Target are fractions of the shards.
	Minimum float64
	Target  float64
	// Snapshot is the index version to pin.
	Snapshot int64
	// NextAttempt returns the id of the next attempt.
	NextAttempt func() AttemptID
	// Random is the source of all random choices.
	Random *rand.Rand
}

// Part is the answer of one shard.
type Part struct {
	Shard v1.ShardID
	Body  []byte
}

// Reply is the result of an attempt: its parts, or a failure.
type Reply struct {
	Attempt  AttemptID
	Failure  *verdict.Error
	Snapshot int64
	Parts    []Part
}

// Actions is what the caller must do after a step.
type Actions struct {
	Sends   []Send
	Cancels []AttemptID
	// Answer is not nil when the query is finished.
	Answer *Answer
}

// Send requests that one attempt be sent.
type Send struct {
	Attempt  AttemptID
	Server   *Server
	Shards   []v1.ShardID
	Snapshot int64
	Deadline time.Time
}

// Missing is a shard without a part in the answer.
type Missing struct {
	Shard  v1.ShardID
	Reason verdict.Code
}

// Answer is the outcome of a query.
type Answer struct {
	Snapshot int64
	Verdict  verdict.Verdict
	// Shards is the number of shards of the pinned map.
	Shards  int
	Missing []Missing
	Parts   []Part
	// Failure is nil when the coverage is enough; Parts is empty otherwise.
	Failure *verdict.Error
}

// Counts are a query's counters, for metrics.
type Counts struct {
	// First, Retries, Hedges and Restarts count attempts by purpose;
	// Restarts counts first attempts at a second version.
	First    int
	Retries  int
	Hedges   int
	Restarts int
	// RetriesOverBudget and HedgesOverBudget count attempts not sent because the budget was empty.
	RetriesOverBudget int
	HedgesOverBudget  int
	// StaleReplies counts replies dropped because their attempt was not pending.
	StaleReplies int
}
