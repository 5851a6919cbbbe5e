package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
)

var deciderBounds = Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}

// fakePool returns fixed values for the reports.
type fakePool struct {
	finding            Finding
	reporters, adopted int
	elapsed            time.Duration
	oldInFlight        int
	servers            int
}

func (f fakePool) Evaluate() Verdict                                      { return Verdict{Finding: f.finding, Cause: "cause"} }
func (f fakePool) Reporters(time.Time, time.Duration) int                 { return f.reporters }
func (f fakePool) Adopted(catalog.Revision, time.Time, time.Duration) int { return f.adopted }
func (f fakePool) Elapsed(time.Time) time.Duration                        { return f.elapsed }
func (f fakePool) OldInFlight() int                                       { return f.oldInFlight }
func (f fakePool) Servers() int                                           { return f.servers }
func (f fakePool) MayAdvance(Order, Plan, Bounds, time.Time) bool         { return f.finding == Good }

// orderAt returns an order of 20 s whose latest status was written at the given elapsed time.
func orderAt(state State, stage Stage, written time.Duration) Order {
	order := Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 10, Revision: 11}
	if state != StateNone {
		order.Status = Status{State: state, Target: "v2", Stage: stage, Elapsed: written}
	}
	return order
}

func TestDeciderSteps(t *testing.T) {
	plan := NewPlan(20 * time.Second)
	running := func(stage Stage, written time.Duration) Order { return orderAt(StateRunning, stage, written) }
	busy := fakePool{reporters: 3, adopted: 3, servers: 2}
	with := func(change func(*fakePool)) fakePool {
		pool := busy
		change(&pool)
		return pool
	}
	good := with(func(p *fakePool) { p.finding = Good })
	bad := with(func(p *fakePool) { p.finding = Bad })
	few := with(func(p *fakePool) { p.finding, p.reporters, p.adopted = Good, 1, 1 })
	notAdopted := with(func(p *fakePool) { p.finding, p.adopted = Good, 1 })
	none := with(func(p *fakePool) { p.servers = 0 })
	for _, test := range []struct {
		name    string
		order   Order
		pool    fakePool
		fleet   Fleet
		elapsed time.Duration
		state   State
		stage   Stage
		halt    bool
	}{
		{"new order", orderAt(StateNone, 0, 0), fakePool{}, Fleet{}, 0, StateRunning, StageWaiting, false},
		{"no server yet", running(StageWaiting, 0), none, Fleet{Others: 3}, 2 * time.Second, StateNone, 0, false},
		{"server known here", running(StageWaiting, 0), none, Fleet{New: 1, Others: 3}, time.Second, StateRunning, StageCanary, false},
		{"server known elsewhere", running(StageWaiting, 0), busy, Fleet{Others: 3}, time.Second, StateRunning, StageCanary, false},
		{"no server until given up", running(StageWaiting, 0), none, Fleet{Others: 3}, 18 * time.Second, StateRolledBack, StageWaiting, false},
		{"canary goes on", running(StageCanary, 0), good, Fleet{}, plan.Load - 1, StateNone, 0, false},
		{"load", running(StageCanary, 0), busy, Fleet{}, plan.Load, StateRunning, StageLoad, false},
		{"load, but few report", running(StageCanary, 0), few, Fleet{}, plan.Load, StateNone, 0, false},
		{"load goes on", running(StageLoad, 9*time.Second), good, Fleet{}, plan.Shift - 1, StateNone, 0, false},
		{"shift", running(StageLoad, 9*time.Second), good, Fleet{}, plan.Shift, StateRunning, StageShift, false},
		{"shift, late load", running(StageCanary, 0), good, Fleet{}, plan.Shift, StateRunning, StageShift, false},
		{"shift, undecided", running(StageLoad, 9*time.Second), busy, Fleet{}, plan.Shift, StateNone, 0, false},
		{"shift, but few report", running(StageLoad, 9*time.Second), few, Fleet{}, plan.Shift, StateNone, 0, false},
		{"shift, servers gone", running(StageLoad, 9*time.Second), with(func(p *fakePool) { p.finding, p.servers = Good, 0 }), Fleet{}, plan.Shift, StateNone, 0, false},
		{"not found good in time", running(StageLoad, 9*time.Second), busy, Fleet{}, plan.GiveUp, StateRolledBack, StageLoad, false},
		{"given up, but few report", running(StageLoad, 9*time.Second), few, Fleet{}, 18 * time.Second, StateRolledBack, StageLoad, false},
		{"shift goes on", running(StageShift, 13*time.Second), good, Fleet{}, plan.Full - 1, StateNone, 0, false},
		{"late shift goes on", running(StageShift, plan.Full), good, Fleet{}, plan.Full + minShiftTime - 1, StateNone, 0, false},
		{"shift unknown to most", running(StageShift, 13*time.Second), notAdopted, Fleet{}, plan.Full + time.Second, StateNone, 0, false},
		{"whole", running(StageShift, plan.Shift), good, Fleet{}, plan.Full, StateRunning, StageFull, false},
		{"whole, undecided", running(StageShift, plan.Shift), busy, Fleet{}, plan.Full, StateNone, 0, false},
		{"whole, but few report", running(StageShift, plan.Shift), few, Fleet{}, plan.Full, StateNone, 0, false},
		{"not found good in the shift", running(StageShift, plan.Shift), busy, Fleet{}, plan.GiveUp, StateRolledBack, StageShift, false},
		{"not completed at once", running(StageFull, 14*time.Second), good, Fleet{}, 14 * time.Second, StateNone, 0, false},
		{"unknown to one for long", running(StageFull, 14*time.Second), with(func(p *fakePool) { p.adopted = 2 }), Fleet{}, 17 * time.Second, StateCompleted, StageFull, false},
		{"unknown to most for long", running(StageFull, 14*time.Second), notAdopted, Fleet{}, 18 * time.Second, StateNone, 0, false},
		{"bad at once", orderAt(StateNone, 0, 0), bad, Fleet{}, 0, StateRolledBack, StageWaiting, true},
		{"bad in canary", running(StageCanary, 0), bad, Fleet{}, 3 * time.Second, StateRolledBack, StageCanary, true},
		{"bad in load", running(StageLoad, 9*time.Second), bad, Fleet{}, 10 * time.Second, StateRolledBack, StageLoad, true},
		{"bad in shift", running(StageShift, 13*time.Second), bad, Fleet{}, 13 * time.Second, StateRolledBack, StageShift, true},
		{"bad in whole", running(StageFull, 14*time.Second), bad, Fleet{}, 18 * time.Second, StateRolledBack, StageFull, true},
		{"bad, but few report", running(StageLoad, 9*time.Second), with(func(p *fakePool) { p.finding, p.reporters = Bad, 1 }), Fleet{}, 10 * time.Second, StateRolledBack, StageLoad, true},
		{"completed already", orderAt(StateCompleted, StageFull, 15*time.Second), bad, Fleet{}, 18 * time.Second, StateNone, 0, false},
		{"rolled back already", orderAt(StateRolledBack, StageLoad, 15*time.Second), good, Fleet{}, 18 * time.Second, StateNone, 0, false},
		{"in use, new servers may come", running(StageWaiting, 0), none, Fleet{Earlier: 3}, 5 * time.Second, StateNone, 0, false},
		{"in use", running(StageWaiting, 0), none, Fleet{Earlier: 3}, plan.Shift, StateCompleted, StageWaiting, false},
		{"in use beside another", running(StageWaiting, 0), none, Fleet{Earlier: 3, Others: 1}, plan.Shift, StateNone, 0, false},
		{"in use, new servers came", running(StageWaiting, 0), none, Fleet{Earlier: 3, New: 1}, 13 * time.Second, StateRunning, StageCanary, false},
		{"elapsed as others know", running(StageCanary, 0), with(func(p *fakePool) { p.elapsed = plan.Load }), Fleet{}, 0, StateRunning, StageLoad, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var decider Decider
			action := decider.decide(View{Order: test.order, Bounds: deciderBounds, Elapsed: test.elapsed, Fleet: test.fleet, Live: 4}, test.pool, epoch)
			is.Equal(action.Status.State, test.state)
			is.Equal(action.Halt, test.halt)
			if test.state != StateNone {
				is.Equal(action.Status, Status{State: test.state, Target: "v2", Stage: test.stage, Elapsed: max(test.elapsed, test.pool.elapsed)})
			}
		})
	}
}

