package scatter

import (
	"context"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// Query is a caller's request.
type Query struct {
	RequestID string
	// Service is the revision known to the gateway. The query uses it, or a newer
	// one if another query has already supplied that.
	Service *config.Service
	Body    []byte
	// Timeout is the time until the deadline of the query.
	Timeout    time.Duration
	Repeatable bool
	Class      v1.Class
	// MinimumCoverage overrides the service's minimum, 0 to 1; nil keeps it.
	MinimumCoverage *float64
}

// Answer is the response to the caller.
type Answer struct {
	Revision int64
	Snapshot int64
	Verdict  verdict.Verdict
	Coverage Coverage
	Results  []Result
	// Failure is nil when the coverage is enough.
	Failure *verdict.Error
}

// Coverage describes which shards an answer covers.
type Coverage struct {
	Shards  int
	Covered int
	Missing []Missing
}

// Missing is a shard that the answer does not cover.
type Missing struct {
	Shard  v1.ShardID
	Reason verdict.Code
}

// Result is the answer of one shard.
type Result struct {
	Shard v1.ShardID
	Body  []byte
}

// Members lists the cluster members, including this node.
type Members interface {
	Members() []swim.Member
}

// Owners calls the owner role of other nodes. Errors are *verdict.Error.
type Owners interface {
	Execute(ctx context.Context, address string, request *message.SubRequest) (*message.SubReply, error)
	Loads(ctx context.Context, address string, request *message.LoadRequest) (*message.LoadReply, error)
}

// LocalOwner is this node's own owner role.
type LocalOwner interface {
	Execute(ctx context.Context, request *message.SubRequest) *message.SubReply
	Loads(request *message.LoadRequest) *message.LoadReply
}

// Options configures a Scatterer.
type Options struct {
	// NodeID and Zone are those of this node.
	NodeID string
	Zone   string

	Members Members
	Owners  Owners
	Local   LocalOwner
	// Seed seeds random choices; zero selects a random seed.
	Seed uint64
	// Metrics may be nil.
	Metrics *Metrics
}
