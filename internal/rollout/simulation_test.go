package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simProcesses = 67
	simServers   = 3
	simRoutes    = 3
	// simStep is the time resolution, simReportInterval the time between reports, and between
	// decisions.
	simStep           = 50 * time.Millisecond
	simReportInterval = 500 * time.Millisecond
	// simAdoptionDelay is how long a decision takes to reach all processes.
	simAdoptionDelay = 400 * time.Millisecond
	// simReadyAt is when the servers of the target are ready, simWarmUp for how long they are
	// cold.
	simReadyAt = 500 * time.Millisecond
	simWarmUp  = 2 * time.Second
	// simServiceTime is the usual time of a request.
	simServiceTime = 100 * time.Millisecond
	// simTailShare is the share of answers that take simTailFactor times as long.
	simTailShare  = 0.01
	simTailFactor = 5
)

// fault describes bad answers: a share of them fails, a share takes longer by a factor.
type fault struct {
	failed float64
	slow   float64
	factor float64
}

// simScenario is a kind of rollouts; single ones differ by their seed.
type simScenario struct {
	name string
	// version is the fault of the target from a time on: on all routes or only on the first
	// one, in all stages or only from the load stage on.
	version  fault
	from     time.Duration
	oneRoute bool
	loaded   bool
	// server is the fault of one server of the target, both the fault of all answers of both
	// versions between troubleBegin and troubleEnd.
	server fault
	both   fault
	// paused is the share of all answers that take twice the usual time longer.
	paused float64
}

const (
	troubleBegin = 3 * time.Second
	troubleEnd   = 7 * time.Second
)

// good reports whether the version has no fault.
func (s simScenario) good() bool { return s.version == (fault{}) }

// simOrder is one rollout of a scenario.
type simOrder struct {
	scenario  simScenario
	rate      float64
	spread    float64
	random    *rand.Rand
	plan      Plan
	bounds    Bounds
	processes [simProcesses]Exposure
	pool      Pool
	// pending are the answers that each report will contain.
	pending [][simRoutes]RouteCounts
	report  OrderReport
	// turns are the servers that get the attempts in each turn of the load stage.
	turns  [loadTurns]int
	status Stage
	// statusAt is when the latest decision was made, before is the stage before it.
	statusAt time.Duration
	before   Stage
	shifted  bool
	ended    State
	endedAt  time.Duration
}

// simResult is the result of one rollout.
type simResult struct {
	state   State
	shifted bool
	inside  bool
}

// newSimOrder returns a rollout at a number of requests per second. Half of the orders have
// 12 s, the others 20 s, and half of each the wider spread of service times.
func newSimOrder(scenario simScenario, rate float64, seed uint64) *simOrder {
	duration, spread := 12*time.Second, 0.35
	if seed%2 == 1 {
		duration = 20 * time.Second
	}
	if seed/2%2 == 1 {
		spread = 0.5
	}
	order := &simOrder{
		scenario: scenario,
		rate:     rate,
		spread:   spread,
		random:   rand.New(rand.NewPCG(seed, 0)),
		plan:     NewPlan(duration),
		bounds:   Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second},
	}
	for position := range order.processes {
		order.processes[position].limits = NewLimits(order.bounds, position, simProcesses, true)
	}
	for turn := range order.turns {
		order.turns[turn] = order.random.IntN(simServers)
	}
	order.pending = make([][simRoutes]RouteCounts, int(duration/simReportInterval)+1)
	for route := range simRoutes {
		order.report.Routes = append(order.report.Routes, RouteCounts{Route: fmt.Sprint("route-", route), New: map[ServerID]Counts{}})
	}
	return order
}

func poisson(random *rand.Rand, mean float64) int {
	limit, count := math.Exp(-mean), 0
	for product := random.Float64(); product > limit; product *= random.Float64() {
		count++
	}
	return count
}

func (o *simOrder) run() simResult {
	sent := 0
	for now := time.Duration(0); now < o.plan.Deadline; now += simStep {
		if now%simReportInterval == 0 {
			o.decide(now)
		}
		for range poisson(o.random, o.rate*simStep.Seconds()) {
			sent += o.request(now)
		}
	}
	bound := o.bounds.Share*float64(o.report.Requests) + o.bounds.Slack
	return simResult{state: o.ended, shifted: o.shifted, inside: float64(sent) <= bound}
}

// stage returns the stage in effect at the processes.
func (o *simOrder) stage(now time.Duration) Stage {
	if o.ended == StateRolledBack && now-o.endedAt >= simAdoptionDelay {
		return StageWaiting
	}
	if now-o.statusAt < simAdoptionDelay {
		return o.before
	}
	return o.status
}

