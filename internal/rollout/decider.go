package rollout

import (
	"cmp"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

const (
	// freshFor is how old a report may be that counts for a step forward. A report that
	// is due every reportInterval may be late once.
	freshFor = 1500 * time.Millisecond
	// longestTick is the time between two ticks from which a process counts as frozen:
	// what it knew may have been decided otherwise since. Ticks are tickInterval apart.
	longestTick = time.Second
	// wholeTime is for how long all nodes send everything to the new version before the
	// old servers may stop: what was chosen before has been sent by then.
	wholeTime = 400 * time.Millisecond
	// longestDrain is how long requests under way at old servers are waited for.
	longestDrain = 2 * time.Second
	// longestAdoption is how long nodes that report, but do not learn of a step, are
	// waited for as long as they are the smaller part.
	longestAdoption = 3 * time.Second
)

// Fleet counts the ready servers of a service as one node knows them.
type Fleet struct {
	// New are those of an order's target that listed themselves after the order, Earlier
	// those of the target that were there before it.
	New, Earlier int
	// Others are the servers of other versions.
	Others int
}

// View is what the deciding node knows of an order besides the reports.
type View struct {
	Order  Order
	Bounds Bounds
	// Elapsed is for how long the order has run.
	Elapsed time.Duration
	// Halted is set if the target was found to be bad, be it by another node.
	Halted bool
	Fleet  Fleet
	// Live is the number of live nodes.
	Live int
}

// Action is what the deciding node has to do. The zero value is nothing.
type Action struct {
	// Status is to be written on condition of the order's revision; nothing is if its
	// state is StateNone.
	Status Status
	// Halt is set if the target must get nothing more, whatever becomes of the write.
	Halt bool
	// Cause says why, where the status alone does not.
	Cause string
	// Verdict is what the evidence said.
	Verdict Verdict
}

// Decider takes one order from step to step. It does no I/O and reads no clock: each
// tick says what to do next. An action is repeated until a later status, or the end of
// the order, is known. The zero value knows of no reports.
type Decider struct {
	Pool Pool

	tickedAt time.Time
	// halted is set once the target was found to be bad, good once it was found good.
	halted, good bool
	// adoptedAt is since when all nodes that report have adopted the status of the
	// revision adopted.
	adopted   catalog.Revision
	adoptedAt time.Time
}

// pooled is what a decider asks of the pooled reports; Pool implements it.
type pooled interface {
	Judge() Verdict
	Reporters(now time.Time, within time.Duration) int
	Adopted(revision catalog.Revision, now time.Time, within time.Duration) int
	Elapsed(now time.Time) time.Duration
	OldUnderWay() int
	Servers() int
	MayAdvance(order Order, plan Plan, bounds Bounds, now time.Time) bool
}

// Tick returns what is to be done now. A decider that was frozen forgets all reports.
func (d *Decider) Tick(view View, now time.Time) Action {
	frozen := !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > longestTick
	d.tickedAt = now
	if frozen {
		d.Rest()
		d.tickedAt = now
	}
	return d.decide(view, &d.Pool, now)
}

// moment is one tick of a decider.
type moment struct {
	View
	pool    pooled
	plan    Plan
	current Status
	elapsed time.Duration
	now     time.Time
	// doubtful is set if the target was found good, but what came since speaks against it,
	// and there is time left to wait for more.
	doubtful bool
}

func (d *Decider) decide(view View, pool pooled, now time.Time) Action {
	if view.Order.Ended() {
		return Action{}
	}
	at := moment{
		View:    view,
		pool:    pool,
		plan:    NewPlan(view.Order.Duration),
		current: view.Order.Current(),
		elapsed: max(view.Elapsed, pool.Elapsed(now)),
		now:     now,
	}
	if cause := view.Order.Invalid(); cause != "" {
		return at.rollBack(cause)
	}
	d.noteAdoption(at)
	verdict := pool.Judge()
	d.halted = d.halted || view.Halted || verdict.Finding == Bad
	d.good = d.good || verdict.Finding == Good
	at.doubtful = d.good && verdict.Finding == Undecided && at.elapsed < at.plan.GiveUp
	action := d.next(at, verdict)
	action.Verdict = verdict
	return action
}

// next returns the next step.
func (d *Decider) next(at moment, verdict Verdict) Action {
	if d.halted {
		action := at.rollBack(cmp.Or(verdict.Cause, "found bad by another node"))
		action.Halt = true
		return action
	}
	if at.current.State == StateNone {
		return at.write(StateRunning, StageWaiting)
	}
	if at.current.Stage == StageWhole {
		return d.afterWhole(at)
	}
	if at.inUse() {
		if at.elapsed < at.plan.Shift {
			return Action{}
		}
		action := at.write(StateCompleted, StageWaiting)
		action.Cause = "the version is in use already"
		return action
	}
	if at.elapsed >= at.plan.GiveUp {
		return at.rollBack(at.whyNotGood())
	}
	return at.towardsWhole()
}

// towardsWhole returns the next of the steps that keep to the bounds, or the one that moves
// all traffic.
func (m moment) towardsWhole() Action {
	switch {
	case m.current.Stage == StageWaiting:
		if m.servers() > 0 {
			return m.write(StateRunning, StageCanary)
		}
	case !m.majority():
	case m.current.Stage == StageShift:
		if m.elapsed >= m.plan.Whole && m.inStage() >= shiftTime && m.mostAdopted() && m.mayAdvance() {
			return m.write(StateRunning, StageWhole)
		}
	case m.elapsed >= m.plan.Shift:
		if m.mayAdvance() {
			return m.write(StateRunning, StageShift)
		}
	case m.current.Stage == StageCanary && m.elapsed >= m.plan.Load:
		return m.write(StateRunning, StageLoad)
	}
	return Action{}
}

func (m moment) mayAdvance() bool {
	return m.servers() > 0 && m.pool.MayAdvance(m.Order, m.plan, m.Bounds, m.now)
}

// afterWhole completes the order once nothing is under way at the old servers, which stop
// at once then.
func (d *Decider) afterWhole(at moment) Action {
	if at.doubtful || !at.majority() {
		return Action{}
	}
	everywhere := time.Duration(0)
	if !d.adoptedAt.IsZero() {
		everywhere = at.now.Sub(d.adoptedAt)
	}
	drained := everywhere >= wholeTime && at.pool.OldUnderWay() == 0
	switch {
	case drained, everywhere >= longestDrain:
	case at.inStage() >= longestAdoption && at.mostAdopted():
	default:
		return Action{}
	}
	return at.write(StateCompleted, StageWhole)
}

// noteAdoption keeps since when all nodes that report have adopted the latest status.
func (d *Decider) noteAdoption(at moment) {
	if d.adopted != at.Order.Revision {
		d.adopted, d.adoptedAt = at.Order.Revision, time.Time{}
	}
	reporters := at.pool.Reporters(at.now, freshFor)
	all := reporters > 0 && at.pool.Adopted(at.Order.Revision, at.now, freshFor) >= reporters
	switch {
	case !all:
		d.adoptedAt = time.Time{}
	case d.adoptedAt.IsZero():
		d.adoptedAt = at.now
	}
}

// majority reports whether at least half of the live nodes have reported lately.
func (m moment) majority() bool {
	reporters := m.pool.Reporters(m.now, freshFor)
	return reporters > 0 && 2*reporters >= m.Live
}

// mostAdopted reports whether at least half of the nodes that report have adopted the
// latest status.
func (m moment) mostAdopted() bool {
	return 2*m.pool.Adopted(m.Order.Revision, m.now, freshFor) >= m.pool.Reporters(m.now, freshFor)
}

// inStage returns for how long the stage in force has lasted.
func (m moment) inStage() time.Duration { return m.elapsed - m.current.Elapsed }

// servers returns how many ready servers the order has started.
func (m moment) servers() int { return max(m.Fleet.New, m.pool.Servers()) }

// inUse reports whether the target is the version that is in use: there is nothing to
// move, unless servers that the order starts come yet.
func (m moment) inUse() bool {
	return m.servers() == 0 && m.Fleet.Earlier > 0 && m.Fleet.Others == 0
}

// whyNotGood returns why the target can't get the traffic.
func (m moment) whyNotGood() string {
	switch {
	case m.servers() == 0:
		return "no server of the version"
	case !m.majority():
		return "too few nodes report"
	}
	return "not found good in time"
}

func (m moment) rollBack(cause string) Action {
	action := m.write(StateRolledBack, m.current.Stage)
	action.Cause = cause
	return action
}

func (m moment) write(state State, stage Stage) Action {
	return Action{Status: Status{State: state, Target: m.Order.Target, Stage: stage, Elapsed: m.elapsed}}
}

// Rest forgets all reports: another node decides.
func (d *Decider) Rest() {
	d.Pool = Pool{}
	d.tickedAt, d.adopted, d.adoptedAt = time.Time{}, 0, time.Time{}
	d.good = false
}
