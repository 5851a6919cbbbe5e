package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
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
	// version is what is wrong with the target, from a time on, on the routes below a
	// number (0 for all), only in dense stages.
	version fault
	from    time.Duration
	routes  int
	loaded  bool
	// server is what is wrong with one server of the target, both what is wrong with all
	// answers between the times.
	server       fault
	both         fault
	begin, end   time.Duration
	paused       float64
	rate         float64
	duration     time.Duration
	spread       float64
	wantInside   int
	wantComplete int
}

// drawnOrder is one roll-out of a kind.
type drawnOrder struct {
	kind      drawnKind
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
	statusAt          time.Duration
	before            Stage
	shifted, foundBad bool
	ended             State
	endedAt           time.Duration
}

// drawnResult is what came of it.
type drawnResult struct {
	state             State
	shifted, foundBad bool
	inside            bool
}

func newDrawnOrder(kind drawnKind, seed uint64) *drawnOrder {
	order := &drawnOrder{
		kind:   kind,
		random: rand.New(rand.NewPCG(seed, 0)),
		plan:   NewPlan(kind.duration),
		bounds: Bounds{Share: 0.1, Slack: 50, RollBack: 5 * time.Second},
	}
	for position := range order.processes {
		order.processes[position].limits = NewLimits(order.bounds, position, drawnProcesses, true)
	}
	for turn := range order.turns {
		order.turns[turn] = order.random.IntN(drawnServers)
	}
	order.pending = make([][drawnRoutes]RouteCounts, int(kind.duration/drawnReport)+1)
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
	for now := time.Duration(0); now < o.kind.duration; now += drawnStep {
		if now%drawnReport == 0 {
			o.decide(now)
		}
		for range poisson(o.random, o.kind.rate*drawnStep.Seconds()) {
			sent += o.request(now)
		}
	}
	bound := o.bounds.Share*float64(o.report.Requests) + o.bounds.Slack
	return drawnResult{state: o.ended, shifted: o.shifted, foundBad: o.foundBad, inside: float64(sent) <= bound}
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
	if now >= o.kind.from && (o.kind.routes == 0 || route < o.kind.routes) && (!o.kind.loaded || stage >= StageLoad) {
		wrong = o.kind.version
	}
	o.report.Sent++
	o.answer(now, route, server, wrong)
	return 1
}

// answer draws what comes of a send; server is -1 for those of the old version.
func (o *drawnOrder) answer(now time.Duration, route, server int, version fault) {
	faults := []fault{version}
	if now >= o.kind.begin && now < o.kind.end {
		faults = append(faults, o.kind.both)
	}
	if server == 0 {
		faults = append(faults, o.kind.server)
	}
	sample := Sample{Result: OutcomeAnswered, Cold: server >= 0 && now < drawnListed+drawnCold}
	sample.Ratio = math.Exp(o.kind.spread * o.random.NormFloat64())
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
	case o.pool.Judge().Finding == Bad:
		o.foundBad = true
		o.ended, o.endedAt = StateRolledBack, now
	case o.status < StageWhole && now >= o.plan.GiveUp:
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
