package rollout

import (
	"math"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

// Pool aggregates what all processes report of one order. Reports are cumulative: one that is
// repeated or arrives out of order changes nothing, and a pool that starts late gets all counts
// with the first reports. The zero value is an empty pool. It reads no clock and is not safe
// for concurrent use.
type Pool struct {
	reporters map[reporter]*latestReport
	evidence  evidence
	// firstReportAt is when the first report arrived, initialRequests the sum of the requests
	// in the first reports of all processes.
	firstReportAt   time.Time
	initialRequests uint32
}

// reporter identifies one process of a node.
type reporter struct {
	node    string
	process uint64
}

// latestReport is the latest report of a process.
type latestReport struct {
	sequence   uint64
	report     OrderReport
	receivedAt time.Time
}

// Add adds the report of a process.
func (p *Pool) Add(node string, process, sequence uint64, report OrderReport, now time.Time) {
	if p.reporters == nil {
		p.reporters = make(map[reporter]*latestReport)
		p.firstReportAt = now
	}
	name := reporter{node: node, process: process}
	latest := p.reporters[name]
	switch {
	case latest == nil:
		latest = &latestReport{}
		p.reporters[name] = latest
		p.initialRequests += report.Requests
	case sequence <= latest.sequence:
		return
	}
	p.evidence.advance(now.Sub(p.firstReportAt))
	for _, counts := range report.Routes {
		p.evidence.add(counts.addedSince(latest.report.Routes))
	}
	latest.sequence, latest.report, latest.receivedAt = sequence, report, now
}

// addedSince returns what was added to the counts since an earlier report.
func (r RouteCounts) addedSince(earlier []RouteCounts) RouteCounts {
	for _, counts := range earlier {
		if counts.Route != r.Route {
			continue
		}
		added := RouteCounts{Route: r.Route, Old: r.Old.addedSince(counts.Old), New: make(map[ServerID]Counts, len(r.New))}
		for id, now := range r.New {
			added.New[id] = now.addedSince(counts.New[id])
		}
		return added
	}
	return r
}

// addedSince returns what was added to the counts; counts that have shrunk have started again
// from zero.
func (c Counts) addedSince(earlier Counts) Counts {
	if c.Answers < earlier.Answers || c.Failed < earlier.Failed || c.Timed < earlier.Timed || c.Slow < earlier.Slow {
		return c
	}
	return c.Minus(earlier)
}

// Evaluate returns the verdict on the reports so far.
func (p *Pool) Evaluate() Verdict { return p.evidence.evaluate() }

// Reporters returns how many processes have reported within the given time.
func (p *Pool) Reporters(now time.Time, within time.Duration) int {
	return p.count(func(latest *latestReport) bool { return now.Sub(latest.receivedAt) <= within })
}

// Adopted returns how many of these have adopted the order at the revision or a later one.
func (p *Pool) Adopted(revision catalog.Revision, now time.Time, within time.Duration) int {
	return p.count(func(latest *latestReport) bool {
		return now.Sub(latest.receivedAt) <= within && latest.report.Revision >= revision
	})
}

func (p *Pool) count(matches func(*latestReport) bool) int {
	count := 0
	for _, latest := range p.reporters {
		if matches(latest) {
			count++
		}
	}
	return count
}

// Elapsed returns how long the order has run, as far as any process knows.
func (p *Pool) Elapsed(now time.Time) time.Duration {
	var longest time.Duration
	for _, latest := range p.reporters {
		longest = max(longest, latest.report.Elapsed+now.Sub(latest.receivedAt))
	}
	return longest
}

// OldInFlight returns how many requests are in flight at servers of other versions.
func (p *Pool) OldInFlight() int {
	sum := 0
	for _, latest := range p.reporters {
		sum += latest.report.OldInFlight
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

// Sent returns how many attempts went to the target.
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

// minRateSpan is the shortest span of reports from which a rate of requests is computed.
const minRateSpan = time.Second

// MayAdvance reports whether the next step of moving the traffic may be taken: the target was
// found good, or it could not break the bounds if it were bad. A bad target cannot break them
// in the step to the shift stage, where processes bound their exposure, nor in the last step if
// too few requests come until the deadline.
func (p *Pool) MayAdvance(order Order, plan Plan, bounds Bounds, now time.Time) bool {
	switch p.Evaluate().Finding {
	case Good:
		return true
	case Bad:
		return false
	}
	if len(p.reporters) > 0 && order.Current().Stage < StageShift {
		return true
	}
	span, elapsed := now.Sub(p.firstReportAt), p.Elapsed(now)
	if len(p.reporters) == 0 || span < minRateSpan {
		return false
	}
	requests := float64(p.Requests())
	rate := max(maxRate(requests, elapsed), maxRate(requests-float64(p.initialRequests), span))
	left := max(plan.Deadline-elapsed, 0).Seconds()
	return float64(p.Sent())+rate*left <= bounds.Share*requests+bounds.Slack
}

// maxRate returns a rate per second that is hardly exceeded, given the number of events in the
// span: it adds three standard deviations of their number, and three for the case of none.
func maxRate(events float64, span time.Duration) float64 {
	return (events + 3*math.Sqrt(events) + 3) / span.Seconds()
}