func TestDeciderRefusesInvalidOrders(t *testing.T) {
	for _, test := range []struct {
		name   string
		target Version
		length time.Duration
	}{
		{"no version", "", 20 * time.Second},
		{"too short", "v2", time.Second},
		{"no duration", "v2", 0},
		{"too long", "v2", 48 * time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var decider Decider
			order := Order{Service: "s", Target: test.target, Duration: test.length, Created: 10, Revision: 11}
			action := decider.decide(View{Order: order, Bounds: deciderBounds, Fleet: Fleet{New: 3}, Live: 1}, fakePool{finding: Good, reporters: 1, adopted: 1}, epoch)
			is.Equal(action.Status, Status{State: StateRolledBack, Target: test.target})
			is.True(action.Cause != "")
			order.Status = action.Status
			is.Equal(decider.decide(View{Order: order, Live: 1}, fakePool{}, epoch), Action{}) // no second write
		})
	}
}

// The status of an earlier order for another version is not a status of this one.
func TestDeciderIgnoresTheStatusOfAnotherVersion(t *testing.T) {
	is := is.New(t)
	var decider Decider
	order := orderAt(StateCompleted, StageFull, 9*time.Second)
	order.Status.Target = "v1"
	action := decider.decide(View{Order: order, Bounds: deciderBounds, Live: 1}, fakePool{}, epoch)
	is.Equal(action.Status, Status{State: StateRunning, Target: "v2"})
}

