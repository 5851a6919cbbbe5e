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
	// beta bounds how often a version that is worse by toleratedExcess is found good.
	beta = 0.03
	// restBound is the evidence (a likelihood ratio) that has to be left without the
	// server that speaks most against a version before it is found bad.
	restBound = 3
	// outlierBound is the evidence against one server from which the others are judged
	// without it.
	outlierBound = 100
	// windowLength is how long answers count as of the same moment. Processes report
	// twice a second.
	windowLength = time.Second
	// controlAnswers are how many answers of the old version the share expected of the
	// new one is taken from at least, if need be those of earlier windows.
	controlAnswers = 50
	// priorShare and priorAnswers are the share of bad answers that is expected of any
	// version, and how many answers that expectation is worth.
	priorShare   = 0.02
	priorAnswers = 5
)

// excesses are the alternatives that the test weighs: the share of those answers that
// would be good at the old version and are bad at the new one.
var excesses = [...]float64{0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.95}

// toleratedExcess is the index of the excess from which a version must not be found good.
const toleratedExcess = 2

// ratios are logarithms of likelihood ratios, one for each excess against none.
type ratios [len(excesses)]float64

func (r ratios) plus(other ratios) ratios {
	for index := range r {
		r[index] += other[index]
	}
	return r
}

func (r ratios) minus(other ratios) ratios {
	for index := range r {
		r[index] -= other[index]
	}
	return r
}

// mixture returns the logarithm of the mean of the ratios.
func (r ratios) mixture() float64 { return logMean(r[:]) }

// logMean returns the logarithm of the mean of values that are given as logarithms.
func logMean(logs []float64) float64 {
	highest := slices.Max(logs)
	sum := 0.0
	for _, log := range logs {
		sum += math.Exp(log - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}

// measure is one thing that may be bad about answers.
type measure uint8

const (
	failures measure = iota
	slowness
	measures
)

var measureNames = [measures]string{"failed", "slow"}

// share is how many of so many answers were bad.
type share struct{ bad, all float64 }

// share returns the answers by the measure.
func (c Counts) share(of measure) share {
	if of == failures {
		return share{bad: float64(c.Failed), all: float64(c.Answers)}
	}
	return share{bad: float64(c.Slow), all: float64(c.Timed)}
}

// add returns the sum, the other one taken by a factor.
func (s share) add(other share, factor float64) share {
	return share{bad: s.bad + factor*other.bad, all: s.all + factor*other.all}
}

// against returns the likelihood ratios of the answers where the share is expected.
func (s share) against(expected float64) ratios {
	var result ratios
	for index, excess := range excesses {
		alternative := expected + excess*(1-expected)
		result[index] = s.bad*math.Log(alternative/expected) + (s.all-s.bad)*math.Log((1-alternative)/(1-expected))
	}
	return result
}

// evidence compares the answers of two versions in the same moments. The zero value
// has none.
type evidence struct {
	window   int64
	routes   map[string]*routeEvidence
	old, new Counts
}

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	// old and new are the answers of the current window.
	old Counts
	new map[ServerID]Counts
	// control are the old version's latest answers before it.
	control [measures]share
	// closed are the ratios of earlier windows by server.
	closed [measures]map[ServerID]ratios
}

// advance begins a new window where the time since the start asks for it.
func (e *evidence) advance(elapsed time.Duration) {
	window := int64(elapsed / windowLength)
	if window <= e.window {
		return
	}
	e.window = window
	for _, route := range e.routes {
		route.close()
	}
}

// add adds answers to the current window.
func (e *evidence) add(counts RouteCounts) {
	if e.routes == nil {
		e.routes = make(map[string]*routeEvidence)
	}
	route := e.routes[counts.Route]
	if route == nil {
		route = &routeEvidence{new: make(map[ServerID]Counts)}
		e.routes[counts.Route] = route
	}
	route.old = route.old.Plus(counts.Old)
	e.old = e.old.Plus(counts.Old)
	for id, added := range counts.New {
		route.new[id] = route.new[id].Plus(added)
		e.new = e.new.Plus(added)
	}
}

// close moves the current window to the closed ones.
func (r *routeEvidence) close() {
	for of := range measures {
		r.closed[of] = r.servers(of)
		r.control[of] = r.controlNow(of)
	}
	r.old, r.new = Counts{}, make(map[ServerID]Counts)
}

// controlNow returns the old version's answers of this window, and as many earlier ones
// as are missing to controlAnswers.
func (r *routeEvidence) controlNow(of measure) share {
	now, before := r.old.share(of), r.control[of]
	missing := controlAnswers - now.all
	if missing <= 0 || before.all == 0 {
		return now
	}
	return now.add(before, min(missing/before.all, 1))
}

// servers returns the ratios by server.
func (r *routeEvidence) servers(of measure) map[ServerID]ratios {
	control := r.controlNow(of)
	expected := max((control.bad+priorShare*priorAnswers)/(control.all+priorAnswers), priorShare)
	result := maps.Clone(r.closed[of])
	if result == nil {
		result = make(map[ServerID]ratios)
	}
	for id, counts := range r.new {
		result[id] = result[id].plus(counts.share(of).against(expected))
	}
	return result
}

// stratum is the evidence on one route, or on all of them, by one measure.
type stratum struct {
	route   string
	of      measure
	servers map[ServerID]ratios
	total   ratios
}

func newStratum(route string, of measure, servers map[ServerID]ratios) stratum {
	result := stratum{route: route, of: of, servers: servers}
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		result.total = result.total.plus(servers[id])
	}
	return result
}

