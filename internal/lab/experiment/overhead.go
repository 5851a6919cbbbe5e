package experiment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/lab"
)

const (
	// lightRate is a load, in queries per second, at which no queues form.
	lightRate = 100
	// heavyRate is about half of the servers' capacity, in queries per second.
	heavyRate = 600
)

// Overhead measures the overhead of driftstage with healthy back ends: added latency
// under a light load, and the CPU time of all daemons per additional sub-request,
// between a light and a heavy load.
func Overhead(ctx context.Context, options Options, user User) (result *Result, failure error) {
	system, err := startSystem(ctx, options, user)
	if err != nil {
		return nil, err
	}
	defer func() { failure = errors.Join(failure, system.cluster.Stop()) }()
	direct, err := lab.Load(ctx, system.load(options, lightRate), system.baseline(options), system.backends)
	if err != nil {
		return nil, err
	}
	slope, err := system.measureSlope(ctx, options, lightRate, heavyRate)
	if err != nil {
		return nil, err
	}
	return &Result{
		Experiment: "overhead",
		Service:    user.Service,
		Reports:    append([]*lab.Report{direct}, slope.light, slope.heavy),
		Figures: append([]Metric{
			{"added p50", slope.light.Latency.P50 - direct.Latency.P50, "ms"},
			{"added p99", slope.light.Latency.P99 - direct.Latency.P99, "ms"},
		}, slope.metrics()...),
	}, nil
}

const (
	// throughputLight and throughputHeavy are loads in queries per second; with 16
	// sub-requests per query they are 3,200 and 12,800 sub-requests per second.
	throughputLight = 200
	throughputHeavy = 800
)

// Throughput measures the CPU time of all daemons per additional sub-request when
// they are busy: 16 fast servers, 16 sub-requests per query.
func Throughput(ctx context.Context, options Options, user User) (result *Result, failure error) {
	system, err := startSystem(ctx, options, user, "--servers", "16", "--shards", "16", "--slots", "32", "--queue", "64", "--connections", "200", "--median", "1ms")
	if err != nil {
		return nil, err
	}
	defer func() { failure = errors.Join(failure, system.cluster.Stop()) }()
	slope, err := system.measureSlope(ctx, options, throughputLight, throughputHeavy)
	if err != nil {
		return nil, err
	}
	return &Result{
		Experiment: "throughput",
		Service:    user.Service,
		Reports:    []*lab.Report{slope.light, slope.heavy},
		Figures:    slope.metrics(),
	}, nil
}

// slope compares a light and a heavy load.
type slope struct {
	light, heavy *lab.Report
	// added is the CPU time of the heavy load minus that of the light one.
	added time.Duration
}

// measureSlope sends a light and a heavy load through driftstage.
func (system *system) measureSlope(ctx context.Context, options Options, lightRate, heavyRate float64) (*slope, error) {
	light, lightTime, err := system.timedLoad(ctx, system.load(options, lightRate))
	if err != nil {
		return nil, err
	}
	heavyLoad := system.load(options, heavyRate)
	// Queries are identified by their bodies, which depend on the seed.
	heavyLoad.Seed++
	heavy, heavyTime, err := system.timedLoad(ctx, heavyLoad)
	if err != nil {
		return nil, err
	}
	return &slope{light: light, heavy: heavy, added: heavyTime - lightTime}, nil
}

func (slope *slope) metrics() []Metric {
	added := float64(slope.added.Microseconds())
	subRequests := slope.heavy.BackEnds.SubRequests - slope.light.BackEnds.SubRequests
	return []Metric{
		{"processor time of all daemons for each further sub-request", ratio(added, float64(subRequests)), "µs"},
		{"processor time of all daemons for each further query", ratio(added, float64(slope.heavy.Sent-slope.light.Sent)), "µs"},
	}
}

// timedLoad sends a load through driftstage and returns the CPU time that the daemons
// used for it.
func (system *system) timedLoad(ctx context.Context, load lab.LoadOptions) (*lab.Report, time.Duration, error) {
	before, err := system.cluster.CPUTime()
	if err != nil {
		return nil, 0, err
	}
	report, err := lab.Load(ctx, load, system.driftstage(), system.backends)
	if err != nil {
		return nil, 0, err
	}
	after, err := system.cluster.CPUTime()
	return report, after - before, err
}
