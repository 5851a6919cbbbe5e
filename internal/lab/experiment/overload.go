package experiment

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/lab"
)

// overloadRates are the loads of the sweep, in queries per second. With a median
// service time of 20 ms and 2 or 3 sub-requests per query, 4 servers with 5 slots
// can serve about 350: the sweep goes to more than twice the peak.
var overloadRates = []float64{100, 200, 300, 400, 500, 700, 1000}

// Overload raises the load to more than twice the capacity of the servers. It measures
// which share of the peak rate of useful answers remains, and the latency of rejections.
func Overload(ctx context.Context, options Options, user User) (result *Result, failure error) {
	system, err := startSystem(ctx, options, user, "--median", "20ms")
	if err != nil {
		return nil, err
	}
	defer func() { failure = errors.Join(failure, system.cluster.Stop()) }()
	result = &Result{Experiment: "overload", Service: user.Service}
	peak, peakRate := 0.0, 0.0
	for index, rate := range overloadRates {
		load := system.load(options, rate)
		// Queries are identified by their bodies, which depend on the seed.
		load.Seed += uint64(index)
		report, err := lab.Load(ctx, load, system.driftstage(), system.backends)
		if err != nil {
			return nil, err
		}
		result.Reports = append(result.Reports, report)
		if report.UsefulPerSecond > peak {
			peak, peakRate = report.UsefulPerSecond, rate
		}
	}
	last := result.Reports[len(result.Reports)-1]
	result.Figures = []Metric{
		{"peak of useful answers", peak, "a second"},
		{"at a load of", peakRate, "queries a second"},
		{"highest load over the peak", ratio(last.Rate, peak), "times"},
		{"useful answers there", 100 * ratio(last.UsefulPerSecond, peak), "% of the peak"},
		{"refusal p50 there", last.Rejections.P50, "ms"},
	}
	return result, nil
}
