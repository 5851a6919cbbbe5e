package rollout

import (
	"maps"
	"slices"
	"time"
)

// Usage is what one process has sent to the target of an order.
type Usage struct {
	Progress
	// Stage is the stage in effect at the process.
	Stage Stage
	// Requests counts all requests of the service, Sent those sent to the target, Allowed how
	// many may have been sent there by now.
	Requests, Sent, Allowed uint32
	// Share is the share of its requests that the process may send to the target now.
	Share float64
	// Unreported is the age of the oldest result of the target that is in no delivered report.
	Unreported time.Duration
	// Old and New are the answers of other versions and of the target.
	Old, New Counts
}

// Usages returns the usage of all orders, sorted by service.
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

func (t *Tracker) usage(tracked *trackedOrder, now time.Time) Usage {
	usage := Usage{
		Progress: Progress{Order: tracked.order, Elapsed: tracked.elapsed(now), Halted: tracked.halted},
		Stage:    t.stage(tracked, now),
		Requests: tracked.exposure.requests,
		Sent:     tracked.exposure.sent,
	}
	usage.Share = tracked.exposure.share(usage.Stage, tracked.plan, usage.Elapsed)
	if !tracked.unreportedSince.IsZero() {
		usage.Unreported = now.Sub(tracked.unreportedSince)
	}
	usage.Allowed = uint32(tracked.exposure.allowed(usage.Stage, tracked.plan, usage.Elapsed))
	for _, counts := range tracked.routes {
		usage.Old = usage.Old.Plus(counts.Old)
		for _, server := range counts.New {
			usage.New = usage.New.Plus(server)
		}
	}
	return usage
}
