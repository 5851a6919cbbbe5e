package swim

import (
	"math"
	"time"
)

// Options are the periods and limits of the protocol. All nodes of a system should use the same.
type Options struct {
	// ProbePeriod is the time between two probes by one node.
	ProbePeriod time.Duration
	// ProbeTimeout is how long to wait for a direct answer before other members are asked to probe;
	// it must be below ProbePeriod.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe.
	IndirectProbes int
	// SuspicionPeriods is the number of probe periods that a suspect has to refute, plus one for
	// each factor of ten in the number of members.
	SuspicionPeriods int
	// GossipPeriod is the time between two rounds of gossip while there are updates to send.
	GossipPeriod time.Duration
	// GossipFanout is the number of members that receive a round of gossip.
	GossipFanout int
	// RetransmitFactor times the logarithm (base 10, rounded up) of the number of members is how
	// often a node sends each update.
	RetransmitFactor int
	// MaxDatagramBytes is the maximum size of a message, below the usual MTU of 1,500 bytes.
	MaxDatagramBytes int
	// DeadProbePeriod is the time between two pings to dead members or seeds.
	DeadProbePeriod time.Duration
	// DeadRetention is how long a failed member is remembered; it bounds how long regions can be
	// partitioned and still rejoin without a seed.
	DeadRetention time.Duration
	// LeftRetention is how long a member that left by itself is remembered.
	LeftRetention time.Duration
	// SyncPeriod is the minimum time between two comparisons of tables.
	SyncPeriod time.Duration
	// PauseThreshold is the gap between two ticks that counts as a pause of the process.
	PauseThreshold time.Duration
	// IsolationTimeout is how long a node that knows several live members may receive no messages
	// before it considers itself isolated.
	IsolationTimeout time.Duration
}

// DefaultOptions returns options for 3 to 3,600 nodes with round trips of up to 50 ms.
func DefaultOptions() Options {
	return Options{
		ProbePeriod:      time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		IndirectProbes:   3,
		SuspicionPeriods: 3,
		GossipPeriod:     200 * time.Millisecond,
		GossipFanout:     3,
		RetransmitFactor: 4,
		MaxDatagramBytes: 1200,
		DeadProbePeriod:  5 * time.Second,
		DeadRetention:    24 * time.Hour,
		LeftRetention:    time.Hour,
		SyncPeriod:       10 * time.Second,
		PauseThreshold:   time.Second,
		IsolationTimeout: 3 * time.Second,
	}
}

// decimalDigits returns the number of decimal digits of a number of members.
func decimalDigits(members int) int {
	return max(1, int(math.Ceil(math.Log10(float64(members+1)))))
}

func (options Options) suspicionTime(members int) time.Duration {
	return time.Duration(options.SuspicionPeriods+decimalDigits(members)) * options.ProbePeriod
}

func (options Options) transmissions(members int) int {
	return options.RetransmitFactor * decimalDigits(members)
}
