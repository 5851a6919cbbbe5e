package experiment

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/lab"
	"github.com/driftstage/driftstage/internal/standin/backend"
)

// stragglerRate is a load, in queries per second, at which no queues form.
const stragglerRate = 100

// Stragglers measures tail latency with 1 in 100 replies 50 times slower and one server
// stopped; every shard still has a live replica.
func Stragglers(ctx context.Context, options Options, user User) (result *Result, failure error) {
	system, err := startSystem(ctx, options, user, "--straggler-one-in", "100", "--straggler-factor", "50")
	if err != nil {
		return nil, err
	}
	defer func() { failure = errors.Join(failure, system.cluster.Stop()) }()
	stopped := system.fleet.Servers[0].Name
	if err := system.backends.SetFault(backend.Fault{Server: stopped, Kind: backend.FaultCrash}); err != nil {
		return nil, err
	}
	load := system.load(options, stragglerRate)
	direct, err := lab.Load(ctx, load, system.baseline(options), system.backends)
	if err != nil {
		return nil, err
	}
	gateways, err := lab.Load(ctx, load, system.driftstage(), system.backends)
	if err != nil {
		return nil, err
	}
	return &Result{
		Experiment: "stragglers, one server dead",
		Service:    user.Service,
		Reports:    []*lab.Report{direct, gateways},
		Figures: []Metric{
			{"p99 shorter by a factor of", ratio(direct.Latency.P99, gateways.Latency.P99), ""},
			{"p999 shorter by a factor of", ratio(direct.Latency.P999, gateways.Latency.P999), ""},
			{"extra load", 100 * (gateways.BackEnds.Ratio - 1), "%"},
			{"coverage of all sent, baseline", direct.CoverageOfAll, ""},
			{"coverage of all sent, driftstage", gateways.CoverageOfAll, ""},
		},
	}, nil
}
