package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/driftstage/driftstage/internal/rollout"
)

// Router holds the validated settings of driftrouter, the query tier for a platform
// whose store holds the configuration and the server list.
type Router struct {
	// Name is the node's identity, for logs.
	Name   string
	Zone   string
	Region string
	// Regions is the region of each zone.
	Regions map[string]string
	// ListenAddress serves callers (IP:port).
	ListenAddress string
	// ReadinessAddress serves the readiness check (IP:port).
	ReadinessAddress string
	// PeerAddress serves this node's state to other nodes (IP:port); empty to disable it.
	PeerAddress string
	// MetricsAddress serves metrics (IP:port); empty to disable it.
	MetricsAddress string
	// StoreAddress is the platform's store (IP:port).
	StoreAddress string
	// Evacuations is set if the platform requests zone evacuations; the store is watched
	// for them only then.
	Evacuations bool
	// Rollouts are the limits of rollouts. With no rollback time, rollouts are disabled and
	// the store is not watched for them.
	Rollouts rollout.Bounds
	// QuarantineTerm is the first quarantine period of a request that crashes servers. Zero
	// disables quarantine, and the store is not watched for it.
	QuarantineTerm time.Duration
	// MemoryMegabytes is the memory limit of the process; 0 for none.
	MemoryMegabytes int
	// RequestMemoryMegabytes limits the memory for requests and answers; 0 for a share of the memory.
	RequestMemoryMegabytes int
	// ClientConnections is the maximum number of connections of callers; 0 for a share of the
	// descriptors.
	ClientConnections int
	// WriteTimeout is how long a caller may take to read its answer after the time that it states to wait,
	// or after the answer is ready if that is later.
	WriteTimeout time.Duration
	Reloadable
}

// Reloadable holds the settings that take effect without a restart.
type Reloadable struct {
	// Seeds are peer addresses of some nodes; they may be out of date.
	Seeds []string
	// RetryRatio is the retry budget of a service: retries and hedges allowed per request.
	RetryRatio float64
	// RetrySlack is the fixed part of a service's retry budget, shared by all nodes.
	RetrySlack float64
	// RetryWindow is the time window of the retry budget.
	RetryWindow time.Duration
	// StopTimeout is the time from the stop signal to the exit of the process.
	StopTimeout time.Duration
	// LogVerbosity is klog's verbosity: 0 to 4.
	LogVerbosity int
	// LogLines limits the log lines about requests per second.
	LogLines int
	// LogSample logs one in this many ordinary requests; 0 logs none.
	LogSample int
}

const (
	keyListenAddress    = "listen-address"
	keyReadinessAddress = "readiness-address"
	keyPeerAddress      = "peer-address"
	keyMetricsAddress   = "metrics-address"
)

