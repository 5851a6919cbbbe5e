package rollout

import (
	"math"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

// Pool joins what all processes report of one order. Reports are cumulative: one that
// is repeated or was overtaken changes nothing, and a pool that starts late gets all
// counts with the first reports. The zero value is an empty pool. It reads no clock and
// is not safe for concurrent use.
type Pool struct {
	reporters map[reporter]*heard
	evidence  evidence
	// startedAt is when the first report came, startedWith the sum of the requests that
	// the first reports of all processes named.
	startedAt   time.Time
	startedWith uint32
}

// reporter names one process of a node.
type reporter struct {
	node    string
	process uint64
}

// heard is the latest report of a process.
type heard struct {
	sequence uint64
	report   OrderReport
	at       time.Time
}

// Add takes in the report of a process.
func (p *Pool) Add(node string, process, sequence uint64, report OrderReport, now time.Time) {
	if p.reporters == nil {
		p.reporters = make(map[reporter]*heard)
		p.startedAt = now
	}
	name := reporter{node: node, process: process}
	latest := p.reporters[name]
	switch {
	case latest == nil:
		latest = &heard{}
		p.reporters[name] = latest
		p.startedWith += report.Requests
	case sequence <= latest.sequence:
		return
	}
	p.evidence.advance(now.Sub(p.startedAt))
	for _, counts := range report.Routes {
		p.evidence.add(counts.since(latest.report.Routes))
	}
	latest.sequence, latest.report, latest.at = sequence, report, now
}

// since returns what the counts have grown by since an earlier report.
func (r RouteCounts) since(earlier []RouteCounts) RouteCounts {
	for _, counts := range earlier {
		if counts.Route != r.Route {
			continue
		}
		added := RouteCounts{Route: r.Route, Old: r.Old.since(counts.Old), New: make(map[ServerID]Counts, len(r.New))}
		for id, now := range r.New {
			added.New[id] = now.since(counts.New[id])
		}
		return added
	}
	return r
}

// since returns what the counts have grown by; counts that have shrunk began anew.
func (c Counts) since(earlier Counts) Counts {
	if c.Answers < earlier.Answers || c.Failed < earlier.Failed || c.Timed < earlier.Timed || c.Slow < earlier.Slow {
		return c
	}
	return c.Minus(earlier)
}

// Judge returns what the reports so far say of the version.
func (p *Pool) Judge() Verdict { return p.evidence.judge() }

// Reporters returns how many processes were heard within the time.
func (p *Pool) Reporters(now time.Time, within time.Duration) int {
	return p.count(func(latest *heard) bool { return now.Sub(latest.at) <= within })
}

// Adopted returns how many of these have the order at the revision, or a later one, in
// force.
func (p *Pool) Adopted(revision catalog.Revision, now time.Time, within time.Duration) int {
	return p.count(func(latest *heard) bool {
		return now.Sub(latest.at) <= within && latest.report.Revision >= revision
	})
}

func (p *Pool) count(matches func(*heard) bool) int {
	count := 0
	for _, latest := range p.reporters {
		if matches(latest) {
			count++
		}
	}
	return count
}

// Elapsed returns for how long the order has run, as far as any process knew.
func (p *Pool) Elapsed(now time.Time) time.Duration {
	var longest time.Duration
	for _, latest := range p.reporters {
		longest = max(longest, latest.report.Elapsed+now.Sub(latest.at))
	}
	return longest
}

// OldUnderWay returns how many requests are under way at servers of other versions.
func (p *Pool) OldUnderWay() int {
	sum := 0
	for _, latest := range p.reporters {
		sum += latest.report.OldUnderWay
	}
	return sum
}

// Servers returns how many ready servers of the target are known.
func (p *Pool) Servers() int {
	most := 0
	for _, latest := range p.reporters {
		most = max(most, latest.report.Servers)
	}
	return most
}

// Requests returns how many requests of the service there have been since the order.
func (p *Pool) Requests() uint32 {
	return p.sum(func(report OrderReport) uint32 { return report.Requests })
}

// Sent returns how many sends went to the target.
func (p *Pool) Sent() uint32 {
	return p.sum(func(report OrderReport) uint32 { return report.Sent })
}

func (p *Pool) sum(value func(OrderReport) uint32) uint32 {
	var sum uint32
	for _, latest := range p.reporters {
		sum += value(latest.report)
	}
	return sum
}

// shortestSpan is the least time over which the rate of requests is known from reports.
const shortestSpan = time.Second

// MayAdvance reports whether the next step of moving the traffic may be made: the
// target was found good, or it could not break the bounds if it were bad. It can't in the
// shift stage, where processes bound their exposure, nor in the last one where too few
// requests come until the deadline.
func (p *Pool) MayAdvance(order Order, plan Plan, bounds Bounds, now time.Time) bool {
	switch p.Judge().Finding {
	case Good:
		return true
	case Bad:
		return false
	}
	if len(p.reporters) > 0 && order.Current().Stage < StageShift {
		return true
	}
	span, elapsed := now.Sub(p.startedAt), p.Elapsed(now)
	if len(p.reporters) == 0 || span < shortestSpan {
		return false
	}
	requests := float64(p.Requests())
	rate := max(highRate(requests, elapsed), highRate(requests-float64(p.startedWith), span))
	left := max(plan.Deadline-elapsed, 0).Seconds()
	return float64(p.Sent())+rate*left <= bounds.Share*requests+bounds.Slack
}

// highRate returns a rate per second that events of which so many came in the span
// hardly exceed: three standard deviations of their number, and three for none.
func highRate(events float64, span time.Duration) float64 {
	return (events + 3*math.Sqrt(events) + 3) / span.Seconds()
}
