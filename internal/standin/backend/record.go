package backend

import (
	"sync"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Outcome is how an execution ended.
type Outcome string

// The values of Outcome.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeCompleted Outcome = "completed"
	// OutcomeCanceled is an execution whose sender closed the connection.
	OutcomeCanceled Outcome = "canceled"
	// OutcomeDeadline is an execution stopped at its deadline.
	OutcomeDeadline Outcome = "deadline"
)

// Execution is one sub-request that acquired a slot of a server: it has run, at
// least in part, whatever its outcome. Rejected sub-requests have no execution.
type Execution struct {
	RequestID string       `json:"requestId"`
	QueryHash string       `json:"queryHash"`
	Server    string       `json:"server"`
	Shards    []v1.ShardID `json:"shards"`
	Snapshot  int64        `json:"snapshot"`
	Start     time.Time    `json:"start"`
	// End is zero while the execution is running.
	End     time.Time `json:"end,omitzero"`
	Outcome Outcome   `json:"outcome"`
}

// RecordFilter selects executions; empty fields match all.
type RecordFilter struct {
	RequestID string
	QueryHash string
	Server    string
	Since     time.Time
}

func (filter RecordFilter) selects(execution *Execution) bool {
	if filter.RequestID != "" && filter.RequestID != execution.RequestID {
		return false
	}
	if filter.QueryHash != "" && filter.QueryHash != execution.QueryHash {
		return false
	}
	if filter.Server != "" && filter.Server != execution.Server {
		return false
	}
	return !execution.Start.Before(filter.Since)
}

// Record holds the executions of all servers of a fleet.
type Record struct {
	mutex      sync.Mutex
	limit      int
	executions []*Execution
	// overflowed counts executions dropped because of the limit.
	overflowed int
}

func (record *Record) begin(execution Execution) *Execution {
	execution.Outcome = OutcomeRunning
	record.mutex.Lock()
	defer record.mutex.Unlock()
	kept := &execution
	if len(record.executions) >= record.limit {
		record.overflowed++
		return kept
	}
	record.executions = append(record.executions, kept)
	return kept
}

func (record *Record) end(execution *Execution, outcome Outcome, now time.Time) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	execution.Outcome = outcome
	execution.End = now
}

// Executions returns copies of the selected executions, ordered by start time.
func (record *Record) Executions(filter RecordFilter) []Execution {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	var selected []Execution
	for _, execution := range record.executions {
		if filter.selects(execution) {
			selected = append(selected, *execution)
		}
	}
	return selected
}

// Overflowed returns the number of executions over the limit of the record.
// Unless it is zero, the record is incomplete, and answers cannot be compared with it.
func (record *Record) Overflowed() int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.overflowed
}

// Reset deletes all executions.
func (record *Record) Reset() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.executions = nil
	record.overflowed = 0
}
