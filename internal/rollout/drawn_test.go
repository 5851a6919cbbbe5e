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
	drawnProcesses = 67
	drawnServers   = 3
	drawnRoutes    = 3
	// drawnStep is the grain of time, drawnReport how often processes report and the
	// decider looks.
	drawnStep   = 50 * time.Millisecond
	drawnReport = 500 * time.Millisecond
	// drawnSpread is how long a decision takes to reach all processes.
	drawnSpread = 400 * time.Millisecond
	// drawnListed is when the servers of the target are ready, drawnCold for how long
	// they are cold.
	drawnListed = 500 * time.Millisecond
	drawnCold   = 2 * time.Second
	// drawnWork is what a request usually takes.
	drawnWork = 100 * time.Millisecond
	// drawnTail of the answers take drawnTailFactor times as long.
	drawnTail       = 0.01
	drawnTailFactor = 5
)

// fault is what may be wrong with answers: a share of them fails, a share takes longer
// by a factor.
type fault struct {
	failed float64
	slow   float64
	factor float64
}

// drawnKind is a kind of cases, which differ by what is drawn.
type drawnKind struct {
	name string
	// version is what is wrong with the target from a time on: on the first route alone,
	// or only from the load stage on.
	version  fault
	from     time.Duration
	oneRoute bool
	loaded   bool
	// server is what is wrong with one server of the target, both what is wrong with all
	// answers of both versions between troubleBegin and troubleEnd.
	server fault
	both   fault
	// paused is the share of all answers that take two usual times more.
	paused float64
}

const (
	troubleBegin = 3 * time.Second
	troubleEnd   = 7 * time.Second
)

// good reports whether nothing is wrong with the version.
func (k drawnKind) good() bool { return k.version == (fault{}) }

// drawnOrder is one roll-out of a kind.
type drawnOrder struct {
	kind      drawnKind
	rate      float64
	spread    float64
	random    *rand.Rand
	plan      Plan
	bounds    Bounds
	processes [drawnProcesses]Exposure
	pool      Pool
	// pending are the answers by the report that tells them.
	pending [][drawnRoutes]RouteCounts
	report  OrderReport
	// turns are the servers that get the sends of the load stage.
	turns  [loadTurns]int
	status Stage
	// statusAt is when the latest decision was made, before what was decided earlier.
	statusAt time.Duration
	before   Stage
	shifted  bool
	ended    State
	endedAt  time.Duration
}

// drawnResult is what came of it.
type drawnResult struct {
	state   State
	shifted bool
	inside  bool
}

