package lab

import (
	"errors"
	"fmt"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// LoadOptions describe one open-loop load.
type LoadOptions struct {
	// Service is the name of the query service.
	Service string
	// Rate is the mean number of queries per second.
	Rate float64
	// Warmup precedes Duration; its queries are sent and compared with the
	// record, but their latency is not counted.
	Warmup time.Duration
	// Duration is how long queries are sent after the warm-up.
	Duration time.Duration
	// SettleTime is the delay between the last answer and reading the record.
	SettleTime time.Duration
	// Timeout is the timeout of each query.
	Timeout time.Duration
	// Class is the class of all queries; empty for the default of the service.
	Class v1.Class
	// RepeatableShare is the share of queries that are marked repeatable.
	RepeatableShare float64
	// MinimumCoverage is sent with each query; negative sends none.
	MinimumCoverage float64
	// BodyBytes is the size of a query's body, at least minBodyBytes.
	BodyBytes int
	// Outstanding limits the queries in flight; queries over the limit are counted as not
	// sent.
	Outstanding int
	// Seed makes arrivals and bodies reproducible.
	Seed uint64
}

const minBodyBytes = 64

// DefaultLoadOptions returns a light load for a few seconds.
func DefaultLoadOptions() LoadOptions {
	return LoadOptions{
		Service:         "sample",
		Rate:            100,
		Warmup:          time.Second,
		Duration:        10 * time.Second,
		SettleTime:      time.Second,
		Timeout:         time.Second,
		RepeatableShare: 1,
		MinimumCoverage: -1,
		BodyBytes:       256,
		Outstanding:     10_000,
		Seed:            1,
	}
}

// Validate returns all errors of the options, or nil.
func (options LoadOptions) Validate() error {
	var failures []error
	require := func(holds bool, format string, args ...any) {
		if !holds {
			failures = append(failures, fmt.Errorf(format, args...))
		}
	}
	require(options.Service != "", "service: want a name")
	require(options.Rate > 0, "rate: want more than 0 queries per second, got %g", options.Rate)
	require(options.Warmup >= 0, "warmup: want 0 or more, got %s", options.Warmup)
	require(options.Duration > 0, "duration: want more than 0, got %s", options.Duration)
	require(options.SettleTime >= 0, "settle: want 0 or more, got %s", options.SettleTime)
	require(options.Timeout > 0, "timeout: want more than 0, got %s", options.Timeout)
	require(options.Class == "" || options.Class == v1.ClassInteractive || options.Class == v1.ClassBatch,
		"class: want interactive or batch, got %q", options.Class)
	require(options.RepeatableShare >= 0 && options.RepeatableShare <= 1,
		"repeatable-share: want 0 to 1, got %g", options.RepeatableShare)
	require(options.MinimumCoverage <= 1, "minimum-coverage: want at most 1, got %g", options.MinimumCoverage)
	require(options.BodyBytes >= minBodyBytes, "body-bytes: want at least %d, got %d", minBodyBytes, options.BodyBytes)
	require(options.Outstanding >= 1, "outstanding: want at least 1, got %d", options.Outstanding)
	return errors.Join(failures...)
}
