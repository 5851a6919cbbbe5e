package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/driftstage/driftstage/internal/boottime"
)

const (
	// rewriteDelay plus a random part of rewriteJitter is how long a record that is missing from a
	// restored store is left to the node that last wrote it.
	rewriteDelay  = 2 * time.Second
	rewriteJitter = 4 * time.Second
)

// StoreRestored notes that the store was restored from a backup: permissions for trials that it
// granted before that are void.
func (r *recordTable) StoreRestored() {
	for _, e := range r.entries {
		if len(e.record.Trials) > 0 {
			e.record.Trials = nil
			e.notify()
		}
	}
}

// ReplaceRestored applies the list of all records of a store that was restored from a backup. Other known
// records are kept and written again. It returns the digests of removed records that the backup has
// brought back and that have to be removed again.
func (r *recordTable) ReplaceRestored(records []Record, now boottime.Instant) (returned []Digest) {
	listed := make(map[Digest]bool, len(records))
	for _, record := range records {
		listed[record.Digest] = true
		_, removed := r.removed[record.Digest]
		switch e := r.entries[record.Digest]; {
		case e != nil:
			e.mergeRestored(record, now)
		case removed:
			returned = append(returned, record.Digest)
		default:
			record.Trials = nil
			r.ApplyStored(record, now)
		}
	}
	for digest, e := range r.entries {
		switch {
		case listed[digest] || e.record.Revision == 0:
		case e.record.isLock():
			r.remove(digest)
		default:
			e.record.Revision, e.record.Trials = 0, nil
			e.publishAt = e.rewriteAt(now)
		}
	}
	return returned
}

// mergeRestored replaces the record by its version in the restored store, and merges what was known before.
func (e *entry) mergeRestored(record Record, now boottime.Instant) {
	before := e.record
	e.record = record.clone()
	e.record.Trials = nil
	if e.record.merge(before) {
		e.publishAt = e.rewriteAt(now)
	}
	e.notify()
}

// rewriteAt returns when a record that is missing from a restored store is written again.
func (e *entry) rewriteAt(now boottime.Instant) boottime.Instant {
	if e.writtenAt > 0 {
		return now
	}
	return now.Add(rewriteDelay + rand.N(rewriteJitter))
}

// unpublished returns the number of records that have to be written.
func (r *recordTable) unpublished() int {
	count := 0
	for _, e := range r.entries {
		if e.publishAt > 0 {
			count++
		}
	}
	return count
}
