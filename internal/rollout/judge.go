package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// alpha bounds how often a version that is as good as the old one is found bad.
	alpha = 0.001
	// lateBound is the same ratio over the latest windows alone, however many, above
	// which it is not: it may have turned bad.
	lateBound = 100
	// restBound is the evidence (a likelihood ratio) that has to be left without the
	// server that speaks most against a version before it is found bad.
	restBound = 10
	// outlierBound is the evidence that one server is bad alone, and not all alike, from
	// which the others are judged without it.
	outlierBound = 3000
	// fewAnswers are too few to judge a route by itself.
	fewAnswers = 8
	// windowLength is how long answers count as of the same moment. Processes report
	// twice a second. It doubles whenever an order has lasted for maxWindows.
	windowLength = time.Second
	maxWindows   = 64
	// priorShare is the share of bad answers that any version is expected to have, in
	// priorAnswers; the share expected of the new one is never less than leastShare.
	priorShare   = 0.01
	priorAnswers = 10
	leastShare   = 0.002
)

// excesses are the alternatives that the test weighs: the share of those answers that
// would be good at the old version and are bad at the new one.
var excesses = [...]float64{0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.95}

// measure is one thing that may be bad about answers.
type measure uint8

const (
	failures measure = iota
	slowness
	measures
)

var measureNames = [measures]string{"failed", "slow"}

// limit is what a good version must not show: an excess (an index). The logarithm of its
// likelihood ratio has to be at most this part of the one that versions show on average
// that are as good as the old one, and the ratio at most the bound.
type limit struct {
	excess int
	part   float64
	bound  float64
}

// limits are the excesses that a good version must not show on one route, and on all
// together. A version that is three times slower is slow in 80 of 100 answers or more.
var limits = [measures]struct{ route, all limit }{
	failures: {route: limit{2, 0.4, 0.3}, all: limit{2, 0.4, 0.1}},
	slowness: {route: limit{5, 0.1, 1}, all: limit{3, 0.1, 3}},
}

// share is how many of so many answers were bad.
type share struct{ bad, all float64 }

// share returns the answers by the measure.
func (c Counts) share(of measure) share {
	if of == failures {
		return share{bad: float64(c.Failed), all: float64(c.Answers)}
	}
	return share{bad: float64(c.Slow), all: float64(c.Timed)}
}

// plus returns the sum, the other one taken by a factor.
func (s share) plus(other share, factor float64) share {
	return share{bad: s.bad + factor*other.bad, all: s.all + factor*other.all}
}

// estimate returns the share where another one was expected.
func (s share) estimate(prior float64) float64 {
	return (s.bad + prior*priorAnswers) / (s.all + priorAnswers)
}

// ratios compare answers with what is expected of the old version.
type ratios struct {
	answers float64
	// seen are logarithms of likelihood ratios, one for each excess against none; usual is
	// what they would be on average without an excess.
	seen, usual [len(excesses)]float64
}

// against returns the ratios of the answers where the share is expected.
func (s share) against(expected float64) ratios {
	result := ratios{answers: s.all}
	for index, excess := range excesses {
		alternative := expected + excess*(1-expected)
		bad, fine := math.Log(alternative/expected), math.Log((1-alternative)/(1-expected))
		result.seen[index] = s.bad*bad + (s.all-s.bad)*fine
		result.usual[index] = s.all * (expected*bad + (1-expected)*fine)
	}
	return result
}

func (r ratios) plus(other ratios) ratios {
	r.answers += other.answers
	for index := range excesses {
		r.seen[index] += other.seen[index]
		r.usual[index] += other.usual[index]
	}
	return r
}

// logSum adds values that are given as logarithms. The zero value is the sum of none.
type logSum struct {
	// highest is the largest one, sum all of them in units of it.
	highest, sum float64
}

func (l *logSum) add(log float64) {
	if l.sum == 0 || log > l.highest {
		l.sum = l.sum*math.Exp(l.highest-log) + 1
		l.highest = log
		return
	}
	l.sum += math.Exp(log - l.highest)
}

// log returns the logarithm of the sum.
func (l *logSum) log() float64 { return l.highest + math.Log(l.sum) }

// byServer are the ratios of one window by server.
type byServer map[ServerID]ratios

// evidence compares the answers of two versions in the same moments. The zero value
// has none.
type evidence struct {
	// window counts windows of the length since the start.
	window   int
	length   time.Duration
	routes   map[string]*routeEvidence
	old, new Counts
}

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	// old and new are the answers of the current window.
	old Counts
	new map[ServerID]Counts
	// before are the old version's answers of earlier windows.
	before Counts
	// closed are the earlier windows.
	closed [measures][]byServer
}

