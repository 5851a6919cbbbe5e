package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// TestSimulatedOrders checks the error rates that these constants lead to.
const (
	// alpha bounds the false positive rate: the share of versions as good as the old one that
	// are found bad.
	alpha = 0.001
	// minRemainingRatio is the likelihood ratio against a version that must remain without its
	// worst server: one server that fails, is slow or does not answer does not make the version
	// bad.
	minRemainingRatio = 10
	// outlierRatio is the likelihood ratio of one server being bad alone, against all servers
	// being equally bad, from which the other servers are evaluated without it.
	outlierRatio = 3000
	// maxRecentRatio bounds the likelihood ratio of the limit's excess over the latest windows
	// alone: a version that exceeds it is not good, because it may have turned bad.
	maxRecentRatio = 100
	// minAnswers is the number of answers needed to find a version good, and to require
	// evidence from a route by itself.
	minAnswers = 8
)

// limit is the excess that a good version must not show.
type limit struct {
	// excessIndex is the index of an excess that is not good.
	excessIndex int
	// expectedFraction is multiplied by the log likelihood ratio of the excess that versions
	// without excess show on average; the observed one must not be higher. This requires more
	// evidence where there are more answers.
	expectedFraction float64
	// maxRatio bounds the likelihood ratio itself.
	maxRatio float64
}

// limits are the excesses that a good version must not show on one route, and on all routes
// together. Of a version that is three times slower, 80 of 100 answers or more are slow.
var limits = [measureCount]struct{ route, all limit }{
	failures: {route: limit{2, 0.4, 0.3}, all: limit{2, 0.4, 0.1}},
	slowness: {route: limit{5, 0.1, 1}, all: limit{3, 0.1, 3}},
}

// stratum is the evidence by one measure on one route, or on all of them.
type stratum struct {
	route string
	kind  measure
	// windows are the log ratios of all servers that are not excluded.
	windows []logRatios
}

// noServer excludes no server.
const noServer ServerID = ""

// strata returns the evidence on each route and on all of them, without the excluded server.
func (e *evidence) strata(excluded ServerID) []stratum {
	var result []stratum
	currentOld := e.currentOld()
	for kind := range measureCount {
		pooled := stratum{kind: kind, windows: make([]logRatios, e.window+1)}
		for _, name := range slices.Sorted(maps.Keys(e.routes)) {
			onRoute := e.routes[name].stratum(name, kind, excluded, currentOld)
			for index, window := range onRoute.windows {
				pooled.windows[index] = pooled.windows[index].plus(window)
			}
			result = append(result, onRoute)
		}
		result = append(result, pooled)
	}
	return result
}

func (r *routeEvidence) stratum(name string, kind measure, excluded ServerID, currentOld Counts) stratum {
	result := stratum{route: name, kind: kind, windows: make([]logRatios, len(r.closed[kind])+1)}
	add := func(index int, window byServer) {
		for _, server := range window {
			if server.id != excluded {
				result.windows[index] = result.windows[index].plus(server.logRatios)
			}
		}
	}
	for index, window := range r.closed[kind] {
		add(index, window)
	}
	add(len(r.closed[kind]), r.currentRatios(kind, currentOld))
	return result
}

// logEvidence returns the logarithm of the evidence against the version: the mean likelihood
// ratio over the excesses, and over the windows from which on the version may be bad (the first
// with weight 1/2, the next with 1/6, 1/12, and so on).
func (s stratum) logEvidence() float64 {
	var total logSum
	for excess := range excesses {
		// The remaining weight belongs to windows to come, with a likelihood ratio of 1.
		total.add(-math.Log(float64(len(s.windows) + 1)))
		ratio := 0.0
		for index := len(s.windows) - 1; index >= 0; index-- {
			ratio += s.windows[index].observed[excess]
			total.add(ratio - math.Log(float64((index+1)*(index+2))))
		}
	}
	return total.log() - math.Log(float64(len(excesses)))
}

