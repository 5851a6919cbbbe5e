package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/members"
)

const (
	// tickInterval is how often orders that are being carried out are processed.
	tickInterval = 250 * time.Millisecond
	// activeReportInterval is the least time between reports while answers of a target arrive.
	// It grows by reportIntervalPerNode with each live node, up to maxActiveReportInterval,
	// because the decider has to read all reports. idleReportInterval is the time between
	// reports that only tell which status is in effect.
	activeReportInterval    = 200 * time.Millisecond
	reportIntervalPerNode   = time.Millisecond
	maxActiveReportInterval = 450 * time.Millisecond
	idleReportInterval      = 750 * time.Millisecond
	// reportTimeout bounds one report: the next node has to be asked before exposure ends for
	// lack of reports (maxUnreportedAge).
	reportTimeout = 400 * time.Millisecond
	// resumePause is how long a process that was frozen refuses reports: those that waited
	// meanwhile are older than they look, by reportTimeout at most.
	resumePause = 500 * time.Millisecond
	// writeTimeout bounds one write of a status, writeBackoff is the wait after a failed one.
	writeTimeout = time.Second
	writeBackoff = 300 * time.Millisecond
)

// errResumed means that the process was frozen and cannot tell how old a report is.
var errResumed = errors.New("the node was not running a moment ago")

// Observer is notified of what happens to orders. Its methods do not block.
type Observer interface {
	// FindingChanged is called for each finding that differs from the one before.
	FindingChanged(service string, finding Finding)
	// StatusWritten is called at the end of each write of a status.
	StatusWritten(service string, status Status, err error)
}

// Options configure an agent.
type Options struct {
	Self        members.Member
	Bounds      Bounds
	Tracker     *Tracker
	Transport   Transport
	StatusStore StatusStore
	// Fleet counts the servers of an order's service.
	Fleet func(Order) Fleet
	// Process distinguishes this process from earlier ones of the node.
	Process  uint64
	Observer Observer
	// Now includes the time for which the machine is suspended; nil for time.Now.
	Now func() time.Time
}

// Agent carries out orders together with the agents of the other nodes: it reports to the
// deciders, decides where this node is the decider, and writes the statuses. It does
// nothing while no order is being carried out. It is safe for concurrent use.
type Agent struct {
	Options
	wake  chan struct{}
	tasks sync.WaitGroup

	mutex    sync.Mutex
	election election
	// recipients are the nodes that got reports.
	recipients map[string]*recipient
	// orders are those that are being carried out.
	orders   map[Key]*orderRun
	sequence uint64
	// rewrites are the times at which the decisions that a restored store has lost are written
	// next.
	rewrites map[Key]time.Time
	// tickedAt is the time of the latest tick, zero while there are no orders; resumedAt is
	// when the process resumed after it was frozen.
	tickedAt, resumedAt time.Time
}

// recipient is what an agent keeps about a node that it reports to.
type recipient struct {
	reporting bool
	sentAt    time.Time
}

// orderRun is what an agent keeps about one order.
type orderRun struct {
	decider Decider
	// peerReportAt is when another node last reported.
	peerReportAt time.Time
	finding      Finding
	// reportedTo is the node that got the latest report.
	reportedTo string
	writing    bool
	// backoffUntil is when the next write may be made; failing is set if the last one got no
	// reply.
	backoffUntil time.Time
	failing      bool
}

// NewAgent returns an agent; it does nothing before Run.
func NewAgent(options Options) *Agent {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Agent{
		Options:    options,
		wake:       make(chan struct{}, 1),
		election:   newElection(options.Self),
		recipients: make(map[string]*recipient),
		orders:     make(map[Key]*orderRun),
		rewrites:   make(map[Key]time.Time),
	}
}

// SetMembers replaces the live nodes.
func (a *Agent) SetMembers(live []members.Member) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.election.set(live)
}

// Wake makes the agent process the orders at once, because one was added or changed.
func (a *Agent) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run carries out orders until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	defer a.tasks.Wait()
	for ctx.Err() == nil {
		var next <-chan time.Time
		if a.tick(ctx, a.Now()) {
			next = time.After(tickInterval)
		}
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-next:
		}
	}
}

// tick processes all orders once. It returns false if there are none.
func (a *Agent) tick(ctx context.Context, now time.Time) bool {
	reports, unreported := a.Tracker.Reports(now)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.detectFreeze(len(reports) > 0, now)
	a.pruneOrders(reports)
	a.sequence++
	outgoing := make(map[members.Member][]OrderReport)
	for _, report := range reports {
		known, found := a.Tracker.Progress(report.Key(), now)
		if !found {
			continue
		}
		fleet := a.Fleet(known.Order)
		report.Servers = fleet.New
		run := a.runOf(known.Order)
		decider := a.election.decider(report.Service, now)
		if decider.Name == a.Self.Name {
			a.Tracker.MarkReported([]Key{report.Key()}, now)
			a.logDecider(run, report.Service, decider.Name)
		} else {
			outgoing[decider] = append(outgoing[decider], report)
		}
		if decider.Name == a.Self.Name || now.Sub(run.peerReportAt) <= maxReportAge {
			run.decider.Pool.Add(a.Self.Name, a.Process, a.sequence, report, now)
			a.decide(ctx, run, known, fleet, now)
		} else {
			run.decider.Reset()
		}
	}
	for member, orders := range outgoing {
		a.report(ctx, member, orders, unreported, now)
	}
	return a.rewriteAll(ctx, now) || len(reports) > 0
}