// The old servers stop right after completion. Before that, all nodes must send to the new
// ones, and requests in flight at the old ones must end.
func TestDeciderCompletesOnceOldServersAreIdle(t *testing.T) {
	for _, test := range []struct {
		name        string
		oldInFlight int
		after       time.Duration
	}{
		{"idle", 0, minFullTime},
		{"one hangs", 1, maxDrainWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var decider Decider
			pool := fakePool{finding: Good, reporters: 3, adopted: 3, servers: 2, oldInFlight: test.oldInFlight}
			at := func(passed time.Duration) Action {
				view := View{Order: orderAt(StateRunning, StageFull, 14*time.Second), Bounds: deciderBounds, Elapsed: 14*time.Second + passed, Live: 3}
				return decider.decide(view, pool, epoch.Add(passed))
			}
			is.Equal(at(0).Status.State, StateNone)
			is.Equal(at(test.after-time.Millisecond).Status.State, StateNone)
			is.Equal(at(test.after).Status.State, StateCompleted)
		})
	}
}

// A node that has not adopted the last step yet may still send to the old servers.
func TestDeciderWaitsForLastAdoption(t *testing.T) {
	is := is.New(t)
	var decider Decider
	view := View{Order: orderAt(StateRunning, StageFull, 14*time.Second), Bounds: deciderBounds, Elapsed: 15 * time.Second, Live: 3}
	pool := fakePool{finding: Good, reporters: 3, adopted: 2, servers: 2}
	is.Equal(decider.decide(view, pool, epoch).Status.State, StateNone)
	pool.adopted = 3
	is.Equal(decider.decide(view, pool, epoch.Add(minFullTime)).Status.State, StateNone)
	is.Equal(decider.decide(view, pool, epoch.Add(2*minFullTime)).Status.State, StateCompleted)
}