// newDrawnOrder returns a roll-out at so many requests a second. Half of the orders have
// 12 s, the others 20 s, and half of each the wider spread of work.
func newDrawnOrder(kind drawnKind, rate float64, seed uint64) *drawnOrder {
	duration, spread := 12*time.Second, 0.35
	if seed%2 == 1 {
		duration = 20 * time.Second
	}
	if seed/2%2 == 1 {
		spread = 0.5
	}
	order := &drawnOrder{
		kind:   kind,
		rate:   rate,
		spread: spread,
		random: rand.New(rand.NewPCG(seed, 0)),
		plan:   NewPlan(duration),
		bounds: Bounds{Share: 0.1, Slack: 50, RollBack: 5 * time.Second},
	}
	for position := range order.processes {
		order.processes[position].limits = NewLimits(order.bounds, position, drawnProcesses, true)
	}
	for turn := range order.turns {
		order.turns[turn] = order.random.IntN(drawnServers)
	}
	order.pending = make([][drawnRoutes]RouteCounts, int(duration/drawnReport)+1)
	for route := range drawnRoutes {
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

func (o *drawnOrder) run() drawnResult {
	sent := 0
	for now := time.Duration(0); now < o.plan.Deadline; now += drawnStep {
		if now%drawnReport == 0 {
			o.decide(now)
		}
		for range poisson(o.random, o.rate*drawnStep.Seconds()) {
			sent += o.request(now)
		}
	}
	bound := o.bounds.Share*float64(o.report.Requests) + o.bounds.Slack
	return drawnResult{state: o.ended, shifted: o.shifted, inside: float64(sent) <= bound}
}

// stage returns the stage in force at the processes.
func (o *drawnOrder) stage(now time.Duration) Stage {
	if o.ended == StateRolledBack && now-o.endedAt >= drawnSpread {
		return StageWaiting
	}
	if now-o.statusAt < drawnSpread {
		return o.before
	}
	return o.status
}

// request sends one request and returns how many sends the target got.
func (o *drawnOrder) request(now time.Duration) int {
	process := &o.processes[o.random.IntN(drawnProcesses)]
	process.Request()
	o.report.Requests++
	route := o.random.IntN(drawnRoutes)
	stage, take := o.stage(now), false
	switch stage {
	case StageWaiting:
	case StageWhole:
		take = true
		process.Add()
	default:
		take = process.Take(stage, o.plan, now)
	}
	if !take {
		o.answer(now, route, -1, fault{})
		return 0
	}
	server := o.random.IntN(drawnServers)
	if stage == StageLoad {
		server = o.turns[o.plan.Turn(now)]
	}
	var wrong fault
	if now >= o.kind.from && (!o.kind.oneRoute || route == 0) && (!o.kind.loaded || stage >= StageLoad) {
		wrong = o.kind.version
	}
	o.report.Sent++
	o.answer(now, route, server, wrong)
	return 1
}

// answer draws what comes of a send; server is -1 for those of the old version.
func (o *drawnOrder) answer(now time.Duration, route, server int, version fault) {
	faults := []fault{version}
	if now >= troubleBegin && now < troubleEnd {
		faults = append(faults, o.kind.both)
	}
	if server == 0 {
		faults = append(faults, o.kind.server)
	}
	sample := Sample{Result: OutcomeAnswered, Cold: server >= 0 && now < drawnListed+drawnCold}
	sample.Ratio = math.Exp(o.spread * o.random.NormFloat64())
	if o.random.Float64() < drawnTail {
		sample.Ratio *= drawnTailFactor
	}
	if o.kind.paused > 0 && o.random.Float64() < o.kind.paused {
		sample.Ratio += 2
	}
	for _, one := range faults {
		if one.failed > 0 && o.random.Float64() < one.failed {
			sample.Result = OutcomeFailed
		}
		if one.slow > 0 && o.random.Float64() < one.slow {
			sample.Ratio *= one.factor
		}
	}
	end := now + time.Duration(sample.Ratio*float64(drawnWork))
	report := int(end/drawnReport) + 1
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

// decide takes in the reports of the moment and decides as the node that decides does.
func (o *drawnOrder) decide(now time.Duration) {
	if o.ended != StateNone {
		return
	}
	at := epoch.Add(now)
	tick := int(now / drawnReport)
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
	case o.pool.Judge().Finding == Bad, o.status < StageWhole && now >= o.plan.GiveUp:
		o.ended, o.endedAt = StateRolledBack, now
	case o.status == StageWhole && now-o.statusAt >= time.Second:
		o.ended, o.endedAt = StateCompleted, now
	case o.status == StageShift && now >= o.plan.Whole && now-o.statusAt >= shiftTime && mayAdvance():
		advance(StageWhole)
	case o.status == StageLoad && now >= o.plan.Shift && mayAdvance():
		advance(StageShift)
		o.shifted = true
	case o.status == StageCanary && now >= o.plan.Load:
		advance(StageLoad)
	case o.status == StageWaiting && now >= drawnListed:
		advance(StageCanary)
	}
}

// drawnCounts are what came of the draws of one kind.
type drawnCounts struct {
	before, later, completed, inside int
	// right are orders of good versions that were completed, and of bad ones that were
	// rolled back inside the bounds.
	right int
}

func draw(kind drawnKind, rate float64) drawnCounts {
	var counts drawnCounts
	for seed := range uint64(drawnCases) {
		result := newDrawnOrder(kind, rate, seed).run()
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
		if kind.good() && result.state == StateCompleted || !kind.good() && result.state == StateRolledBack && result.inside {
			counts.right++
		}
	}
	return counts
}

// drawnCases are the draws of each kind and rate.
const drawnCases = 1000

// The figures are what is reached with these seeds (go test -v prints all of them): how
// many of 1,000 orders end as they should, at 100 and at 21 requests a second.
func TestDrawnOrders(t *testing.T) {
	late := func(kind drawnKind, from time.Duration) drawnKind {
		kind.name, kind.from = fmt.Sprint(kind.name, " from ", from), from
		return kind
	}
	onRoute := func(kind drawnKind) drawnKind {
		kind.name, kind.oneRoute = kind.name+" on one route", true
		return kind
	}
	loaded := func(kind drawnKind) drawnKind {
		kind.name, kind.loaded = kind.name+" under load", true
		return kind
	}
	fails := drawnKind{name: "0.2 fail", version: fault{failed: 0.2}}
	slow := drawnKind{name: "slower by 3", version: fault{slow: 1, factor: 3}}
	for _, test := range []struct {
		kind             drawnKind
		hundred, twenty1 int
	}{
		{drawnKind{name: "0.05 fail", version: fault{failed: 0.05}}, 963, 919},
		{drawnKind{name: "0.1 fail", version: fault{failed: 0.1}}, 1000, 994},
		{fails, 1000, 1000},
		{drawnKind{name: "0.5 fail", version: fault{failed: 0.5}}, 1000, 1000},
		{drawnKind{name: "all fail", version: fault{failed: 1}}, 1000, 1000},
		{drawnKind{name: "slower by 2", version: fault{slow: 1, factor: 2}}, 1000, 1000},
		{slow, 1000, 1000},
		{drawnKind{name: "slower by 5", version: fault{slow: 1, factor: 5}}, 1000, 1000},
		{drawnKind{name: "slower by 10", version: fault{slow: 1, factor: 10}}, 1000, 1000},
		{drawnKind{name: "0.3 slower by 5", version: fault{slow: 0.3, factor: 5}}, 999, 981},
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
		{drawnKind{name: "good"}, 1000, 977},
		{drawnKind{name: "good, a slow server", server: fault{slow: 1, factor: 5}}, 992, 925},
		{drawnKind{name: "good, a failing server", server: fault{failed: 0.6}}, 987, 874},
		{drawnKind{name: "good, both lose answers", both: fault{failed: 0.1}}, 977, 684},
		{drawnKind{name: "good, both slow", both: fault{slow: 1, factor: 3}}, 1000, 949},
		{drawnKind{name: "good, both paused", paused: 0.044}, 1000, 970},
	} {
		for _, rate := range []struct {
			perSecond float64
			want      int
		}{{100, test.hundred}, {21, test.twenty1}} {
			checkDrawn(t, test.kind, rate.perSecond, rate.want)
		}
	}
}

// Services with few requests keep to the bounds by the slack alone: good versions and bad
// ones are completed, unless those show.
func TestDrawnOrdersOfQuietServices(t *testing.T) {
	for _, test := range []struct {
		kind  drawnKind
		third int
		some  int
	}{
		{drawnKind{name: "good"}, 1000, 997},
		{drawnKind{name: "good, a failing server", server: fault{failed: 0.6}}, 996, 982},
		{drawnKind{name: "good, both lose answers", both: fault{failed: 0.1}}, 1000, 999},
	} {
		checkDrawn(t, test.kind, 0.3, test.third)
		checkDrawn(t, test.kind, 1.5, test.some)
	}
	for _, kind := range []drawnKind{
		{name: "0.2 fail", version: fault{failed: 0.2}},
		{name: "all fail", version: fault{failed: 1}},
		{name: "slower by 10", version: fault{slow: 1, factor: 10}},
	} {
		for _, rate := range []float64{0.3, 1.5} {
			t.Run(fmt.Sprintf("%s at %v", kind.name, rate), func(t *testing.T) {
				t.Parallel()
				counts := draw(kind, rate)
				t.Logf("%+v", counts)
				if counts.inside != drawnCases {
					t.Errorf("%d of %d inside the bounds", counts.inside, drawnCases)
				}
			})
		}
	}
}

func checkDrawn(t *testing.T, kind drawnKind, rate float64, want int) {
	t.Run(fmt.Sprintf("%s at %v", kind.name, rate), func(t *testing.T) {
		t.Parallel()
		counts := draw(kind, rate)
		t.Logf("%-24s %5v/s: rolled back before the shift %4d, later %4d; completed %4d; inside the bounds %4d; right %4d",
			kind.name, rate, counts.before, counts.later, counts.completed, counts.inside, counts.right)
		if counts.right < want {
			t.Errorf("%d of %d ended as they should, want %d", counts.right, drawnCases, want)
		}
	})
}
