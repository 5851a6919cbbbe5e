package backend

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Options describe one stand-in fleet: the servers of one query service.
type Options struct {
	// Service is the name of the QueryService that Resource returns.
	Service string
	// Path is the HTTP path of sub-requests.
	Path string
	// Servers is the number of servers, each with its own listener.
	Servers int
	// Shards is the number of partitions of the first index version.
	Shards int
	// Replicas is the number of servers that hold each shard.
	Replicas int
	// Zones are assigned to the servers round-robin.
	Zones []string
	// Slots is how many sub-requests one server runs concurrently.
	Slots int
	// Queue is how many more may wait before the server sheds load.
	Queue int
	// Connections is the connection limit of one server; it closes others.
	Connections int
	// VersionsHeld is how many index versions a server retains.
	VersionsHeld int
	// Time is the distribution of the service time of one sub-request.
	Time ServiceTime
	// ColdFor is the warm-up time of a started server; zero starts it warm.
	ColdFor time.Duration
	// ColdFactor multiplies the service time of a server that just started. It
	// falls to 1 over ColdFor.
	ColdFactor float64
	// StatusLag is the maximum age of what /healthz and /load report.
	StatusLag time.Duration
	// ResultBytes pads the body of each part to about this size; zero pads nothing.
	ResultBytes int
	// RecordLimit limits the number of executions in the record.
	RecordLimit int
	// Seed makes the service times repeatable.
	Seed uint64
}

// DefaultOptions describe a service of the size of the renter app in the requirements.
func DefaultOptions() Options {
	return Options{
		Service:      "sample",
		Path:         defaultPath,
		Servers:      4,
		Shards:       8,
		Replicas:     2,
		Zones:        []string{"zone-a", "zone-b", "zone-c"},
		Slots:        5,
		Queue:        2,
		Connections:  75,
		VersionsHeld: 2,
		Time:         ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3},
		ColdFactor:   5,
		StatusLag:    time.Second,
		RecordLimit:  2_000_000,
		Seed:         1,
	}
}

// Validate returns all errors of the options, or nil.
func (options Options) Validate() error {
	var failures []error
	require := func(holds bool, format string, args ...any) {
		if !holds {
			failures = append(failures, fmt.Errorf(format, args...))
		}
	}
	require(options.Service != "", "service: want a name")
	require(len(options.Path) > 0 && options.Path[0] == '/', "path: want a path that starts with /, got %q", options.Path)
	require(options.Servers >= 1, "servers: want at least 1, got %d", options.Servers)
	require(options.Shards >= 1, "shards: want at least 1, got %d", options.Shards)
	require(options.Replicas >= 1 && options.Replicas <= options.Servers,
		"replicas: want 1 to the number of servers (%d), got %d", options.Servers, options.Replicas)
	require(len(options.Zones) >= 1, "zones: want at least one name")
	require(options.Slots >= 1, "slots: want at least 1, got %d", options.Slots)
	require(options.Queue >= 0, "queue: want 0 or more, got %d", options.Queue)
	require(options.Connections >= 1, "connections: want at least 1, got %d", options.Connections)
	require(options.VersionsHeld >= 1, "versions-held: want at least 1, got %d", options.VersionsHeld)
	require(options.ColdFor >= 0, "cold-for: want 0 or more, got %s", options.ColdFor)
	require(options.ColdFactor >= 1, "cold-factor: want at least 1, got %g", options.ColdFactor)
	require(options.StatusLag >= 0, "status-lag: want 0 or more, got %s", options.StatusLag)
	require(options.ResultBytes >= 0, "result-bytes: want 0 or more, got %d", options.ResultBytes)
	require(options.RecordLimit >= 1, "record-limit: want at least 1, got %d", options.RecordLimit)
	failures = append(failures, options.Time.validate()...)
	return errors.Join(failures...)
}

// ServiceTime is a lognormal distribution with stragglers.
type ServiceTime struct {
	// Median is the median of the service time.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	Sigma float64
	// StragglerOneIn makes one in this many sub-requests a straggler; zero makes none.
	StragglerOneIn int
	// StragglerFactor multiplies the service time of a straggler.
	StragglerFactor float64
}

func (distribution ServiceTime) validate() []error {
	var failures []error
	if distribution.Median < 0 {
		failures = append(failures, fmt.Errorf("median: want 0 or more, got %s", distribution.Median))
	}
	if distribution.Sigma < 0 || distribution.Sigma > 3 {
		failures = append(failures, fmt.Errorf("sigma: want 0 to 3, got %g", distribution.Sigma))
	}
	if distribution.StragglerOneIn < 0 {
		failures = append(failures, fmt.Errorf("straggler-one-in: want 0 or more, got %d", distribution.StragglerOneIn))
	}
	if distribution.StragglerOneIn > 0 && distribution.StragglerFactor < 1 {
		failures = append(failures, fmt.Errorf("straggler-factor: want at least 1, got %g", distribution.StragglerFactor))
	}
	return failures
}

// Sample returns a random service time.
func (distribution ServiceTime) Sample(source *rand.Rand) time.Duration {
	factor := math.Exp(distribution.Sigma * source.NormFloat64())
	if distribution.StragglerOneIn > 0 && source.IntN(distribution.StragglerOneIn) == 0 {
		factor *= distribution.StragglerFactor
	}
	return time.Duration(float64(distribution.Median) * factor)
}
