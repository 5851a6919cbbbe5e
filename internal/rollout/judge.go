package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// The constants are chosen by TestDrawnOrders.
const (
	// alpha bounds the share of versions as good as the old one that are found bad.
	alpha = 0.001
	// restBound is the likelihood ratio that has to be left against a version without the
	// server that speaks most against it: one server that fails, is slow or silent is not
	// the version.
	restBound = 10
	// outlierBound is the likelihood ratio of one server being bad alone against all being
	// bad alike from which the others are judged without it.
	outlierBound = 3000
	// lateBound is the likelihood ratio of what a good version must not show, over the
	// latest windows alone, from which it is not good: it may have turned bad.
	lateBound = 100
	// fewAnswers are too few to find a version good, and too few to ask for evidence of a
	// route by itself.
	fewAnswers = 8
)

// limit is what a good version must not show.
type limit struct {
	// excess is the index of an excess that is no longer good.
	excess int
	// part of what versions without excess show on average: the logarithm of the excess's
	// likelihood ratio has to be at most that. It asks for more where there are more answers.
	part float64
	// bound is the most that the ratio itself may be.
	bound float64
}

// limits are the excesses that a good version must not show on one route, and on all
// together. A version that is three times slower is slow in 80 of 100 answers or more.
var limits = [measures]struct{ route, all limit }{
	failures: {route: limit{2, 0.4, 0.3}, all: limit{2, 0.4, 0.1}},
	slowness: {route: limit{5, 0.1, 1}, all: limit{3, 0.1, 3}},
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
		for _, one := range window {
			if one.id != without {
				result.windows[index] = result.windows[index].plus(one.ratios)
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
	seen, few := total.seen[limit.excess], total.answers < fewAnswers
	switch {
	case seen > limit.part*total.usual[limit.excess]:
		return false
	case few:
		return s.route != ""
	}
	return seen <= math.Log(limit.bound)
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
	unlike := servers > 1 && worst.unlike >= math.Log(outlierBound)
	if !suspect && !unlike {
		return verdict
	}
	rest := e.strata(worst.id)
	left, _ := against(rest)
	switch {
	case suspect && (servers < 2 || left >= math.Log(restBound)):
		verdict.Finding, verdict.Cause = Bad, cause.String()
	case unlike && good(rest):
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
		for _, one := range window {
			if totals[one.id] == nil {
				totals[one.id] = &[measures]ratios{}
			}
			totals[one.id][of] = totals[one.id][of].plus(one.ratios)
			all[of] = all[of].plus(one.ratios)
		}
	}
	moment := e.moment()
	for _, name := range slices.Sorted(maps.Keys(e.routes)) {
		route := e.routes[name]
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
		return fmt.Sprintf("answers on all routes %s more often than at the old version", measureNames[s.of])
	}
	return fmt.Sprintf("answers on route %s %s more often than at the old version", s.route, measureNames[s.of])
}
