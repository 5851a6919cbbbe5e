package rollout

import (
	"maps"
	"slices"
	"time"
)

// Usage is what one process has sent to the target of an order.
type Usage struct {
	Known
	// Stage is the one in force at the process.
	Stage Stage
	// Requests are all of the service, Sent those to the target, Allowed how many these
	// may be by now.
	Requests, Sent, Allowed uint32
	// Share is what part of its requests the process may send to the target now.
	Share float64
	// Unreported is the age of the oldest answer of the target that no report has told.
	Unreported time.Duration
	// Old and New are the answers of other versions and of the target.
	Old, New Counts
}

// Usages returns what was sent for all orders, by service.
func (t *Tracker) Usages(now time.Time) []Usage {
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usages := make([]Usage, 0, len(t.orders))
	for _, service := range slices.Sorted(maps.Keys(t.orders)) {
		usages = append(usages, t.usage(t.orders[service], now))
	}
	return usages
}

func (t *Tracker) usage(known *tracked, now time.Time) Usage {
	usage := Usage{
		Known:    Known{Order: known.order, Elapsed: known.elapsed(now), Halted: known.halted},
		Stage:    t.stage(known, now),
		Requests: known.exposure.requests,
		Sent:     known.exposure.sent,
	}
	usage.Share = known.exposure.share(usage.Stage, known.plan, usage.Elapsed)
	if !known.unreportedSince.IsZero() {
		usage.Unreported = now.Sub(known.unreportedSince)
	}
	usage.Allowed = uint32(known.exposure.allowed(usage.Stage, known.plan, usage.Elapsed))
	for _, counts := range known.routes {
		usage.Old = usage.Old.Plus(counts.Old)
		for _, ofServer := range counts.New {
			usage.New = usage.New.Plus(ofServer)
		}
	}
	return usage
}
