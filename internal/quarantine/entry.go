package quarantine

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/boottime"
)

// entry is a record together with the local state of this node.
type entry struct {
	record Record
	// lastChange is when the record last changed, lastFailure when a trial of it last failed.
	lastChange, lastFailure boottime.Instant
	// crashedLocally is set if servers crashed under a request of this node.
	crashedLocally bool
	// publishAt is when the record has to be written; zero if the store is up to date.
	publishAt boottime.Instant
	// writtenAt is when this node last wrote the record; zero for never.
	writtenAt boottime.Instant
	// quarantineLogged is set if the log says that the request is quarantined.
	quarantineLogged bool
	// changed is closed when the record changes.
	changed chan struct{}
}

// releaseAt returns when the term of a quarantined variant is over.
func (e *entry) releaseAt(term time.Duration, against evidence) boottime.Instant {
	return e.lastFailure.Add(doubledTerm(term, against.trials()-minFailedTrials))
}

// unsettledFor returns how long other requests that were in flight in the latest crash may still be
// unknown to this node.
func (e *entry) unsettledFor(now boottime.Instant) time.Duration {
	if !slices.ContainsFunc(e.record.SuspectedVariants, func(s SuspectedVariant) bool { return len(s.Failures) > 0 }) {
		return 0
	}
	return max(e.lastFailure.Add(settleDelay).Sub(now), 0)
}

// doubledTerm returns the first term doubled the given number of times, up to maxTerm.
func doubledTerm(first time.Duration, doublings int) time.Duration {
	term := first
	for range doublings {
		if term >= maxTerm {
			return max(first, maxTerm)
		}
		term *= 2
	}
	return term
}

// trialDelay returns how long no trial of the variant may start because another one has just crashed
// a server. Failed trials that are not attributed to the request cause no delay. Once some variant was
// answered, only trials of the variant itself count.
func (e *entry) trialDelay(variant Variant, against evidence, now boottime.Instant) time.Duration {
	failed := against.trials()
	if e.record.SomeAnswered {
		failed = against.variantTrials(variant)
	}
	if failed == 0 || against.quarantined() {
		return 0
	}
	return max(e.lastFailure.Add(trialPause).Sub(now), 0)
}

// replaceRecord replaces the record by the version in the store. New trials and renewals count as seen now.
func (e *entry) replaceRecord(record Record, now boottime.Instant) {
	record = record.clone()
	for index := range record.Trials {
		t := &record.Trials[index]
		t.seenAt = now
		if previous := e.record.findTrial(*t); previous != nil && previous.Renewal == t.Renewal {
			t.seenAt = previous.seenAt
		}
	}
	e.record = record
}

// recentlyWritten reports whether this node wrote the record so recently that other data
// from the store may be older.
func (e *entry) recentlyWritten(now boottime.Instant) bool {
	return e.writtenAt > 0 && now.Sub(e.writtenAt) < writeGrace
}

// retention returns how long the record is kept without changes.
func (e *entry) retention(term time.Duration, against evidence) time.Duration {
	if against.quarantined() {
		return doubledTerm(term, against.trials()-minFailedTrials) + quarantineRetention
	}
	return suspectRetention
}

// notify wakes up the requests that wait for the record to change.
func (e *entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}
