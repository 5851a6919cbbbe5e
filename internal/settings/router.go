package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/driftstage/driftstage/internal/rollout"
)

// Router are the checked settings of driftrouter, the query tier on a platform
// that keeps configuration and lists servers.
type Router struct {
	// Name is the node's identity, for logs.
	Name   string
	Zone   string
	Region string
	// Regions is the region of each zone.
	Regions map[string]string
	// ListenAddress is where callers are served (IP:port).
	ListenAddress string
	// ReadinessAddress is where readiness is asked for (IP:port).
	ReadinessAddress string
	// PeerAddress is where other nodes ask for what this one knows (IP:port); empty for none.
	PeerAddress string
	// MetricsAddress serves metrics (IP:port); empty for none.
	MetricsAddress string
	// StoreAddress is the platform's store (IP:port).
	StoreAddress string
	// Evacuations is set where the platform asks for zones to be emptied: then the store
	// is read for that, too.
	Evacuations bool
	// Rollouts are the bounds of roll-outs; without a time to roll back there are none, and
	// the store is not read for them.
	Rollouts rollout.Bounds
	// QuarantineTerm is how long a request that ends servers is refused at first; zero refuses
	// none, and the store is not read for that.
	QuarantineTerm time.Duration
	// MemoryMegabytes is the memory that the process may take; 0 for unbounded.
	MemoryMegabytes int
	Reloadable
}

// Reloadable are the settings that take effect while the program runs.
type Reloadable struct {
	// Seeds are peer addresses of some nodes; they may be stale.
	Seeds []string
	// RetryRatio is the number of extra sends allowed for each request of a service.
	RetryRatio float64
	// RetrySlack is the number of extra sends of a service allowed besides, all
	// nodes together.
	RetrySlack float64
	// RetryWindow is the time over which the extra sends are counted.
	RetryWindow time.Duration
	// StopTimeout is the time from the signal to stop to the end of the process.
	StopTimeout time.Duration
	// LogVerbosity is klog's verbosity: 0 to 4.
	LogVerbosity int
	// LogLines bounds the log lines of requests a second.
	LogLines int
	// LogSample is the number of ordinary requests of which one is logged; 0 for none.
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
		return label(&s.Name, text)
	}},
	{"zone", "", "zone of this machine (required)", func(s *Router, text string) error {
		return label(&s.Zone, text)
	}},
	{"region", "", "region of this machine (required)", func(s *Router, text string) error {
		return label(&s.Region, text)
	}},
	{"zones", "", "all zones and their regions, as ZONE=REGION with commas between", func(s *Router, text string) error {
		return zones(&s.Regions, text)
	}},
	{keyListenAddress, "127.0.0.1:7080", "IP:port for callers (HTTP)", func(s *Router, text string) error {
		return address(&s.ListenAddress, text)
	}},
	{keyReadinessAddress, "127.0.0.1:7083", "IP:port where readiness is asked for (HTTP)", func(s *Router, text string) error {
		return address(&s.ReadinessAddress, text)
	}},
	{keyPeerAddress, "", "IP:port for other nodes (empty: none)", func(s *Router, text string) error {
		return optional(address)(&s.PeerAddress, text)
	}},
	{keyMetricsAddress, "", "IP:port of metrics (empty: none)", func(s *Router, text string) error {
		return optional(address)(&s.MetricsAddress, text)
	}},
	{"store-address", "", "IP:port of the platform's store (required)", func(s *Router, text string) error {
		return peerAddress(&s.StoreAddress, text)
	}},
	{"seeds", "", "peer addresses (IP:port, comma-separated) of some nodes", func(s *Router, text string) error {
		return addressList(&s.Seeds, text)
	}},
	{"retry-ratio", "0.1", "extra sends allowed for each request of a service, 0 to 1", func(s *Router, text string) error {
		return number(&s.RetryRatio, text, 0, 1)
	}},
	{"retry-slack", "10", "extra sends of a service allowed besides, all nodes together, 0 to 100000", func(s *Router, text string) error {
		return number(&s.RetrySlack, text, 0, 100_000)
	}},
	{"retry-window", "10s", "time over which extra sends are counted, 1s to 10m", func(s *Router, text string) error {
		return duration(&s.RetryWindow, text, time.Second, 10*time.Minute)
	}},
	{"stop-timeout", "6s", "time from the signal to stop to the end of the process, 1s to 10m", func(s *Router, text string) error {
		return duration(&s.StopTimeout, text, time.Second, 10*time.Minute)
	}},
	{"evacuations", "false", "whether the platform asks for zones to be emptied: true or false", func(s *Router, text string) error {
		return boolean(&s.Evacuations, text)
	}},
	{"expose-share", "0", "share of a service's requests that a bad version may get while its roll-out runs, 0 to 1", func(s *Router, text string) error {
		return number(&s.Rollouts.Share, text, 0, 1)
	}},
	{"expose-slack", "0", "requests that it may get besides, all nodes together, 0 to 100000", func(s *Router, text string) error {
		return number(&s.Rollouts.Slack, text, 0, 100_000)
	}},
	{"rollback-time", "0s", "time after its 50th bad answer from which a bad version gets nothing, 0s (no roll-outs) to 10m", func(s *Router, text string) error {
		return duration(&s.Rollouts.RollbackTime, text, 0, 10*time.Minute)
	}},
	{"quarantine-term", "2m", "how long a request that ends servers is refused at first, 0s (none is) to 1h", func(s *Router, text string) error {
		return duration(&s.QuarantineTerm, text, 0, time.Hour)
	}},
	{"memory-megabytes", "0", "memory that the process may take, 0 (unbounded) to 1000000", func(s *Router, text string) error {
		return integer(&s.MemoryMegabytes, text, 0, 1_000_000)
	}},
	{"log-verbosity", "0", "how much is logged, 0 to 4", func(s *Router, text string) error {
		return integer(&s.LogVerbosity, text, 0, 4)
	}},
	{"log-lines", "200", "most log lines of requests a second, 1 to 100000", func(s *Router, text string) error {
		return integer(&s.LogLines, text, 1, 100_000)
	}},
	{"log-sample", "100", "ordinary requests of which one is logged, 0 (none) to 1000000", func(s *Router, text string) error {
		return integer(&s.LogSample, text, 0, 1_000_000)
	}},
}