// request simulates one request and returns the number of attempts at the target.
func (o *simOrder) request(now time.Duration) int {
	process := &o.processes[o.random.IntN(simProcesses)]
	process.Request()
	o.report.Requests++
	route := o.random.IntN(simRoutes)
	stage, take := o.stage(now), false
	switch stage {
	case StageWaiting:
	case StageFull:
		take = true
		process.Add()
	default:
		take = process.Take(stage, o.plan, now)
	}
	if !take {
		o.answer(now, route, -1, fault{})
		return 0
	}
	server := o.random.IntN(simServers)
	if stage == StageLoad {
		server = o.turns[o.plan.Turn(now)]
	}
	var versionFault fault
	if now >= o.scenario.from && (!o.scenario.oneRoute || route == 0) && (!o.scenario.loaded || stage >= StageLoad) {
		versionFault = o.scenario.version
	}
	o.report.Sent++
	o.answer(now, route, server, versionFault)
	return 1
}

// answer draws the result of an attempt; server is -1 for the old version.
func (o *simOrder) answer(now time.Duration, route, server int, version fault) {
	faults := []fault{version}
	if now >= troubleBegin && now < troubleEnd {
		faults = append(faults, o.scenario.both)
	}
	if server == 0 {
		faults = append(faults, o.scenario.server)
	}
	sample := Sample{Result: OutcomeAnswered, Cold: server >= 0 && now < simReadyAt+simWarmUp}
	sample.LatencyRatio = math.Exp(o.spread * o.random.NormFloat64())
	if o.random.Float64() < simTailShare {
		sample.LatencyRatio *= simTailFactor
	}
	if o.scenario.paused > 0 && o.random.Float64() < o.scenario.paused {
		sample.LatencyRatio += 2
	}
	for _, f := range faults {
		if f.failed > 0 && o.random.Float64() < f.failed {
			sample.Result = OutcomeFailed
		}
		if f.slow > 0 && o.random.Float64() < f.slow {
			sample.LatencyRatio *= f.factor
		}
	}
	end := now + time.Duration(sample.LatencyRatio*float64(simServiceTime))
	report := int(end/simReportInterval) + 1
	if report >= len(o.pending) {
		return
	}
	counts := &o.pending[report][route]
	if server < 0 {
		counts.Old = counts.Old.Plus(sample.counts())
		return
	}
	if counts.New == nil {
		counts.New = make(map[ServerID]Counts)
	}
	id := ServerID('a' + rune(server))
	counts.New[id] = counts.New[id].Plus(sample.counts())
}

// decide adds the reports that are due and takes the same decisions as a decider.
func (o *simOrder) decide(now time.Duration) {
	if o.ended != StateNone {
		return
	}
	at := epoch.Add(now)
	tick := int(now / simReportInterval)
	for route := range o.report.Routes {
		counts := &o.report.Routes[route]
		counts.Old = counts.Old.Plus(o.pending[tick][route].Old)
		counts.New = maps.Clone(counts.New)
		for id, added := range o.pending[tick][route].New {
			counts.New[id] = counts.New[id].Plus(added)
		}
	}
	report := o.report
	report.Elapsed = now
	report.Routes = append([]RouteCounts(nil), o.report.Routes...)
	o.pool.Add("all", 1, uint64(tick)+1, report, at)
	advance := func(stage Stage) { o.before, o.status, o.statusAt = o.stage(now), stage, now }
	mayAdvance := func() bool {
		return o.pool.MayAdvance(Order{Target: "v", Status: Status{State: StateRunning, Target: "v", Stage: o.status}}, o.plan, o.bounds, at)
	}
	switch {
	case o.pool.Evaluate().Finding == Bad, o.status < StageFull && now >= o.plan.GiveUp:
		o.ended, o.endedAt = StateRolledBack, now
	case o.status == StageFull && now-o.statusAt >= time.Second:
		o.ended, o.endedAt = StateCompleted, now
	case o.status == StageShift && now >= o.plan.Full && now-o.statusAt >= minShiftTime && mayAdvance():
		advance(StageFull)
	case o.status == StageLoad && now >= o.plan.Shift && mayAdvance():
		advance(StageShift)
		o.shifted = true
	case o.status == StageCanary && now >= o.plan.Load:
		advance(StageLoad)
	case o.status == StageWaiting && now >= simReadyAt:
		advance(StageCanary)
	}
}

// simCounts are the results of all rollouts of a scenario.
type simCounts struct {
	before, later, completed, inside int
	// right counts orders of good versions that were completed, and of bad ones that were
	// rolled back inside the bounds.
	right int
}

func simulate(scenario simScenario, rate float64) simCounts {
	var counts simCounts
	for seed := range uint64(simRuns) {
		result := newSimOrder(scenario, rate, seed).run()
		switch {
		case result.state == StateCompleted:
			counts.completed++
		case result.shifted:
			counts.later++
		default:
			counts.before++
		}
		if result.inside {
			counts.inside++
		}
		if scenario.good() && result.state == StateCompleted || !scenario.good() && result.state == StateRolledBack && result.inside {
			counts.right++
		}
	}
	return counts
}

// simRuns is the number of rollouts for each scenario and rate.
const simRuns = 1000

