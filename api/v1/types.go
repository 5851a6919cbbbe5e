// Package v1 defines version 1 of the resources that operators write: the
// QueryService and its status, with defaults and validation.
package v1

import "time"

const (
	// APIVersion is the apiVersion of every resource.
	APIVersion = "driftstage.dev/v1"
	// KindQueryService is the kind of QueryService.
	KindQueryService = "QueryService"
	// KindLease is the kind of Lease.
	KindLease = "Lease"
	// Finalizer keeps a deleted QueryService until its tombstone has reached the nodes.
	Finalizer = "driftstage.dev/tombstone"
)

// ObjectMeta is the part of a resource that the Object API maintains.
type ObjectMeta struct {
	Name string `json:"name"`
	// UID distinguishes an object from an earlier one of the same name.
	UID string `json:"uid,omitempty"`
	// ResourceVersion changes with every write; an update contains the one that was read.
	ResourceVersion string `json:"resourceVersion,omitempty"`
	// Generation counts the changes of the spec, starting at 1.
	Generation int64 `json:"generation,omitempty"`
	// Finalizers delay the removal of a deleted object until all of them are removed.
	Finalizers []string `json:"finalizers,omitempty"`
	// DeletionTimestamp is set by the Object API when deletion is requested.
	DeletionTimestamp *time.Time `json:"deletionTimestamp,omitempty"`
}

// QueryService describes a sharded back end to which driftstage sends queries.
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
	// Class is the class of requests that do not specify one.
	Class   Class   `json:"class,omitempty"`
	Hedging Hedging `json:"hedging,omitzero"`
	Limits  Limits  `json:"limits,omitzero"`
}

// Server is one back-end server.
type Server struct {
	Name string `json:"name"`
	// Address is the IP:port of the server.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many sub-requests the server processes concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the server accepts.
	Connections int `json:"connections"`
	// Draining means that the server is being removed: it gets no new requests.
	Draining bool `json:"draining,omitempty"`
}

// ShardID identifies a shard within a service.
type ShardID int32

// Shard is one part of the index and the servers that hold it.
type Shard struct {
	ID ShardID `json:"id"`
	// Replicas are the names of the servers that hold the shard.
	Replicas []string `json:"replicas"`
}

// Coverage is the fraction of the shards that an answer must contain.
type Coverage struct {
	// Minimum is the fraction below which the query fails.
	Minimum float64 `json:"minimum,omitempty"`
	// Target is the fraction that is sufficient once AnswerAfter has passed.
	Target float64 `json:"target,omitempty"`
}

// Deadlines bound how long callers wait.
type Deadlines struct {
	// Default applies to requests that specify no timeout.
	Default Duration `json:"default,omitempty"`
	// Maximum limits the timeout that a request may specify.
	Maximum Duration `json:"maximum,omitempty"`
	// AnswerAfter is the time after which the target coverage is sufficient.
	AnswerAfter Duration `json:"answerAfter,omitempty"`
}

// Class is the priority class of requests in queues.
type Class string

const (
	// ClassInteractive is served first.
	ClassInteractive Class = "interactive"
	// ClassBatch may wait, but always gets a share of the capacity.
	ClassBatch Class = "batch"
)

// Hedging configures additional attempts for slow shards.
type Hedging struct {
	// Disabled turns hedging off; the budget must then be zero.
	Disabled bool `json:"disabled,omitempty"`
	// Budget is the maximum number of hedges as a fraction of first attempts.
	Budget float64 `json:"budget,omitempty"`
	// Quantile is the quantile of the measured latency after which to hedge.
	Quantile float64 `json:"quantile,omitempty"`
}

// Limits bound what one node accepts for this service.
type Limits struct {
	// InFlight is the maximum number of concurrent queries per gateway.
	InFlight int `json:"inFlight,omitempty"`
	// Queue is the maximum number of sub-requests waiting for one server.
	Queue int `json:"queue,omitempty"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int `json:"bodyBytes,omitempty"`
}

// QueryServiceStatus is the part of a QueryService that driftstage writes.
type QueryServiceStatus struct {
	// ObservedGeneration is the newest generation that the controller has validated.
	ObservedGeneration int64 `json:"observedGeneration,omitempty"`
	// Accepted is the accepted configuration; nil until there is one.
	Accepted   *Accepted   `json:"accepted,omitempty"`
	Conditions []Condition `json:"conditions,omitempty"`
	Nodes      NodeCounts  `json:"nodes,omitzero"`
}

// Accepted is an accepted configuration. It contains the spec itself, so that a
// later spec that is rejected does not displace the accepted one.
type Accepted struct {
	Generation int64 `json:"generation"`
	// Revision increases with every accepted spec: the lease epoch is in the upper
	// 32 bits, a counter within that epoch in the lower 32.
	Revision int64            `json:"revision"`
	Spec     QueryServiceSpec `json:"spec"`
}

// ConditionType is the type of a condition of a resource.
type ConditionType string

const (
	// ConditionAccepted states whether the newest generation was accepted.
	ConditionAccepted ConditionType = "Accepted"
	// ConditionInForce states whether every node applies the accepted revision,
	// including nodes that have failed but may still be running.
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

// NodeCounts contains how many nodes apply the accepted revision.
type NodeCounts struct {
	Total   int `json:"total"`
	Applied int `json:"applied"`
	// Lagging lists nodes that do not apply it yet, at most MaxLaggingNames.
	Lagging []string `json:"lagging,omitempty"`
}

// MaxLaggingNames bounds NodeCounts.Lagging.
const MaxLaggingNames = 10