// detectFreeze detects that the process was frozen.
func (a *Agent) detectFreeze(busy bool, now time.Time) {
	if a.frozen(now) {
		a.resumedAt = now
		klog.InfoS("rollout agent was not running", "ms", now.Sub(a.tickedAt).Milliseconds())
	}
	a.tickedAt = time.Time{}
	if busy {
		a.tickedAt = now
	}
}

func (a *Agent) frozen(now time.Time) bool {
	return !a.tickedAt.IsZero() && now.Sub(a.tickedAt) > maxTickGap
}

// pruneOrders removes the orders that are no longer carried out.
func (a *Agent) pruneOrders(reports []OrderReport) {
	listed := make(map[Key]bool, len(reports))
	for _, report := range reports {
		listed[report.Key()] = true
	}
	for key := range a.orders {
		if !listed[key] {
			delete(a.orders, key)
		}
	}
	if len(reports) == 0 {
		clear(a.recipients)
	}
}

// runOf returns what is kept about an order.
func (a *Agent) runOf(order Order) *orderRun {
	run, found := a.orders[order.Key()]
	if !found {
		run = &orderRun{}
		a.orders[order.Key()] = run
		klog.InfoS("rollout ordered", "service", order.Service, "target", order.Target, "duration", order.Duration.String(),
			"state", order.Current().State.String(), "stage", order.Current().Stage.String())
	}
	return run
}

// decide carries out the next action of an order's decider.
func (a *Agent) decide(ctx context.Context, run *orderRun, known Progress, fleet Fleet, now time.Time) {
	action := run.decider.Tick(View{
		Order:   known.Order,
		Bounds:  a.Bounds,
		Elapsed: known.Elapsed,
		Halted:  known.Halted,
		Fleet:   fleet,
		Live:    a.election.live,
	}, now)
	a.recordFinding(run, known.Order, action.Verdict, now)
	if action.Halt {
		a.Tracker.Halt(known.Order.Key())
	}
	if action.Status.State == StateNone || run.writing || now.Before(run.backoffUntil) {
		return
	}
	run.writing = true
	a.tasks.Go(func() { a.write(ctx, run, known.Order, action) })
}

// recordFinding logs a finding that differs from the one before.
func (a *Agent) recordFinding(run *orderRun, order Order, verdict Verdict, now time.Time) {
	if run.finding == verdict.Finding {
		return
	}
	run.finding = verdict.Finding
	klog.InfoS("rollout verdict", "service", order.Service, "target", order.Target, "finding", verdict.Finding.String(), "cause", verdict.Cause,
		"old", verdict.Old, "new", verdict.New, "reporters", run.decider.Pool.Reporters(now, maxReportAge))
	a.Observer.FindingChanged(order.Service, verdict.Finding)
}

// write makes one conditional write of a status. A write that got no reply may have been done:
// the next one, with the same revision, detects that.
func (a *Agent) write(ctx context.Context, run *orderRun, order Order, action Action) {
	begun := a.Now()
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, err := a.StatusStore.WriteStatus(writeCtx, order, action.Status)
	a.Observer.StatusWritten(order.Service, action.Status, err)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	run.writing = false
	switch {
	case err == nil:
		run.failing = false
		a.Tracker.Update(written, begun)
		a.logStep(run, order, action)
	case errors.Is(err, ErrConflict):
		run.failing = false
		run.backoffUntil = a.Now().Add(writeBackoff)
		a.Tracker.Update(written, a.Now())
	default:
		run.failing = true
		a.election.readOnly(a.Self.Name, a.Now())
		run.backoffUntil = a.Now().Add(writeBackoff)
		klog.ErrorS(err, "rollout status not written", "service", order.Service, "state", action.Status.State.String(),
			"stage", action.Status.Stage.String(), "revision", order.Revision)
	}
	a.Wake()
}

// logStep logs a status that was written.
func (a *Agent) logStep(run *orderRun, order Order, action Action) {
	message := "rollout step"
	switch action.Status.State {
	case StateCompleted:
		message = "rollout completed"
	case StateRolledBack:
		message = "rollout rolled back"
		if order.InvalidReason() != "" {
			message = "rollout order invalid"
		}
	}
	klog.InfoS(message, "service", order.Service, "target", order.Target, "stage", action.Status.Stage.String(), "cause", action.Cause,
		"elapsed_ms", action.Status.Elapsed.Milliseconds(), "sent", run.decider.Pool.Sent(), "requests", run.decider.Pool.Requests())
}
