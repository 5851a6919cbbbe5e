package scale

import "time"

// Options configures a run.
type Options struct {
	// Sizes are the numbers of nodes to measure, one after the other.
	Sizes []int
	// Zones and Regions are the numbers over which nodes are spread.
	Zones   int
	Regions int
	// Settle lets gossip about the start die down.
	Settle time.Duration
	// Idle is how long the cost at rest is measured.
	Idle time.Duration
	// Changes is the number of revisions published, ChangePeriod the time
	// between two.
	Changes      int
	ChangePeriod time.Duration
	// Kills is the number of nodes stopped abruptly, one after the other.
	Kills int
	// Servers and Shards give the size of the spec that is published.
	Servers int
	Shards  int
	// Timeout bounds each wait of the run.
	Timeout time.Duration
	// Target is the number of nodes to which the slopes are drawn out.
	Target int
	// TargetChanges is the number of changes of configuration a day there.
	TargetChanges float64
	// Progress, when set, gets a line for each step.
	Progress func(line string)
}

// DefaultOptions measures what ends within a few minutes.
func DefaultOptions() Options {
	return Options{
		Sizes:         []int{5, 20, 100},
		Zones:         16,
		Regions:       5,
		Settle:        15 * time.Second,
		Idle:          15 * time.Second,
		Changes:       30,
		ChangePeriod:  time.Second,
		Kills:         3,
		Servers:       48,
		Shards:        16,
		Timeout:       2 * time.Minute,
		Target:        3600,
		TargetChanges: 3200,
		Progress:      func(string) {},
	}
}