// LoadRouter reads the settings of driftrouter.
func LoadRouter(args []string) (Request[Router], error) {
	return program[Router]{name: "driftrouter", table: routerTable, finish: finishRouter}.load(args)
}

func finishRouter(loaded *Router) []error {
	if loaded.Regions == nil {
		loaded.Regions = make(map[string]string)
	}
	loaded.Regions[loaded.Zone] = loaded.Region
	return checkAddressesDiffer([]listener{
		{keyListenAddress, loaded.ListenAddress},
		{keyReadinessAddress, loaded.ReadinessAddress},
		{keyPeerAddress, loaded.PeerAddress},
		{keyMetricsAddress, loaded.MetricsAddress},
	})
}

// Changes are what a new settings file means for a running program.
type Changes struct {
	// Reloaded reports whether a setting changed that takes effect at once.
	Reloaded bool
	// Restart reports whether one changed that takes effect with the next start.
	Restart bool
}

// Changes compares the settings with newer ones.
func (loaded Router) Changes(newer Router) Changes {
	changes := Changes{Reloaded: !reflect.DeepEqual(loaded.Reloadable, newer.Reloadable)}
	loaded.Reloadable = newer.Reloadable
	changes.Restart = !reflect.DeepEqual(loaded, newer)
	return changes
}

// zones reads ZONE=REGION pairs.
func zones(field *map[string]string, text string) error {
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

// optional accepts an empty text and leaves others to the check.
func optional(check func(field *string, text string) error) func(field *string, text string) error {
	return func(field *string, text string) error {
		if text == "" {
			return nil
		}
		return check(field, text)
	}
}

func number(field *float64, text string, low, high float64) error {
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || !(parsed >= low && parsed <= high) {
		return fmt.Errorf("want a number from %v to %v", low, high)
	}
	*field = parsed
	return nil
}
