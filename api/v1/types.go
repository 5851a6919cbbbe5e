// Package v1 defines version 1 of the resources that operators write: the
// QueryService and its status, their defaults and their validation.
package v1

import "time"

const (
	// APIVersion is the version string that every resource carries.
	APIVersion = "driftstage.dev/v1"
	// KindQueryService is the kind of QueryService.
	KindQueryService = "QueryService"
	// KindLease is the kind of Lease.
	KindLease = "Lease"
	// Finalizer keeps a deleted QueryService until its tombstone has spread.
	Finalizer = "driftstage.dev/tombstone"
)

// ObjectMeta is the part of a resource that the Object API maintains.
type ObjectMeta struct {
	Name string `json:"name"`
	// UID tells an object from an earlier one of the same name.
	UID string `json:"uid,omitempty"`
	// ResourceVersion changes at every write; an update carries the one it read.
	ResourceVersion string `json:"resourceVersion,omitempty"`
	// Generation counts the changes of the spec, from 1.
	Generation int64 `json:"generation,omitempty"`
	// Finalizers keep a deleted object until every one of them is removed.
	Finalizers []string `json:"finalizers,omitempty"`
	// DeletionTimestamp is set by the Object API when deletion was asked for.
	DeletionTimestamp *time.Time `json:"deletionTimestamp,omitempty"`
}

// QueryService describes one sharded back end to which driftstage sends
// queries.
type QueryService struct {
	APIVersion string             `json:"apiVersion"`
	Kind       string             `json:"kind"`
	Metadata   ObjectMeta         `json:"metadata"`
	Spec       QueryServiceSpec   `json:"spec"`
	Status     QueryServiceStatus `json:"status,omitzero"`
}

// QueryServiceSpec is the part of a QueryService that operators write.
type QueryServiceSpec struct {
	// Path is the HTTP path of sub-requests on every server.
	Path     string   `json:"path,omitempty"`
	Servers  []Server `json:"servers"`
	Shards   []Shard  `json:"shards"`
	Coverage Coverage `json:"coverage,omitzero"`
	// Deadlines bound how long callers wait.
	Deadlines Deadlines `json:"deadlines,omitzero"`
	// Class is the class of requests that name none.
	Class   Class   `json:"class,omitempty"`
	Hedging Hedging `json:"hedging,omitzero"`
	Limits  Limits  `json:"limits,omitzero"`
}

// Server is one back-end server.
type Server struct {
	Name string `json:"name"`
	// Address is IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many sub-requests the server runs at a time.
	Slots int `json:"slots"`
	// Connections is how many connections the server bears.
	Connections int `json:"connections"`
	// Draining tells that the server is leaving: it gets no new work.
	Draining bool `json:"draining,omitempty"`
}

// ShardID names one shard of a service.
type ShardID int32

// Shard is one part of the index and the servers that hold it.
type Shard struct {
	ID ShardID `json:"id"`
	// Replicas are names of servers.
	Replicas []string `json:"replicas"`
}

// Coverage says how much of an answer is enough, as fractions of the shards.
type Coverage struct {
	// Minimum is the fraction below which there is no answer but an error.
	Minimum float64 `json:"minimum,omitempty"`
	// Target is the fraction that is enough once AnswerAfter has passed.
	Target float64 `json:"target,omitempty"`
}

// Deadlines bound how long callers wait.
type Deadlines struct {
	// Default holds for requests that give no timeout.
	Default Duration `json:"default,omitempty"`
	// Maximum caps the timeout that a request may give.
	Maximum Duration `json:"maximum,omitempty"`
	// AnswerAfter is when the target coverage becomes enough.
	AnswerAfter Duration `json:"answerAfter,omitempty"`
}

// Class orders requests in queues.
type Class string

const (
	// ClassInteractive goes first.
	ClassInteractive Class = "interactive"
	// ClassBatch may wait, but always keeps a part of the capacity.
	ClassBatch Class = "batch"
)

// Hedging bounds second attempts for slow shards.
type Hedging struct {
	// Disabled turns hedging off; the budget is then zero.
	Disabled bool `json:"disabled,omitempty"`
	// Budget is the number of hedges per first attempt, as a fraction.
	Budget float64 `json:"budget,omitempty"`
	// Quantile is the quantile of the learned latency at which to hedge.
	Quantile float64 `json:"quantile,omitempty"`
}

// Limits bound what one node accepts for this service.
type Limits struct {
	// InFlight is the number of queries at a time in one gateway.
	InFlight int `json:"inFlight,omitempty"`
	// Queue is the number of sub-requests waiting for one server.
	Queue int `json:"queue,omitempty"`
	// BodyBytes is the largest request body.
	BodyBytes int `json:"bodyBytes,omitempty"`
}

// QueryServiceStatus is the part of a QueryService that driftstage writes.
type QueryServiceStatus struct {
	// ObservedGeneration is the newest generation that was judged.
	ObservedGeneration int64 `json:"observedGeneration,omitempty"`
	// Accepted is the configuration in force; nil until one was accepted.
	Accepted   *Accepted   `json:"accepted,omitempty"`
	Conditions []Condition `json:"conditions,omitempty"`
	Nodes      NodeCounts  `json:"nodes,omitzero"`
}

// Accepted is a configuration in force. It holds the spec itself, so that a
// later spec that is refused does not take the accepted one away.
type Accepted struct {
	Generation int64 `json:"generation"`
	// Revision grows with every acceptance: lease epoch in the upper 32 bits,
	// a counter of that epoch in the lower 32.
	Revision int64            `json:"revision"`
	Spec     QueryServiceSpec `json:"spec"`
}

// ConditionType names a condition of a resource.
type ConditionType string

const (
	// ConditionAccepted tells whether the newest generation was accepted.
	ConditionAccepted ConditionType = "Accepted"
	// ConditionInForce tells whether every node applies the accepted revision, those
	// that failed and may still exist included.
	ConditionInForce ConditionType = "InForce"
)

// ConditionStatus is True, False or Unknown.
type ConditionStatus string

// The values of ConditionStatus.
const (
	ConditionTrue    ConditionStatus = "True"
	ConditionFalse   ConditionStatus = "False"
	ConditionUnknown ConditionStatus = "Unknown"
)

// Condition is one observation about a resource.
type Condition struct {
	Type               ConditionType   `json:"type"`
	Status             ConditionStatus `json:"status"`
	Reason             string          `json:"reason,omitempty"`
	Message            string          `json:"message,omitempty"`
	ObservedGeneration int64           `json:"observedGeneration,omitempty"`
	LastTransitionTime time.Time       `json:"lastTransitionTime,omitzero"`
}

// NodeCounts tells how many nodes apply the accepted revision.
type NodeCounts struct {
	Total   int `json:"total"`
	Applied int `json:"applied"`
	// Lagging names nodes that do not apply it yet, at most MaxLaggingNames.
	Lagging []string `json:"lagging,omitempty"`
}

// MaxLaggingNames bounds the list in NodeCounts.
const MaxLaggingNames = 10
