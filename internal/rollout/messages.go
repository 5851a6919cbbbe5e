package rollout

import (
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

// Counts are numbers of answers of one version, or of one server of it, on one route. They only
// grow within a process, so that a report that is repeated or arrives out of order does no
// harm.
type Counts struct {
	// Answers counts all results that tell whether the server works, Failed the errors,
	// refusals and broken connections among them.
	Answers uint32 `json:"a,omitempty"`
	Failed  uint32 `json:"f,omitempty"`
	// Timed counts answers, and requests that were given up late, of servers that have not just
	// started; Slow counts those that took slowFactor times the usual time or more.
	Timed uint32 `json:"t,omitempty"`
	Slow  uint32 `json:"s,omitempty"`
}

// Plus returns the sum.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Answers: c.Answers + other.Answers,
		Failed:  c.Failed + other.Failed,
		Timed:   c.Timed + other.Timed,
		Slow:    c.Slow + other.Slow,
	}
}

// Minus returns what was added since an earlier state of the same counts.
func (c Counts) Minus(earlier Counts) Counts {
	return Counts{
		Answers: c.Answers - earlier.Answers,
		Failed:  c.Failed - earlier.Failed,
		Timed:   c.Timed - earlier.Timed,
		Slow:    c.Slow - earlier.Slow,
	}
}

// RouteCounts are the results of the requests of one route.
type RouteCounts struct {
	Route string `json:"r"`
	// Old are the answers of all other versions, New those of the target by server.
	Old Counts              `json:"o"`
	New map[ServerID]Counts `json:"n,omitempty"`
}

// OrderReport is what one process has seen of one order since it learned of it.
type OrderReport struct {
	Service string           `json:"service"`
	Target  Version          `json:"target"`
	Created catalog.Revision `json:"created"`
	// Since is Order.Since.
	Since catalog.Revision `json:"since,omitempty"`
	// Revision is that of the order in effect at the node.
	Revision catalog.Revision `json:"revision"`
	// Elapsed is how long the order has run, as far as the node knows.
	Elapsed time.Duration `json:"elapsed"`
	// OldInFlight is the number of requests in flight at servers of other versions.
	OldInFlight int `json:"oldUnderWay,omitempty"`
	// Servers is the number of ready servers of the target that the node knows.
	Servers int `json:"servers,omitempty"`
	// Requests counts all requests of the service that the process has had since it learned of
	// the order, Sent the attempts at the target among them.
	Requests uint32 `json:"requests,omitempty"`
	Sent     uint32 `json:"sent,omitempty"`
	// Halted is set if the node was told that the target is bad, so that the next decider
	// need not find out again.
	Halted bool          `json:"halted,omitempty"`
	Routes []RouteCounts `json:"routes,omitempty"`
}

// Key returns the key of the order.
func (o OrderReport) Key() Key { return Key{Service: o.Service, Target: o.Target, Created: o.Created} }

// Report is what a process sends to the decider. Reports are cumulative.
type Report struct {
	Node string `json:"node"`
	// Process distinguishes the processes of a node; Sequence increases with each report.
	Process  uint64        `json:"process"`
	Sequence uint64        `json:"sequence"`
	Orders   []OrderReport `json:"orders"`
}

// OrderReply is the reply to a report of one order.
type OrderReply struct {
	Service string           `json:"service"`
	Target  Version          `json:"target"`
	Created catalog.Revision `json:"created"`
	// Since is Order.Since.
	Since catalog.Revision `json:"since,omitempty"`
	// Halt means that the version was found bad: it gets nothing more, even while the store is
	// unavailable.
	Halt bool `json:"halt,omitempty"`
	// CannotWrite means that the replying node cannot write to the store, so that another one should
	// decide.
	CannotWrite bool `json:"unable,omitempty"`
}

// Key returns the key of the order.
func (r OrderReply) Key() Key { return Key{Service: r.Service, Target: r.Target, Created: r.Created} }
