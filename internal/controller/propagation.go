package controller

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// checkWorkers is the number of concurrent propagation checks.
	checkWorkers = 2
	// minCheckInterval and maxCheckInterval bound the time between two checks of a
	// revision that some member lacks; the interval doubles.
	minCheckInterval = 100 * time.Millisecond
	maxCheckInterval = 2 * time.Second
	// completeCheckInterval is the maximum time between two checks of a revision
	// that every member holds: each check costs a message to every member.
	completeCheckInterval = 2 * time.Minute
)

// propagation is how far a revision has propagated among the members.
type propagation struct {
	total   int
	applied int
	lagging []string
	// laggingFor is how long at least one member has lacked the revision.
	laggingFor time.Duration
}

func (p *propagation) complete() bool {
	return p.total > 0 && p.applied >= p.total
}

// propagationTracker tracks the propagation of one revision of a resource, and
// schedules its checks.
type propagationTracker struct {
	revision     int64
	nextAt       time.Time
	interval     time.Duration
	checked      bool
	last         propagation
	laggingSince time.Time
}

// track switches to another revision. The first check is delayed if every member is
// already reported to hold the revision.
func (tracker *propagationTracker) track(revision int64, everywhere bool, now time.Time) {
	if tracker.revision == revision {
		return
	}
	*tracker = propagationTracker{revision: revision, nextAt: now, interval: minCheckInterval, laggingSince: now}
	if everywhere {
		tracker.nextAt = now.Add(rand.N(completeCheckInterval))
	}
}

// due reports whether a check is due.
func (tracker *propagationTracker) due(now time.Time) bool {
	return tracker.revision > 0 && !now.Before(tracker.nextAt)
}

// record stores the result of a check, unless it is for another revision.
func (tracker *propagationTracker) record(revision int64, answer propagation, now time.Time) {
	if tracker.revision != revision {
		return
	}
	if answer.complete() {
		tracker.laggingSince = time.Time{}
		tracker.interval = minCheckInterval
		tracker.nextAt = now.Add(completeCheckInterval/2 + rand.N(completeCheckInterval/2))
	} else {
		if tracker.laggingSince.IsZero() {
			tracker.laggingSince = now
		}
		answer.laggingFor = now.Sub(tracker.laggingSince)
		tracker.nextAt = now.Add(tracker.interval)
		tracker.interval = min(2*tracker.interval, maxCheckInterval)
	}
	tracker.checked, tracker.last = true, answer
}

// latest returns the last result, or nil before the first.
func (tracker *propagationTracker) latest() *propagation {
	if !tracker.checked {
		return nil
	}
	last := tracker.last
	return &last
}

// checkPropagation checks the queued resources. It is separate from the workers
// because a check may take seconds and must not delay acceptances.
func (leader *leader) checkPropagation(ctx context.Context) {
	for {
		name, more := leader.propagationChecks.get(ctx)
		if !more {
			return
		}
		leader.checkOne(ctx, name)
		leader.propagationChecks.done(name, nil)
	}
}

func (leader *leader) checkOne(ctx context.Context, name string) {
	revision := int64(0)
	leader.updateRecord(name, func(record *record) {
		if record.tracker.due(time.Now()) {
			revision = record.tracker.revision
		}
	})
	if revision == 0 {
		return
	}
	answers := make(chan propagation, 1)
	go func() {
		total, applied, lagging := leader.controller.options.Propagation.CountApplied(name, revision)
		answers <- propagation{total: total, applied: applied, lagging: lagging}
	}()
	select {
	case <-ctx.Done(): // the result is not needed any more
	case answer := <-answers:
		leader.updateRecord(name, func(record *record) { record.tracker.record(revision, answer, time.Now()) })
		leader.queue.add(name)
	}
}

// dueChecks returns the resources whose check is due.
func (leader *leader) dueChecks(now time.Time) []string {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	var names []string
	for name, record := range leader.records {
		if record.tracker.due(now) {
			names = append(names, name)
		}
	}
	return names
}