// rest returns the evidence without the server that speaks most against the version,
// and what that one says.
func (s stratum) rest() (rest, worst ratios) {
	worstMixture := math.Inf(-1)
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if mixture := s.servers[id].mixture(); mixture > worstMixture {
			worstMixture, worst = mixture, s.servers[id]
		}
	}
	return s.total.minus(worst), worst
}

// bad reports whether the evidence against the version rests on more than one server.
func (s stratum) bad() bool {
	rest, _ := s.rest()
	return len(s.servers) < 2 || rest.mixture() >= math.Log(restBound)
}

// good reports whether the stratum speaks for the version: with all its servers, or
// without one that is unlike the others.
func (s stratum) good() bool {
	if s.total[toleratedExcess] <= math.Log(beta) {
		return true
	}
	rest, worst := s.rest()
	return len(s.servers) > 1 && worst.mixture() >= math.Log(outlierBound) && rest[toleratedExcess] <= math.Log(beta)
}

// strata returns the evidence on each route and on all of them.
func (e *evidence) strata() []stratum {
	var result []stratum
	for of := range measures {
		pooled := make(map[ServerID]ratios)
		for _, name := range slices.Sorted(maps.Keys(e.routes)) {
			servers := e.routes[name].servers(of)
			if len(servers) == 0 {
				continue
			}
			for id, one := range servers {
				pooled[id] = pooled[id].plus(one)
			}
			result = append(result, newStratum(name, of, servers))
		}
		if len(pooled) > 0 {
			result = append(result, newStratum("", of, pooled))
		}
	}
	return result
}

// judge returns the verdict on the evidence.
func (e *evidence) judge() Verdict {
	verdict := Verdict{Old: e.old, New: e.new}
	strata := e.strata()
	if len(strata) == 0 {
		return verdict
	}
	mixtures := make([]float64, len(strata))
	good := true
	for index, one := range strata {
		mixtures[index] = one.total.mixture()
		good = good && one.good()
	}
	worst := strata[slices.Index(mixtures, slices.Max(mixtures))]
	switch {
	case logMean(mixtures) >= math.Log(1/alpha) && worst.bad():
		verdict.Finding, verdict.Cause = Bad, worst.cause("more often than the old version")
	case good:
		verdict.Finding, verdict.Cause = Good, "no route fails or is slow more often than the old version"
	}
	return verdict
}

// cause says what the stratum shows.
func (s stratum) cause(comparison string) string {
	if s.route == "" {
		return fmt.Sprintf("answers of all routes %s %s", measureNames[s.of], comparison)
	}
	return fmt.Sprintf("answers of route %s %s %s", s.route, measureNames[s.of], comparison)
}
