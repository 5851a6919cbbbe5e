// Package exchange decides how one caller's request is carried out: which server
// of each shard gets it, when a hedge or a retry is sent, and when the request is
// answered with the replies received so far.
//
// The core does no I/O and reads no clock: each event comes with the time since
// the request arrived and returns a batch of actions. A request for one server is
// a request with a single shard whose reply is forwarded unchanged.
package exchange

import (
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/upstream"
)

// Plan describes one request: its shards, limits and deadlines. All times are
// counted from the arrival of the request.
type Plan struct {
	// Services are the shards; a request for one server has a single one.
	Services []string
	// Gather merges the shards' answers; without it the single reply is forwarded.
	Gather bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaximumAttempts bounds the number of servers asked for each shard and the number of
	// attempts that may run. A server that has refused may be asked again.
	MaximumAttempts int
	// LeastShards is how many shards have to answer for a success.
	LeastShards int
	// Target is when an answer loses most of its value.
	Target time.Duration
	// Deadline is when a final answer has to be given.
	Deadline time.Duration
	// HoldUntil is until when the request is held, before anything is sent, for servers
	// that may be missing from the list.
	HoldUntil time.Duration
	// ArrivedLate is set if the target had passed for the caller before the request arrived:
	// the caller has been waiting or retries.
	ArrivedLate bool
	// YieldUntil is until when a late request may be held back in favor of others on a node
	// that has just started.
	YieldUntil time.Duration
	// Trial is set for a request during which servers have crashed before: it starts
	// with a single attempt, at one of the services in SuspectedServices if that has a server.
	Trial             bool
	SuspectedServices []string
	// Jitter is a random number from 0 to 1. It spreads the release of requests
	// that were held for the same servers: each is held longer by this share of its wait.
	// While servers shed load, it also decides which requests that are unlikely to succeed
	// are started.
	Jitter float64
}

// Servers chooses servers and accounts for the retry budget.
type Servers interface {
	// HasServer reports whether the service has a server that takes requests.
	HasServer(service string) bool
	// ListIncomplete reports whether live servers may be missing from the list.
	ListIncomplete() bool
	// ListGrowing reports whether servers of the request's shards are missing from the list
	// and are being added one by one.
	ListGrowing() bool
	// Shedding reports whether servers shed load.
	Shedding() bool
	// JustStarted reports whether the node has just started and has too little data on the
	// servers to tell whether they shed load.
	JustStarted() bool
	// ServiceHealth returns the failure rate of a service's servers and what its retry budget
	// allows.
	ServiceHealth(service string) endpoints.ServiceHealth
	// Choose reserves a server that is not in tried and, unless only is nil, is in only.
	// An extra send, one beyond the first, is charged to the retry budget of the service.
	Choose(service string, tried, only []*endpoints.Endpoint, extra bool) (endpoints.Choice, endpoints.Availability)
	// ZoneUnreachable reports whether the zone of a server is unreachable.
	ZoneUnreachable(endpoint *endpoints.Endpoint) bool
	// RefundRetry returns the charge of an extra send to the retry budget.
	RefundRetry(service string)
}

// AttemptID identifies an attempt within a request.
type AttemptID struct {
	Shard  int
	Number int
}

// Reason is why an attempt is made.
type Reason uint8

const (
	// ReasonFirst is the first attempt for a shard.
	ReasonFirst Reason = iota
	// ReasonHedge is another attempt while an earlier one is late.
	ReasonHedge
	// ReasonRetry is another attempt after one that failed.
	ReasonRetry
)

var reasonNames = [...]string{"first", "hedge", "retry"}

// String returns the name used in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Send instructs the driver to make an attempt.
type Send struct {
	ID     AttemptID
	Reason Reason
	Choice endpoints.Choice
}

// Batch holds the actions for the driver after an event.
type Batch struct {
	Sends []Send
	// Cancels are attempts that are no longer needed.
	Cancels []AttemptID
	// Outcome is set once the request has its final answer.
	Outcome *Outcome
	// Hold is why nothing has been sent yet.
	Hold Hold
	// Wake is the latest time for the next call of Tick.
	Wake time.Duration
}

// Hold is why a request waits before anything is sent for it.
type Hold uint8

const (
	// HoldNone means that the request is not held; it may wait for replies.
	HoldNone Hold = iota
	// HoldGrowing means that the list of its shards' servers is short and growing.
	HoldGrowing
	// HoldListIncomplete means that too few shards have a server in a list that may be
	// incomplete.
	HoldListIncomplete
	// HoldJitter is the jitter after a hold, for requests that were held for the same
	// servers.
	HoldJitter
	// HoldYield gives requests that can still meet their target precedence over late
	// ones on a node that has just started.
	HoldYield
)

var holdNames = [...]string{"none", "list_growing", "shards_unlisted", "spread", "yield"}

// String returns the name used in logs and metrics.
func (h Hold) String() string { return holdNames[h] }

// Status is how a request ended.
type Status uint8

const (
	// StatusAnswered is an answer by servers.
	StatusAnswered Status = iota
	// StatusRefused is a refusal: no server has run the request and none will.
	StatusRefused
	// StatusFailed is a failure after which the request may have run.
	StatusFailed
	// StatusExpired means that the deadline passed and the request may have run.
	StatusExpired
)

var statusNames = [...]string{"answered", "refused", "failed", "expired"}

// String returns the name used in logs and metrics.
func (s Status) String() string { return statusNames[s] }

// Outcome is the final result of a request.
type Outcome struct {
	Status Status
	// Replies are the replies that make up the answer, one per shard.
	Replies []upstream.Reply
	// Missing is the number of shards missing from the answer.
	Missing int
	// Cause is what decided the outcome.
	Cause Cause
	// Unlisted are the services without a server if the request was refused before
	// anything was sent.
	Unlisted []string
	// RetryAfter is how long a refused caller should wait before it retries; zero if that
	// is unknown.
	RetryAfter time.Duration
}

// Cause is what decided an outcome.
type Cause string

// Causes of outcomes.
const (
	CauseComplete     Cause = "complete"
	CauseTarget       Cause = "target_reached"
	CauseDeadline     Cause = "deadline_reached"
	CauseShardsLost   Cause = "shards_lost"
	CauseNoServers    Cause = "no_servers"
	CauseServerFailed Cause = "server_failed"
	// CauseNoBudget means that a retry was needed and the retry budget did not allow it.
	CauseNoBudget Cause = "no_budget"
	// CauseNoMemory means that an answer does not fit into the memory for requests.
	CauseNoMemory Cause = "no_memory"
	// CauseQuarantined means that the request is known to crash servers, or is
	// suspected of it and has to wait for a trial.
	CauseQuarantined Cause = "quarantined"
	// CauseServersCrashed means that no more attempts are made because the request may have
	// crashed the servers that ran it.
	CauseServersCrashed Cause = "servers_ended"
	// CauseNodeOverloaded means that this node lacks processor time.
	CauseNodeOverloaded Cause = "node_overloaded"
)
