package query

import (
	"math/rand/v2"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

// AttemptID names one attempt; it is never used again by one gateway process.
type AttemptID int64

// Parameters are what a caller asks for, joined with the service's settings.
type Parameters struct {
	Repeatable bool
	// AnswerAfter is when the target coverage becomes enough.
	AnswerAfter time.Time
	// Deadline is when the answer goes out in any case.
	Deadline time.Time
	// Minimum and Target are fractions of the shards.
	Minimum float64
	Target  float64
	// Snapshot is the index version to pin.
	Snapshot int64
	// NextAttempt gives out the ids of attempts.
	NextAttempt func() AttemptID
	// Random is the source of all choices by chance.
	Random *rand.Rand
}

// Part is the answer of one shard.
type Part struct {
	Shard v1.ShardID
	Body  []byte
}

// Reply is the end of an attempt: its parts, or a failure.
type Reply struct {
	Attempt  AttemptID
	Failure  *verdict.Error
	Snapshot int64
	Parts    []Part
}

// Actions is what a step decided.
type Actions struct {
	Sends   []Send
	Cancels []AttemptID
	// Answer ends the query when it is not nil.
	Answer *Answer
}

// Send asks for one attempt.
type Send struct {
	Attempt  AttemptID
	Server   *Server
	Shards   []v1.ShardID
	Snapshot int64
	Deadline time.Time
}

// Missing is a shard without part in the answer.
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

// Counts is what a query has done, for metrics.
type Counts struct {
	// First, Retries, Hedges and Restarted count attempts by what they were for;
	// Restarted are first attempts at a second version.
	First     int
	Retries   int
	Hedges    int
	Restarted int
	// OutOfRetries and OutOfHedges count attempts that were not sent for want of budget.
	OutOfRetries int
	OutOfHedges  int
	// StaleReplies counts replies that were dropped, for their attempt was not pending.
	StaleReplies int
}