// A version that was found good and is undecided now may be about to turn out bad: the last
// step waits, but not beyond the time until which it can be taken.
func TestDeciderWaitsWhileNoLongerGood(t *testing.T) {
	plan := NewPlan(20 * time.Second)
	for _, test := range []struct {
		stage   Stage
		elapsed time.Duration
		state   State
	}{
		{StageFull, plan.GiveUp - 1, StateNone},
		{StageFull, plan.GiveUp, StateCompleted},
	} {
		t.Run(test.stage.String()+" "+test.elapsed.String(), func(t *testing.T) {
			is := is.New(t)
			var decider Decider
			pool := fakePool{finding: Good, reporters: 3, adopted: 3, servers: 2}
			at := func(elapsed time.Duration) Action {
				view := View{Order: orderAt(StateRunning, test.stage, 13*time.Second), Bounds: deciderBounds, Elapsed: elapsed, Live: 3}
				return decider.decide(view, pool, epoch.Add(elapsed))
			}
			is.Equal(at(13*time.Second).Status.State, StateNone)
			pool.finding = Undecided
			is.Equal(at(test.elapsed).Status.State, test.state)
		})
	}
}

// A version that was found bad stays bad, even if another node found it.
func TestBadFindingIsFinal(t *testing.T) {
	is := is.New(t)
	var decider Decider
	view := View{Order: orderAt(StateRunning, StageLoad, 9*time.Second), Bounds: deciderBounds, Elapsed: 14 * time.Second, Live: 1}
	is.Equal(decider.decide(view, fakePool{finding: Bad, reporters: 1}, epoch).Status.State, StateRolledBack)
	again := decider.decide(view, fakePool{finding: Good, reporters: 1, adopted: 1, servers: 1}, epoch)
	is.Equal(again.Status.State, StateRolledBack)
	is.True(again.Halt)
	var other Decider
	view.Halted = true
	is.Equal(other.decide(view, fakePool{finding: Good, reporters: 1, adopted: 1, servers: 1}, epoch).Status.State, StateRolledBack)
}

// A process that was frozen discards its reports, which may be outdated.
func TestEvidenceIsCurrent(t *testing.T) {
	is := is.New(t)
	var decider Decider
	view := View{Order: orderAt(StateRunning, StageCanary, 0), Bounds: deciderBounds, Elapsed: 9 * time.Second, Live: 1}
	report := OrderReport{Service: "s", Target: "v2", Created: 10, Revision: 11, Servers: 1}
	decider.Pool.Add("a", 1, 1, report, epoch)
	is.Equal(decider.Tick(view, epoch).Status.Stage, StageLoad)
	resumed := epoch.Add(maxTickGap + time.Millisecond)
	is.Equal(decider.Tick(view, resumed), Action{})
	is.Equal(decider.Pool.Reporters(resumed, time.Hour), 0)
	decider.Pool.Add("a", 1, 2, report, resumed)
	is.Equal(decider.Tick(view, resumed).Status.Stage, StageLoad)
}

// Reports count at once when a node decides again after another one did for a while.
func TestDeciderContinuesAfterReset(t *testing.T) {
	is := is.New(t)
	var decider Decider
	view := View{Order: orderAt(StateRunning, StageCanary, 0), Bounds: deciderBounds, Elapsed: 9 * time.Second, Live: 1}
	report := OrderReport{Service: "s", Target: "v2", Created: 10, Revision: 11, Servers: 1}
	decider.Pool.Add("a", 1, 1, report, epoch)
	decider.Tick(view, epoch)
	decider.Reset()
	is.Equal(decider.Pool.Reporters(epoch, time.Hour), 0)
	later := epoch.Add(10 * time.Second)
	decider.Pool.Add("a", 1, 2, report, later)
	is.Equal(decider.Tick(view, later).Status.Stage, StageLoad)
}
