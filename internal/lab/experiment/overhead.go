package experiment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/lab"
)

const (
	// lightRate is a load, in queries a second, without queues.
	lightRate = 100
	// heavyRate is about half of what the servers bear.
	heavyRate = 600
)

// Overhead measures what driftstage adds to healthy back ends: latency at a
// light load, and the processor time of all daemons for each further sub-request
// between a light and a heavy load.
func Overhead(ctx context.Context, options Options, user User) (result *Result, failure error) {
	system, err := setUp(ctx, options, user)
	if err != nil {
		return nil, err
	}
	defer func() { failure = errors.Join(failure, system.cluster.Stop()) }()
	direct, err := lab.Load(ctx, system.load(options, lightRate), system.baseline(options), system.backends)
	if err != nil {
		return nil, err
	}
	light, lightTime, err := system.timedLoad(ctx, system.load(options, lightRate))
	if err != nil {
		return nil, err
	}
	heavyLoad := system.load(options, heavyRate)
	// Queries are told apart by their bodies, which follow from the seed.
	heavyLoad.Seed++
	heavy, heavyTime, err := system.timedLoad(ctx, heavyLoad)
	if err != nil {
		return nil, err
	}
	added := float64((heavyTime - lightTime).Microseconds())
	return &Result{
		Experiment: "overhead",
		Service:    user.Service,
		Reports:    []*lab.Report{direct, light, heavy},
		Figures: []Figure{
			{"added p50", light.Latency.P50 - direct.Latency.P50, "ms"},
			{"added p99", light.Latency.P99 - direct.Latency.P99, "ms"},
			{"processor time of all daemons for each further sub-request",
				ratio(added, float64(heavy.BackEnds.SubRequests-light.BackEnds.SubRequests)), "µs"},
			{"processor time of all daemons for each further query",
				ratio(added, float64(heavy.Sent-light.Sent)), "µs"},
		},
	}, nil
}

// timedLoad sends a load through driftstage and returns the processor time that
// the daemons used for it.
func (system *system) timedLoad(ctx context.Context, load lab.LoadOptions) (*lab.Report, time.Duration, error) {
	before, err := system.cluster.ProcessorTime()
	if err != nil {
		return nil, 0, err
	}
	report, err := lab.Load(ctx, load, system.driftstage(), system.backends)
	if err != nil {
		return nil, 0, err
	}
	after, err := system.cluster.ProcessorTime()
	return report, after - before, err
}