// advance begins new windows up to the time since the start.
func (e *evidence) advance(elapsed time.Duration) {
	if e.length == 0 {
		e.length = windowLength
	}
	for e.window < int(elapsed/e.length) {
		if e.window == maxWindows {
			e.coarsen()
			continue
		}
		moment := e.moment()
		for _, route := range e.routes {
			route.close(moment)
		}
		e.window++
	}
}

// coarsen joins windows in pairs.
func (e *evidence) coarsen() {
	e.length *= 2
	e.window /= 2
	for _, route := range e.routes {
		for of := range measures {
			windows := route.closed[of]
			for index := range windows[:len(windows)/2] {
				windows[index] = join(windows[2*index], windows[2*index+1])
			}
			route.closed[of] = windows[:len(windows)/2]
		}
	}
}

func join(a, b byServer) byServer {
	if len(a) == 0 {
		return b
	}
	result := maps.Clone(a)
	for id, one := range b {
		result[id] = result[id].plus(one)
	}
	return result
}

// add adds answers to the current window.
func (e *evidence) add(counts RouteCounts) {
	if e.routes == nil {
		e.routes = make(map[string]*routeEvidence)
	}
	route := e.routes[counts.Route]
	if route == nil {
		route = &routeEvidence{new: make(map[ServerID]Counts)}
		for of := range measures {
			route.closed[of] = make([]byServer, e.window)
		}
		e.routes[counts.Route] = route
	}
	route.old = route.old.Plus(counts.Old)
	e.old = e.old.Plus(counts.Old)
	for id, added := range counts.New {
		route.new[id] = route.new[id].Plus(added)
		e.new = e.new.Plus(added)
	}
}

// moment returns the old version's answers of the current window on all routes.
func (e *evidence) moment() Counts {
	var sum Counts
	for _, route := range e.routes {
		sum = sum.Plus(route.old)
	}
	return sum
}

// close moves the current window to the closed ones.
func (r *routeEvidence) close(moment Counts) {
	for of := range measures {
		r.closed[of] = append(r.closed[of], r.current(of, moment))
	}
	r.before = r.before.Plus(r.old)
	r.old = Counts{}
	clear(r.new)
}

// expected returns the share of bad answers that the old version has in the current
// window: what it usually has on the route, or more if it has more now, there or on all
// routes.
func (r *routeEvidence) expected(of measure, moment Counts) float64 {
	usual := r.before.Plus(r.old).share(of).estimate(priorShare)
	return max(leastShare, usual, r.old.share(of).estimate(usual), moment.share(of).estimate(usual))
}

// current returns the ratios of the current window.
func (r *routeEvidence) current(of measure, moment Counts) byServer {
	if len(r.new) == 0 {
		return nil
	}
	expected := r.expected(of, moment)
	result := make(byServer, len(r.new))
	for id, counts := range r.new {
		if counts := counts.share(of); counts.all > 0 {
			result[id] = counts.against(expected)
		}
	}
	return result
}

// stratum is the evidence on one route, or on all of them, by one measure.
type stratum struct {
	route string
	of    measure
	// windows are the ratios of all servers that are looked at.
	windows []ratios
}

// noServer stands for none that is left out.
const noServer ServerID = ""

// strata returns the evidence on each route and on all of them, without one server.
func (e *evidence) strata(without ServerID) []stratum {
	var result []stratum
	moment := e.moment()
	for of := range measures {
		pooled := stratum{of: of, windows: make([]ratios, e.window+1)}
		for _, name := range slices.Sorted(maps.Keys(e.routes)) {
			one := e.routes[name].stratum(name, of, without, moment)
			for index, window := range one.windows {
				pooled.windows[index] = pooled.windows[index].plus(window)
			}
			result = append(result, one)
		}
		result = append(result, pooled)
	}
	return result
}

func (r *routeEvidence) stratum(name string, of measure, without ServerID, moment Counts) stratum {
	result := stratum{route: name, of: of, windows: make([]ratios, len(r.closed[of])+1)}
	add := func(index int, window byServer) {
		for id, one := range window {
			if id != without {
				result.windows[index] = result.windows[index].plus(one)
			}
		}
	}
	for index, window := range r.closed[of] {
		add(index, window)
	}
	add(len(r.closed[of]), r.current(of, moment))
	return result
}