// The figures are the results with these seeds (go test -v prints all of them): how many of
// 1,000 orders end as they should, at 100 and at 21 requests per second.
func TestSimulatedOrders(t *testing.T) {
	late := func(scenario simScenario, from time.Duration) simScenario {
		scenario.name, scenario.from = fmt.Sprint(scenario.name, " from ", from), from
		return scenario
	}
	onRoute := func(scenario simScenario) simScenario {
		scenario.name, scenario.oneRoute = scenario.name+" on one route", true
		return scenario
	}
	loaded := func(scenario simScenario) simScenario {
		scenario.name, scenario.loaded = scenario.name+" under load", true
		return scenario
	}
	fails := simScenario{name: "0.2 fail", version: fault{failed: 0.2}}
	slow := simScenario{name: "slower by 3", version: fault{slow: 1, factor: 3}}
	for _, test := range []struct {
		scenario        simScenario
		want100, want21 int
	}{
		{simScenario{name: "0.05 fail", version: fault{failed: 0.05}}, 963, 919},
		{simScenario{name: "0.1 fail", version: fault{failed: 0.1}}, 1000, 994},
		{fails, 1000, 1000},
		{simScenario{name: "0.5 fail", version: fault{failed: 0.5}}, 1000, 1000},
		{simScenario{name: "all fail", version: fault{failed: 1}}, 1000, 1000},
		{simScenario{name: "slower by 2", version: fault{slow: 1, factor: 2}}, 1000, 1000},
		{slow, 1000, 1000},
		{simScenario{name: "slower by 5", version: fault{slow: 1, factor: 5}}, 1000, 1000},
		{simScenario{name: "slower by 10", version: fault{slow: 1, factor: 10}}, 1000, 1000},
		{simScenario{name: "0.3 slower by 5", version: fault{slow: 0.3, factor: 5}}, 999, 981},
		{late(fails, 3*time.Second), 1000, 1000},
		{late(fails, 5*time.Second), 1000, 996},
		{late(fails, 8*time.Second), 973, 929},
		{late(slow, 3*time.Second), 1000, 1000},
		{late(slow, 5*time.Second), 1000, 1000},
		{late(slow, 8*time.Second), 1000, 974},
		{onRoute(fails), 1000, 970},
		{onRoute(slow), 1000, 999},
		{loaded(fails), 1000, 998},
		{loaded(slow), 1000, 1000},
		{simScenario{name: "good"}, 1000, 977},
		{simScenario{name: "good, a slow server", server: fault{slow: 1, factor: 5}}, 992, 925},
		{simScenario{name: "good, a failing server", server: fault{failed: 0.6}}, 987, 874},
		{simScenario{name: "good, both lose answers", both: fault{failed: 0.1}}, 977, 684},
		{simScenario{name: "good, both slow", both: fault{slow: 1, factor: 3}}, 1000, 949},
		{simScenario{name: "good, both paused", paused: 0.044}, 1000, 970},
	} {
		for _, rate := range []struct {
			perSecond float64
			want      int
		}{{100, test.want100}, {21, test.want21}} {
			checkSimulated(t, test.scenario, rate.perSecond, rate.want)
		}
	}
}

// Services with few requests keep to the bounds by the slack alone: good and bad versions are
// completed, unless the bad ones show enough evidence.
func TestSimulatedOrdersWithFewRequests(t *testing.T) {
	for _, test := range []struct {
		scenario simScenario
		want03   int
		want15   int
	}{
		{simScenario{name: "good"}, 1000, 997},
		{simScenario{name: "good, a failing server", server: fault{failed: 0.6}}, 996, 982},
		{simScenario{name: "good, both lose answers", both: fault{failed: 0.1}}, 1000, 999},
	} {
		checkSimulated(t, test.scenario, 0.3, test.want03)
		checkSimulated(t, test.scenario, 1.5, test.want15)
	}
	for _, scenario := range []simScenario{
		{name: "0.2 fail", version: fault{failed: 0.2}},
		{name: "all fail", version: fault{failed: 1}},
		{name: "slower by 10", version: fault{slow: 1, factor: 10}},
	} {
		for _, rate := range []float64{0.3, 1.5} {
			t.Run(fmt.Sprintf("%s at %v", scenario.name, rate), func(t *testing.T) {
				t.Parallel()
				counts := simulate(scenario, rate)
				t.Logf("%+v", counts)
				if counts.inside != simRuns {
					t.Errorf("%d of %d inside the bounds", counts.inside, simRuns)
				}
			})
		}
	}
}

func checkSimulated(t *testing.T, scenario simScenario, rate float64, want int) {
	t.Run(fmt.Sprintf("%s at %v", scenario.name, rate), func(t *testing.T) {
		t.Parallel()
		counts := simulate(scenario, rate)
		t.Logf("%-24s %5v/s: rolled back before the shift %4d, later %4d; completed %4d; inside the bounds %4d; right %4d",
			scenario.name, rate, counts.before, counts.later, counts.completed, counts.inside, counts.right)
		if counts.right < want {
			t.Errorf("%d of %d ended as they should, want %d", counts.right, simRuns, want)
		}
	})
}
