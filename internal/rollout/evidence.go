package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// windowLength is how long answers count as of the same moment: processes report twice a
// second or more often. It doubles whenever an order has lasted for maxWindows.
const (
	windowLength = time.Second
	maxWindows   = 64
)

// byServer are the ratios of one window, by the names of the servers: sums of them do
// not depend on the order of a map.
type byServer []serverRatios

type serverRatios struct {
	id ServerID
	ratios
}

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

// join adds two windows up.
func join(a, b byServer) byServer {
	result := slices.Clone(a)
	for _, one := range b {
		index, known := slices.BinarySearchFunc(result, one.id, func(r serverRatios, id ServerID) int { return cmp.Compare(r.id, id) })
		if known {
			result[index].ratios = result[index].plus(one.ratios)
		} else {
			result = slices.Insert(result, index, one)
		}
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
	result := make(byServer, 0, len(r.new))
	for _, id := range slices.Sorted(maps.Keys(r.new)) {
		if counts := r.new[id].share(of); counts.all > 0 {
			result = append(result, serverRatios{id, counts.against(expected)})
		}
	}
	return result
}