// against returns the logarithm of the evidence against the version: the mean likelihood
// ratio over the excesses, and over the windows from which on the version may be bad
// (the first with weight 1/2, the next with 1/6, 1/12, and so on).
func (s stratum) against() float64 {
	var total logSum
	for excess := range excesses {
		// Windows to come: nothing speaks for them.
		total.add(-math.Log(float64(len(s.windows) + 1)))
		ratio := 0.0
		for index := len(s.windows) - 1; index >= 0; index-- {
			ratio += s.windows[index].seen[excess]
			total.add(ratio - math.Log(float64((index+1)*(index+2))))
		}
	}
	return total.log() - math.Log(float64(len(excesses)))
}

// good reports whether the stratum speaks for the version.
func (s stratum) good() bool {
	limit := limits[s.of].route
	if s.route == "" {
		limit = limits[s.of].all
	}
	var total ratios
	for index := len(s.windows) - 1; index >= 0; index-- {
		total = total.plus(s.windows[index])
		if total.seen[limit.excess] > math.Log(lateBound) {
			return false
		}
	}
	seen := total.seen[limit.excess]
	few := s.route != "" && total.answers < fewAnswers
	return seen <= limit.part*total.usual[limit.excess] && (few || seen <= math.Log(limit.bound))
}

// judge returns the verdict on the evidence.
func (e *evidence) judge() Verdict {
	verdict := Verdict{Old: e.old, New: e.new}
	if e.new == (Counts{}) {
		return verdict
	}
	all := e.strata(noServer)
	total, cause := against(all)
	suspect := total >= math.Log(1/alpha)
	if !suspect && good(all) {
		verdict.Finding = Good
		verdict.Cause = "neither failures nor slow answers are more frequent than at the old version"
		return verdict
	}
	servers, worst := e.worst()
	rest := e.strata(worst.id)
	left, _ := against(rest)
	switch {
	case suspect && (servers < 2 || left >= math.Log(restBound)):
		verdict.Finding, verdict.Cause = Bad, cause.String()
	case servers > 1 && worst.unlike >= math.Log(outlierBound) && good(rest):
		verdict.Finding = Good
		verdict.Cause = fmt.Sprintf("neither failures nor slow answers are more frequent than at the old version, but for server %s", worst.id)
	}
	return verdict
}

// against returns the logarithm of the mean evidence against the version, and the
// stratum that says most of it.
func against(strata []stratum) (float64, stratum) {
	var total logSum
	highest, cause := math.Inf(-1), stratum{}
	for _, one := range strata {
		evidence := one.against()
		total.add(evidence)
		if evidence > highest {
			highest, cause = evidence, one
		}
	}
	return total.log() - math.Log(float64(len(strata))), cause
}

// good reports whether all strata speak for the version.
func good(strata []stratum) bool {
	return !slices.ContainsFunc(strata, func(one stratum) bool { return !one.good() })
}

// worst returns how many servers of the target have answered, and the one that speaks
// most against it.
func (e *evidence) worst() (servers int, worst outlier) {
	totals := make(map[ServerID]*[measures]ratios)
	var all [measures]ratios
	add := func(of measure, window byServer) {
		for id, one := range window {
			if totals[id] == nil {
				totals[id] = &[measures]ratios{}
			}
			totals[id][of] = totals[id][of].plus(one)
			all[of] = all[of].plus(one)
		}
	}
	moment := e.moment()
	for _, route := range e.routes {
		for of := range measures {
			for _, window := range route.closed[of] {
				add(of, window)
			}
			add(of, route.current(of, moment))
		}
	}
	highest := math.Inf(-1)
	for _, id := range slices.Sorted(maps.Keys(totals)) {
		for of := range measures {
			if one := slices.Max(totals[id][of].seen[:]); one > highest {
				highest = one
				worst = outlier{id: id, unlike: one - max(slices.Max(all[of].seen[:]), 0)}
			}
		}
	}
	return len(totals), worst
}

// outlier is a server that may be unlike the others.
type outlier struct {
	id ServerID
	// unlike is the logarithm of the likelihood ratio of this server being bad alone
	// against all of them being bad alike.
	unlike float64
}

// String says what the stratum shows.
func (s stratum) String() string {
	if s.route == "" {
		return fmt.Sprintf("answers on all routes are %s more often than at the old version", measureNames[s.of])
	}
	return fmt.Sprintf("answers on route %s are %s more often than at the old version", s.route, measureNames[s.of])
}
