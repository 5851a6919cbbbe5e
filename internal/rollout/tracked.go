package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

// trackedOrder is what a process keeps about one order.
type trackedOrder struct {
	order Order
	// since is the revision after which servers of the target belong to the order, including
	// those that earlier, withdrawn orders of the version started.
	since catalog.Revision
	plan  Plan
	// baseElapsed is how long the order had run at baseTime, when its current state became
	// known.
	baseElapsed time.Duration
	baseTime    time.Time
	exposure    Exposure
	routes      map[string]*RouteCounts
	// oldInFlight is the number of requests in flight at servers of other versions.
	oldInFlight int
	// unreportedSince is the time of the oldest result of the target that is in no delivered
	// report, or slightly earlier; zero if there is none. sampledAt is the time of the latest
	// result.
	unreportedSince, sampledAt time.Time
	// completedRevision is the revision at which the order was completed.
	completedRevision catalog.Revision
	// missingSince is since when a restored store has lacked the order; decisionLost is set
	// while it lacks its decision.
	missingSince time.Time
	decisionLost bool
	// halted is set once the target was found bad, unless the order was completed all the same.
	halted bool
	// repeatable is set once the service had a request that may be repeated.
	repeatable bool
}

// advance adopts a later state of the order.
func (o *trackedOrder) advance(order Order, now time.Time) {
	if order.Revision <= o.order.Revision {
		return
	}
	o.adopt(order, max(o.elapsed(now), order.Current().Elapsed), now)
}

// adopt adopts a state of the order, which has run for the given time. An order that has ended
// stays ended, and its decision has to be written again where the store has lost it: the store
// may have been restored from a backup, or a write that was in flight then may have taken effect
// since.
func (o *trackedOrder) adopt(order Order, ranFor time.Duration, now time.Time) {
	o.decisionLost = o.order.Ended() && !order.Ended()
	if o.decisionLost {
		order.Status = o.order.Status
	} else {
		o.recordCompletion(order)
	}
	order.lowerSince(o.order.ServersSince())
	o.since = min(o.since, order.ServersSince())
	o.baseElapsed, o.baseTime = ranFor, now
	o.order, o.plan = order, NewPlan(order.Duration)
	o.halted = o.halted && !o.completed()
}

func (o *trackedOrder) completed() bool { return o.order.Current().State == StateCompleted }

func (o *trackedOrder) elapsed(now time.Time) time.Duration {
	return o.baseElapsed + now.Sub(o.baseTime)
}

// Reports returns the reports of the orders that are being carried out, sorted by service, and
// whether there are results of a target since the last report that was delivered.
func (t *Tracker) Reports(now time.Time) (reports []OrderReport, unreported bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, service := range slices.Sorted(maps.Keys(t.orders)) {
		tracked := t.orders[service]
		if tracked.order.Ended() {
			continue
		}
		reports = append(reports, tracked.report(now))
		unreported = unreported || !tracked.unreportedSince.IsZero()
	}
	return reports, unreported
}

func (o *trackedOrder) report(now time.Time) OrderReport {
	report := OrderReport{
		Service:     o.order.Service,
		Target:      o.order.Target,
		Created:     o.order.Created,
		Since:       o.order.Since,
		Revision:    o.order.Revision,
		Elapsed:     o.elapsed(now),
		OldInFlight: o.oldInFlight,
		Requests:    o.exposure.requests,
		Sent:        o.exposure.sent,
		Halted:      o.halted,
	}
	for _, name := range slices.Sorted(maps.Keys(o.routes)) {
		counts := *o.routes[name]
		counts.New = maps.Clone(counts.New)
		report.Routes = append(report.Routes, counts)
	}
	return report
}

// MarkReported records that a report of the orders that was made at the given time has been
// delivered.
func (t *Tracker) MarkReported(keys []Key, made time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, key := range keys {
		if tracked := t.orders[key.Service]; tracked != nil && tracked.order.Key() == key {
			tracked.markReported(made)
		}
	}
}

func (o *trackedOrder) markReported(made time.Time) {
	switch {
	case !o.sampledAt.After(made):
		o.unreportedSince = time.Time{}
	case o.unreportedSince.Before(made):
		o.unreportedSince = made
	}
}
