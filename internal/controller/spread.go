package controller

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// measureWorkers bounds the questions to the members at a time.
	measureWorkers = 2
	// firstMeasureInterval and lastMeasureInterval bound the time between two
	// questions about a revision that some member lacks; it doubles.
	firstMeasureInterval = 100 * time.Millisecond
	lastMeasureInterval  = 2 * time.Second
	// settledInterval is the most time between two questions about a revision
	// that every member had: each one costs a message to every member.
	settledInterval = 2 * time.Minute
)

// progress is how far a revision has come among the members.
type progress struct {
	total   int
	applied int
	lagging []string
	// laggingFor is how long some member has been without it.
	laggingFor time.Duration
}

func (progress *progress) complete() bool {
	return progress.total > 0 && progress.applied >= progress.total
}

// spreadTracker remembers how far one revision of a resource has come, and
// when to ask again.
type spreadTracker struct {
	revision  int64
	nextAt    time.Time
	interval  time.Duration
	known     bool
	last      progress
	lagsSince time.Time
}

// follow turns to another revision. One that is reported to be everywhere
// already need not be asked about at once.
func (tracker *spreadTracker) follow(revision int64, everywhere bool, now time.Time) {
	if tracker.revision == revision {
		return
	}
	*tracker = spreadTracker{revision: revision, nextAt: now, interval: firstMeasureInterval, lagsSince: now}
	if everywhere {
		tracker.nextAt = now.Add(rand.N(settledInterval))
	}
}

// due tells whether to ask the members.
func (tracker *spreadTracker) due(now time.Time) bool {
	return tracker.revision > 0 && !now.Before(tracker.nextAt)
}

// take remembers an answer, unless it is about another revision.
func (tracker *spreadTracker) take(revision int64, answer progress, now time.Time) {
	if tracker.revision != revision {
		return
	}
	if answer.complete() {
		tracker.lagsSince = time.Time{}
		tracker.interval = firstMeasureInterval
		tracker.nextAt = now.Add(settledInterval/2 + rand.N(settledInterval/2))
	} else {
		if tracker.lagsSince.IsZero() {
			tracker.lagsSince = now
		}
		answer.laggingFor = now.Sub(tracker.lagsSince)
		tracker.nextAt = now.Add(tracker.interval)
		tracker.interval = min(2*tracker.interval, lastMeasureInterval)
	}
	tracker.known, tracker.last = true, answer
}

// spread returns the last answer, nil before the first.
func (tracker *spreadTracker) spread() *progress {
	if !tracker.known {
		return nil
	}
	last := tracker.last
	return &last
}

// measure asks the members about resources whose turn it is, apart from the
// workers: an answer may take seconds, and no acceptance waits for it.
func (leader *leader) measure(ctx context.Context) {
	for {
		name, more := leader.measures.take(ctx)
		if !more {
			return
		}
		leader.measureOne(ctx, name)
		leader.measures.done(name, nil)
	}
}

func (leader *leader) measureOne(ctx context.Context, name string) {
	revision := int64(0)
	leader.update(name, func(record *record) {
		if record.spread.due(time.Now()) {
			revision = record.spread.revision
		}
	})
	if revision == 0 {
		return
	}
	answers := make(chan progress, 1)
	go func() {
		total, applied, lagging := leader.controller.options.Spread.Applied(name, revision)
		answers <- progress{total: total, applied: applied, lagging: lagging}
	}()
	select {
	case <-ctx.Done(): // the answer is of no use any more
	case answer := <-answers:
		leader.update(name, func(record *record) { record.spread.take(revision, answer, time.Now()) })
		leader.queue.add(name)
	}
}

// dueMeasures lists the resources to ask about.
func (leader *leader) dueMeasures(now time.Time) []string {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	var names []string
	for name, record := range leader.records {
		if record.spread.due(now) {
			names = append(names, name)
		}
	}
	return names
}
