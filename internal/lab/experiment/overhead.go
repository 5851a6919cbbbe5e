package experiment

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/lab"
)

// overheadRate is a light load, in queries a second: latency without queues.
const overheadRate = 100

// Overhead measures what driftstage adds to healthy back ends under a light
// load: latency, and the processor time of all daemons for each sub-request.
func Overhead(ctx context.Context, options Options, user User) (result *Result, failure error) {
	set, err := setUp(ctx, options, user, "--straggler-one-in", "0")
	if err != nil {
		return nil, err
	}
	defer func() { failure = errors.Join(failure, set.cluster.Stop()) }()
	load := set.load(options, overheadRate)
	direct, err := lab.Load(ctx, load, set.baseline(options), set.backends)
	if err != nil {
		return nil, err
	}
	idle, err := set.cluster.ProcessorTime()
	if err != nil {
		return nil, err
	}
	through, err := lab.Load(ctx, load, set.driftstage(), set.backends)
	if err != nil {
		return nil, err
	}
	used, err := set.cluster.ProcessorTime()
	if err != nil {
		return nil, err
	}
	perSubRequest := ratio(float64((used - idle).Microseconds()), float64(through.BackEnds.SubRequests))
	perShard := ratio(float64((used - idle).Microseconds()), float64(through.BackEnds.ShardExecutions))
	return &Result{
		Experiment: "overhead",
		Service:    user.Service,
		Reports:    []*lab.Report{direct, through},
		Figures: []Figure{
			{"added p50", through.Latency.P50 - direct.Latency.P50, "ms"},
			{"added p99", through.Latency.P99 - direct.Latency.P99, "ms"},
			{"processor time of all daemons per sub-request", perSubRequest, "µs"},
			{"processor time of all daemons per shard", perShard, "µs"},
		},
	}, nil
}
