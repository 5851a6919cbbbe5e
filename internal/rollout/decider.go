package rollout

import (
	"cmp"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

const (
	// maxReportAge is the age up to which a report counts for a step forward. A report that is
	// due every idleReportInterval may be late once.
	maxReportAge = 1500 * time.Millisecond
	// maxTickGap is the time between two ticks above which the process counts as frozen:
	// another node may have decided since. Ticks are tickInterval apart.
	maxTickGap = time.Second
	// minFullTime is how long all nodes must send everything to the new version before the old
	// servers may stop: attempts whose server was chosen earlier have been sent by then.
	minFullTime = 400 * time.Millisecond
	// maxDrainWait bounds the wait for requests in flight at old servers.
	maxDrainWait = 2 * time.Second
	// maxAdoptionWait bounds the wait for nodes that report but have not adopted the latest
	// status, provided that at least half of the reporting nodes have.
	maxAdoptionWait = 3 * time.Second
)

// Fleet counts the ready servers of a service as one node knows them.
type Fleet struct {
	// New are the servers of the order's target that registered after the order, Earlier those
	// of the target that registered before it.
	New, Earlier int
	// Others are the servers of other versions.
	Others int
}

// View is what the decider knows about an order besides the reports.
type View struct {
	Order  Order
	Bounds Bounds
	// Elapsed is how long the order has run.
	Elapsed time.Duration
	// Halted is set if the target was found bad, by this node or another one.
	Halted bool
	Fleet  Fleet
	// Live is the number of live nodes.
	Live int
}

// Action is what the decider does next. The zero value does nothing.
type Action struct {
	// Status is to be written on condition of the order's revision. Nothing is written if its
	// state is StateNone.
	Status Status
	// Halt means that the target must get nothing more, whether or not the write succeeds.
	Halt bool
	// Cause is the reason, where the status alone does not tell it.
	Cause string
	// Verdict is the verdict on the evidence.
	Verdict Verdict
}

// Decider takes one order from stage to stage. It does no I/O and reads no clock: each tick
// returns the next action, which is repeated until a later status, or the end of the order, is
// known. The zero value has no reports.
type Decider struct {
	Pool Pool

	tickedAt time.Time
	// halted is set once the target was found bad, good once it was found good.
	halted, good bool
	// adoptedAt is since when all reporting nodes have adopted the status at adoptedRevision;
	// zero while some have not.
	adoptedRevision catalog.Revision
	adoptedAt       time.Time
}

// reportPool is what a decider needs from the pooled reports; Pool implements it.
type reportPool interface {
	Evaluate() Verdict
	Reporters(now time.Time, within time.Duration) int
	Adopted(revision catalog.Revision, now time.Time, within time.Duration) int
	Elapsed(now time.Time) time.Duration
	OldInFlight() int
	Servers() int
	MayAdvance(order Order, plan Plan, bounds Bounds, now time.Time) bool
}

// Tick returns what to do now. A decider that was frozen discards all reports.
func (d *Decider) Tick(view View, now time.Time) Action {
	frozen := !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > maxTickGap
	d.tickedAt = now
	if frozen {
		d.Reset()
		d.tickedAt = now
	}
	return d.decide(view, &d.Pool, now)
}

// tickState is the input of one tick.
type tickState struct {
	View
	pool    reportPool
	plan    Plan
	current Status
	elapsed time.Duration
	now     time.Time
	// noLongerGood is set if the target was found good, the evidence is undecided since, and
	// there is time left to wait for more.
	noLongerGood bool
}

func (d *Decider) decide(view View, pool reportPool, now time.Time) Action {
	if view.Order.Ended() {
		return Action{}
	}
	tick := tickState{
		View:    view,
		pool:    pool,
		plan:    NewPlan(view.Order.Duration),
		current: view.Order.Current(),
		elapsed: max(view.Elapsed, pool.Elapsed(now)),
		now:     now,
	}
	if cause := view.Order.InvalidReason(); cause != "" {
		return tick.rollBack(cause)
	}
	d.updateAdoption(tick)
	verdict := pool.Evaluate()
	d.halted = d.halted || view.Halted || verdict.Finding == Bad
	d.good = d.good || verdict.Finding == Good
	tick.noLongerGood = d.good && verdict.Finding == Undecided && tick.elapsed < tick.plan.GiveUp
	action := d.next(tick, verdict)
	action.Verdict = verdict
	return action
}

// next returns the next action.
func (d *Decider) next(tick tickState, verdict Verdict) Action {
	if d.halted {
		action := tick.rollBack(cmp.Or(verdict.Cause, "found bad by another node"))
		action.Halt = true
		return action
	}
	if tick.current.State == StateNone {
		return tick.write(StateRunning, StageWaiting)
	}
	if tick.current.Stage == StageFull {
		return d.completeWhenDrained(tick)
	}
	if tick.inUse() {
		if tick.elapsed < tick.plan.Shift {
			return Action{}
		}
		action := tick.write(StateCompleted, StageWaiting)
		action.Cause = "the version is in use already"
		return action
	}
	if tick.elapsed >= tick.plan.GiveUp {
		return tick.rollBack(tick.giveUpCause())
	}
	return tick.nextStage()
}

// nextStage returns the step to the next stage, up to StageFull, if it is due.
func (t tickState) nextStage() Action {
	switch {
	case t.current.Stage == StageWaiting:
		if t.servers() > 0 {
			return t.write(StateRunning, StageCanary)
		}
	case !t.hasQuorum():
	case t.current.Stage == StageShift:
		if t.elapsed >= t.plan.Full && t.stageAge() >= minShiftTime && t.adoptedByQuorum() && t.mayAdvance() {
			return t.write(StateRunning, StageFull)
		}
	case t.elapsed >= t.plan.Shift:
		if t.mayAdvance() {
			return t.write(StateRunning, StageShift)
		}
	case t.current.Stage == StageCanary && t.elapsed >= t.plan.Load:
		return t.write(StateRunning, StageLoad)
	}
	return Action{}
}

func (t tickState) mayAdvance() bool {
	return t.servers() > 0 && t.pool.MayAdvance(t.Order, t.plan, t.Bounds, t.now)
}

// completeWhenDrained completes the order once no requests are in flight at the old servers,
// which stop right after completion.
func (d *Decider) completeWhenDrained(tick tickState) Action {
	if tick.noLongerGood || !tick.hasQuorum() {
		return Action{}
	}
	adoptedFor := time.Duration(0)
	if !d.adoptedAt.IsZero() {
		adoptedFor = tick.now.Sub(d.adoptedAt)
	}
	drained := adoptedFor >= minFullTime && tick.pool.OldInFlight() == 0
	switch {
	case drained, adoptedFor >= maxDrainWait:
	case tick.stageAge() >= maxAdoptionWait && tick.adoptedByQuorum():
	default:
		return Action{}
	}
	return tick.write(StateCompleted, StageFull)
}

// updateAdoption records since when all reporting nodes have adopted the latest status.
func (d *Decider) updateAdoption(tick tickState) {
	if d.adoptedRevision != tick.Order.Revision {
		d.adoptedRevision, d.adoptedAt = tick.Order.Revision, time.Time{}
	}
	reporters := tick.pool.Reporters(tick.now, maxReportAge)
	all := reporters > 0 && tick.pool.Adopted(tick.Order.Revision, tick.now, maxReportAge) >= reporters
	switch {
	case !all:
		d.adoptedAt = time.Time{}
	case d.adoptedAt.IsZero():
		d.adoptedAt = tick.now
	}
}

// hasQuorum reports whether at least half of the live nodes have reported recently.
func (t tickState) hasQuorum() bool {
	reporters := t.pool.Reporters(t.now, maxReportAge)
	return reporters > 0 && 2*reporters >= t.Live
}

// adoptedByQuorum reports whether at least half of the reporting nodes have adopted the latest
// status.
func (t tickState) adoptedByQuorum() bool {
	return 2*t.pool.Adopted(t.Order.Revision, t.now, maxReportAge) >= t.pool.Reporters(t.now, maxReportAge)
}

// stageAge returns how long the current stage has lasted.
func (t tickState) stageAge() time.Duration { return t.elapsed - t.current.Elapsed }

// servers returns how many ready servers the order has started.
func (t tickState) servers() int { return max(t.Fleet.New, t.pool.Servers()) }

// inUse reports whether the target is the version in use already: there is no traffic to move,
// unless servers that the order starts are still to come.
func (t tickState) inUse() bool {
	return t.servers() == 0 && t.Fleet.Earlier > 0 && t.Fleet.Others == 0
}

// giveUpCause returns why the target cannot get the traffic.
func (t tickState) giveUpCause() string {
	switch {
	case t.servers() == 0:
		return "no server of the version"
	case !t.hasQuorum():
		return "too few nodes report"
	}
	return "not found good in time"
}

func (t tickState) rollBack(cause string) Action {
	action := t.write(StateRolledBack, t.current.Stage)
	action.Cause = cause
	return action
}

func (t tickState) write(state State, stage Stage) Action {
	return Action{Status: Status{State: state, Target: t.Order.Target, Stage: stage, Elapsed: t.elapsed}}
}

// Reset discards all reports, because another node decides.
func (d *Decider) Reset() {
	d.Pool = Pool{}
	d.tickedAt, d.adoptedRevision, d.adoptedAt = time.Time{}, 0, time.Time{}
	d.good = false
}
