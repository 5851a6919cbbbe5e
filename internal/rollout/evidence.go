package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// windowLength is the time within which answers count as simultaneous: processes report twice a
// second or more often. It doubles whenever an order has lasted for maxWindows.
const (
	windowLength = time.Second
	maxWindows   = 64
)

// byServer holds the log ratios of one window, sorted by server: sums of them do not depend on
// the iteration order of a map.
type byServer []serverRatios

type serverRatios struct {
	id ServerID
	logRatios
}

// evidence compares the answers of two versions window by window. The zero value is empty.
type evidence struct {
	// window is the index of the current window, length how long a window lasts.
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
	// oldBefore are the old version's answers of earlier windows.
	oldBefore Counts
	// closed are the log ratios of earlier windows.
	closed [measureCount][]byServer
}

// advance closes windows up to the time since the start.
func (e *evidence) advance(elapsed time.Duration) {
	if e.length == 0 {
		e.length = windowLength
	}
	for e.window < int(elapsed/e.length) {
		if e.window == maxWindows {
			e.coarsen()
			continue
		}
		currentOld := e.currentOld()
		for _, route := range e.routes {
			route.closeWindow(currentOld)
		}
		e.window++
	}
}

// coarsen merges windows in pairs.
func (e *evidence) coarsen() {
	e.length *= 2
	e.window /= 2
	for _, route := range e.routes {
		for m := range measureCount {
			windows := route.closed[m]
			for index := range windows[:len(windows)/2] {
				windows[index] = merge(windows[2*index], windows[2*index+1])
			}
			route.closed[m] = windows[:len(windows)/2]
		}
	}
}

// merge adds up two windows.
func merge(a, b byServer) byServer {
	result := slices.Clone(a)
	for _, server := range b {
		index, found := slices.BinarySearchFunc(result, server.id, func(r serverRatios, id ServerID) int { return cmp.Compare(r.id, id) })
		if found {
			result[index].logRatios = result[index].plus(server.logRatios)
		} else {
			result = slices.Insert(result, index, server)
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
		for m := range measureCount {
			route.closed[m] = make([]byServer, e.window)
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

// currentOld returns the old version's answers of the current window on all routes.
func (e *evidence) currentOld() Counts {
	var sum Counts
	for _, route := range e.routes {
		sum = sum.Plus(route.old)
	}
	return sum
}

// closeWindow moves the current window to the closed ones.
func (r *routeEvidence) closeWindow(currentOld Counts) {
	for m := range measureCount {
		r.closed[m] = append(r.closed[m], r.currentRatios(m, currentOld))
	}
	r.oldBefore = r.oldBefore.Plus(r.old)
	r.old = Counts{}
	clear(r.new)
}

// expectedShare returns the share of bad answers of the old version in the current window: the
// usual share on the route, or the share in this window, on the route or on all routes, if that
// is higher.
func (r *routeEvidence) expectedShare(m measure, currentOld Counts) float64 {
	usual := r.oldBefore.Plus(r.old).share(m).estimate(priorShare)
	return max(minShare, usual, r.old.share(m).estimate(usual), currentOld.share(m).estimate(usual))
}

// currentRatios returns the log ratios of the current window.
func (r *routeEvidence) currentRatios(m measure, currentOld Counts) byServer {
	if len(r.new) == 0 {
		return nil
	}
	expected := r.expectedShare(m, currentOld)
	result := make(byServer, 0, len(r.new))
	for _, id := range slices.Sorted(maps.Keys(r.new)) {
		if counts := r.new[id].share(m); counts.all > 0 {
			result = append(result, serverRatios{id, counts.logRatios(expected)})
		}
	}
	return result
}