var routerTable = []entry[Router]{
	{"name", "", "name of this node, for logs (required)", func(s *Router, text string) error {
		return parseLabel(&s.Name, text)
	}},
	{"zone", "", "zone of this machine (required)", func(s *Router, text string) error {
		return parseLabel(&s.Zone, text)
	}},
	{"region", "", "region of this machine (required)", func(s *Router, text string) error {
		return parseLabel(&s.Region, text)
	}},
	{"zones", "", "all zones and their regions, as comma-separated ZONE=REGION", func(s *Router, text string) error {
		return parseZones(&s.Regions, text)
	}},
	{keyListenAddress, "127.0.0.1:7080", "IP:port for callers (HTTP)", func(s *Router, text string) error {
		return parseListenAddress(&s.ListenAddress, text)
	}},
	{keyReadinessAddress, "127.0.0.1:7083", "IP:port of the readiness check (HTTP)", func(s *Router, text string) error {
		return parseListenAddress(&s.ReadinessAddress, text)
	}},
	{keyPeerAddress, "", "IP:port for other nodes (empty: none)", func(s *Router, text string) error {
		return optional(parseListenAddress)(&s.PeerAddress, text)
	}},
	{keyMetricsAddress, "", "IP:port of metrics (empty: none)", func(s *Router, text string) error {
		return optional(parseListenAddress)(&s.MetricsAddress, text)
	}},
	{"store-address", "", "IP:port of the platform's store (required)", func(s *Router, text string) error {
		return parseRemoteAddress(&s.StoreAddress, text)
	}},
	{"seeds", "", "peer addresses (IP:port, comma-separated) of some nodes", func(s *Router, text string) error {
		return parseAddresses(&s.Seeds, text)
	}},
	{"retry-ratio", "0.1", "extra sends (retries and hedges) allowed per request of a service, 0 to 1", func(s *Router, text string) error {
		return parseFloat(&s.RetryRatio, text, 0, 1)
	}},
	{"retry-slack", "10", "additional extra sends allowed per service, over all nodes, 0 to 100000", func(s *Router, text string) error {
		return parseFloat(&s.RetrySlack, text, 0, 100_000)
	}},
	{"retry-window", "10s", "time window in which extra sends are counted, 1s to 10m", func(s *Router, text string) error {
		return parseDuration(&s.RetryWindow, text, time.Second, 10*time.Minute)
	}},
	{"stop-timeout", "6s", "time from the stop signal to the exit of the process, 1s to 10m", func(s *Router, text string) error {
		return parseDuration(&s.StopTimeout, text, time.Second, 10*time.Minute)
	}},
	{"evacuations", "false", "whether the platform requests zone evacuations: true or false", func(s *Router, text string) error {
		return parseBool(&s.Evacuations, text)
	}},
	{"expose-share", "0", "share of a service's requests that a bad version may receive during its rollout, 0 to 1", func(s *Router, text string) error {
		return parseFloat(&s.Rollouts.Share, text, 0, 1)
	}},
	{"expose-slack", "0", "additional requests that it may receive, over all nodes, 0 to 100000", func(s *Router, text string) error {
		return parseFloat(&s.Rollouts.Slack, text, 0, 100_000)
	}},
	{"rollback-time", "0s", "time after its 50th bad answer until a bad version must receive no more requests, 0s (no rollouts) to 10m", func(s *Router, text string) error {
		return parseDuration(&s.Rollouts.RollbackTime, text, 0, 10*time.Minute)
	}},
	{"quarantine-term", "2m", "first quarantine period of a request that crashes servers, 0s (no quarantine) to 1h", func(s *Router, text string) error {
		return parseDuration(&s.QuarantineTerm, text, 0, time.Hour)
	}},
	{"memory-megabytes", "0", "memory limit of the process, 0 (none) to 1000000", func(s *Router, text string) error {
		return parseInt(&s.MemoryMegabytes, text, 0, 1_000_000)
	}},
	{"request-memory-megabytes", "0", "memory for requests and answers, 0 (a third of the memory) to 1000000", func(s *Router, text string) error {
		return parseInt(&s.RequestMemoryMegabytes, text, 0, 1_000_000)
	}},
	{"client-connections", "0", "maximum number of connections of callers, 0 (three fifths of the descriptors) to 1000000", func(s *Router, text string) error {
		return parseInt(&s.ClientConnections, text, 0, 1_000_000)
	}},
	{"write-timeout", "2s", "how long a caller may take to read its answer after the time that it states to wait, or after the answer is ready if that is later, 100ms to 10m", func(s *Router, text string) error {
		return parseDuration(&s.WriteTimeout, text, 100*time.Millisecond, 10*time.Minute)
	}},
	{"log-verbosity", "0", "log verbosity, 0 to 4", func(s *Router, text string) error {
		return parseInt(&s.LogVerbosity, text, 0, 4)
	}},
	{"log-lines", "200", "maximum number of log lines about requests per second, 1 to 100000", func(s *Router, text string) error {
		return parseInt(&s.LogLines, text, 1, 100_000)
	}},
	{"log-sample", "100", "one in this many ordinary requests is logged, 0 (none) to 1000000", func(s *Router, text string) error {
		return parseInt(&s.LogSample, text, 0, 1_000_000)
	}},
}

// LoadRouter reads the settings of driftrouter.
func LoadRouter(args []string) (CommandLine[Router], error) {
	return program[Router]{name: "driftrouter", table: routerTable, finish: finishRouter}.load(args)
}

func finishRouter(loaded *Router) []error {
	if loaded.Regions == nil {
		loaded.Regions = make(map[string]string)
	}
	loaded.Regions[loaded.Zone] = loaded.Region
	var errs []error
	if loaded.MemoryMegabytes > 0 && loaded.RequestMemoryMegabytes > loaded.MemoryMegabytes/2 {
		errs = append(errs, errors.New("request-memory-megabytes: want at most half of memory-megabytes"))
	}
	return append(errs, checkAddressesDiffer([]listener{
		{keyListenAddress, loaded.ListenAddress},
		{keyReadinessAddress, loaded.ReadinessAddress},
		{keyPeerAddress, loaded.PeerAddress},
		{keyMetricsAddress, loaded.MetricsAddress},
	})...)
}

// Changes tells how a new settings file affects a running program.
type Changes struct {
	// Reloaded is set if a reloadable setting changed.
	Reloaded bool
	// RestartRequired is set if a setting changed that takes effect only after a restart.
	RestartRequired bool
}

// Changes compares the settings with newer ones.
func (loaded Router) Changes(newer Router) Changes {
	changes := Changes{Reloaded: !reflect.DeepEqual(loaded.Reloadable, newer.Reloadable)}
	loaded.Reloadable = newer.Reloadable
	changes.RestartRequired = !reflect.DeepEqual(loaded, newer)
	return changes
}

// parseZones parses comma-separated ZONE=REGION pairs.
func parseZones(field *map[string]string, text string) error {
	*field = make(map[string]string)
	if text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		zone, region, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || zone == "" || region == "" {
			return fmt.Errorf("%q: want ZONE=REGION", part)
		}
		(*field)[zone] = region
	}
	return nil
}

// optional accepts an empty text and passes any other to parse.
func optional(parse func(field *string, text string) error) func(field *string, text string) error {
	return func(field *string, text string) error {
		if text == "" {
			return nil
		}
		return parse(field, text)
	}
}

func parseFloat(field *float64, text string, low, high float64) error {
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || !(parsed >= low && parsed <= high) {
		return fmt.Errorf("want a number from %v to %v", low, high)
	}
	*field = parsed
	return nil
}
