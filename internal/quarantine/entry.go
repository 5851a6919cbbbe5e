package quarantine

import (
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
	// changed is closed when the record changes.
	changed chan struct{}
}

// releaseAt returns when the term of a quarantined variant is over.
func (e *entry) releaseAt(term time.Duration) boottime.Instant {
	return e.lastFailure.Add(doubledTerm(term, e.record.FailedTrials()-minFailedTrials))
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
// a server. Once some variant was answered, only failed trials of the variant itself count.
func (e *entry) trialDelay(variant Variant, now boottime.Instant) time.Duration {
	failed := e.record.FailedTrials()
	if e.record.SomeAnswered {
		failed = e.record.failedTrials(variant)
	}
	if failed == 0 || e.record.Quarantined() {
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
func (e *entry) retention(term time.Duration) time.Duration {
	if e.record.Quarantined() {
		return doubledTerm(term, e.record.FailedTrials()-minFailedTrials) + quarantineRetention
	}
	return suspectRetention
}

// notify wakes up the requests that wait for the record to change.
func (e *entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}