// good reports whether the stratum shows no excess that a good version must not show.
func (s stratum) good() bool {
	limit := limits[s.kind].route
	if s.route == "" {
		limit = limits[s.kind].all
	}
	var total logRatios
	for index := len(s.windows) - 1; index >= 0; index-- {
		total = total.plus(s.windows[index])
		if total.observed[limit.excessIndex] > math.Log(maxRecentRatio) {
			return false
		}
	}
	observed, few := total.observed[limit.excessIndex], total.answers < minAnswers
	switch {
	case observed > limit.expectedFraction*total.expected[limit.excessIndex]:
		return false
	case few:
		return s.route != ""
	}
	return observed <= math.Log(limit.maxRatio)
}

// evaluate returns the verdict on the evidence.
func (e *evidence) evaluate() Verdict {
	verdict := Verdict{Old: e.old, New: e.new}
	if e.new == (Counts{}) {
		return verdict
	}
	all := e.strata(noServer)
	total, cause := meanEvidence(all)
	suspected := total >= math.Log(1/alpha)
	if !suspected && allGood(all) {
		verdict.Finding = Good
		verdict.Cause = "neither failures nor slow answers are more frequent than at the old version"
		return verdict
	}
	servers, worst := e.worst()
	isOutlier := servers > 1 && worst.logRatio >= math.Log(outlierRatio)
	if !suspected && !isOutlier {
		return verdict
	}
	rest := e.strata(worst.id)
	remaining, _ := meanEvidence(rest)
	switch {
	case suspected && (servers < 2 || remaining >= math.Log(minRemainingRatio)):
		verdict.Finding, verdict.Cause = Bad, cause.String()
	case isOutlier && allGood(rest):
		verdict.Finding = Good
		verdict.Cause = fmt.Sprintf("neither failures nor slow answers are more frequent than at the old version, but for server %s", worst.id)
	}
	return verdict
}

// meanEvidence returns the logarithm of the mean evidence against the version, and the stratum
// that contributes most to it.
func meanEvidence(strata []stratum) (float64, stratum) {
	var total logSum
	highest, cause := math.Inf(-1), stratum{}
	for _, s := range strata {
		evidence := s.logEvidence()
		total.add(evidence)
		if evidence > highest {
			highest, cause = evidence, s
		}
	}
	return total.log() - math.Log(float64(len(strata))), cause
}

// allGood reports whether all strata are good.
func allGood(strata []stratum) bool {
	return !slices.ContainsFunc(strata, func(s stratum) bool { return !s.good() })
}

// worst returns how many servers of the target have answered, and the one with the strongest
// evidence against it.
func (e *evidence) worst() (servers int, worst outlier) {
	totals := make(map[ServerID]*[measureCount]logRatios)
	var all [measureCount]logRatios
	add := func(m measure, window byServer) {
		for _, server := range window {
			if totals[server.id] == nil {
				totals[server.id] = &[measureCount]logRatios{}
			}
			totals[server.id][m] = totals[server.id][m].plus(server.logRatios)
			all[m] = all[m].plus(server.logRatios)
		}
	}
	currentOld := e.currentOld()
	for _, name := range slices.Sorted(maps.Keys(e.routes)) {
		route := e.routes[name]
		for m := range measureCount {
			for _, window := range route.closed[m] {
				add(m, window)
			}
			add(m, route.currentRatios(m, currentOld))
		}
	}
	highest := math.Inf(-1)
	for _, id := range slices.Sorted(maps.Keys(totals)) {
		for m := range measureCount {
			if ratio := slices.Max(totals[id][m].observed[:]); ratio > highest {
				highest = ratio
				worst = outlier{id: id, logRatio: ratio - max(slices.Max(all[m].observed[:]), 0)}
			}
		}
	}
	return len(totals), worst
}

// outlier is a server that may differ from the others.
type outlier struct {
	id ServerID
	// logRatio is the logarithm of the likelihood ratio of this server being bad alone, against
	// all servers being equally bad.
	logRatio float64
}

// String describes the excess that the stratum shows.
func (s stratum) String() string {
	if s.route == "" {
		return fmt.Sprintf("answers on all routes %s more often than at the old version", measureNames[s.kind])
	}
	return fmt.Sprintf("answers on route %s %s more often than at the old version", s.route, measureNames[s.kind])
}
