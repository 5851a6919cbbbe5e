package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
)

const (
	// trialLease is how long a trial excludes others without being renewed: its node may have
	// died, and harmless requests wait for the result. Most trials take as long as an answer;
	// one whose server stays silent is renewed every trialRenewInterval.
	trialLease         = 2 * time.Second
	trialRenewInterval = 700 * time.Millisecond
	// trialPause is the minimum time between a trial that crashed a server and the next one:
	// servers that crash together for another reason do so within about a second.
	trialPause = time.Second
	// settleDelay is how long after a failed trial it is not yet attributed to its request: the
	// records of others that were in flight on the server arrive within that time.
	settleDelay = 500 * time.Millisecond
	// publishDelay is how long a suspicion stays local: a request that was lost when its
	// server crashed is usually answered by the next server within that time.
	publishDelay = 100 * time.Millisecond
	// urgentPublishDelay replaces publishDelay once minCrashedServers have crashed: the request
	// must not reach more servers, and its client may retry within publishDelay.
	urgentPublishDelay = 10 * time.Millisecond
	// publishRetryDelay is the delay after a failed write.
	publishRetryDelay = time.Second
	// maxTerm bounds the terms of a quarantine, which double.
	maxTerm = time.Hour
	// suspectRetention is how long a suspicion is kept without changes, quarantineRetention how
	// long a quarantined request is remembered after its term, so that the next term is longer.
	suspectRetention    = 2 * time.Minute
	quarantineRetention = 10 * time.Minute
	// maxRecords bounds the memory of the records of a node to 1 MB.
	maxRecords = 512
	// writeGrace is how long after a write of this node a list from the store may predate it.
	writeGrace = 3 * time.Second
)

// recordTable holds the records that a node knows and decides on requests by them. It does no
// I/O and reads no clock.
type recordTable struct {
	// term is the first term of a quarantine.
	term    time.Duration
	entries map[Digest]*entry
	// prefixes counts the entries by the prefix of their digest.
	prefixes map[prefix]int
	// removed holds tombstones: when records were removed from the store.
	removed map[Digest]boottime.Instant
}

// newRecordTable returns an empty table.
func newRecordTable(term time.Duration) recordTable {
	return recordTable{
		term:     term,
		entries:  make(map[Digest]*entry),
		prefixes: make(map[prefix]int),
		removed:  make(map[Digest]boottime.Instant),
	}
}

// MayContain reports whether there may be a record of the request, without hashing its body.
func (r *recordTable) MayContain(identity *Identity) bool { return r.prefixes[identity.prefix()] > 0 }

// Count returns the number of records.
func (r *recordTable) Count() int { return len(r.entries) }

// AddLoss records a lost attempt whose server has crashed. It reports whether the record changed.
func (r *recordTable) AddLoss(loss Loss, now boottime.Instant) bool {
	e := r.entries[loss.Digest]
	if e == nil {
		if !r.makeRoom() {
			return false
		}
		e = r.put(Record{Digest: loss.Digest})
	}
	e.crashedLocally = true
	variantChanged := e.record.addVariant(loss.Variant, 0)
	variantChanged = e.record.addVariantServer(loss.Variant, loss.Server) || variantChanged
	if !e.record.addServer(loss.Service, loss.Server) && !variantChanged {
		return false
	}
	e.lastChange = now
	after := publishDelay
	if e.record.CrashedServers() >= minCrashedServers {
		after = urgentPublishDelay
	}
	if due := now.Add(after); e.publishAt == 0 || due < e.publishAt {
		e.publishAt = due
	}
	e.notify()
	return true
}

// makeRoom evicts an entry if the table is full: of those without failed or active trials, the
// one that has not changed for the longest time. It reports whether there is room.
func (r *recordTable) makeRoom() bool {
	if len(r.entries) < maxRecords {
		return true
	}
	var oldest *entry
	for _, e := range r.entries {
		if e.record.FailedTrials() == 0 && len(e.record.Trials) == 0 && (oldest == nil || e.lastChange < oldest.lastChange) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	r.remove(oldest.record.Digest)
	return true
}

// RequestAnswered notes that the service has answered the request. It reports whether the change has
// to be written to the store.
func (r *recordTable) RequestAnswered(digest Digest, variant Variant, service string, now boottime.Instant) bool {
	e := r.entries[digest]
	if e == nil || !e.record.markAnswered(variant, service) {
		return false
	}
	r.changed(e, now)
	return e.record.Revision > 0
}

// TrialAnswered notes that a trial of the request was answered.
func (r *recordTable) TrialAnswered(digest Digest, variant Variant, now boottime.Instant) {
	if e := r.entries[digest]; e != nil {
		e.record.clearVariant(variant)
		r.changed(e, now)
	}
}

// changed notifies the requests that wait for the record, and drops it if nothing is suspected any more.
func (r *recordTable) changed(e *entry, now boottime.Instant) {
	e.lastChange = now
	e.notify()
	if e.record.empty() {
		r.remove(e.record.Digest)
	}
}

// Release drops the record of the request. It returns the record that has to be removed from
// the store, and whether there was one.
func (r *recordTable) Release(digest Digest, now boottime.Instant) (Record, bool) {
	r.removed[digest] = now
	e := r.entries[digest]
	if e == nil {
		return Record{}, false
	}
	r.remove(digest)
	return e.record, true
}

// ApplyStored applies a record of the store. Unpublished findings of this node are merged into it.
func (r *recordTable) ApplyStored(record Record, now boottime.Instant) {
	e := r.entries[record.Digest]
	if e == nil {
		if !r.makeRoom() {
			return
		}
		e = r.put(Record{Digest: record.Digest})
		e.replaceRecord(record, now)
		e.lastChange, e.lastFailure = now, now
		return
	}
	if record.Revision <= e.record.Revision {
		return
	}
	if record.FailedTrials() > e.record.FailedTrials() {
		e.lastFailure = now
	}
	before := e.record
	e.replaceRecord(record, now)
	if e.publishAt > 0 && !e.record.merge(before) {
		e.publishAt = 0
	}
	e.lastChange = now
	e.notify()
}

// Written notes that this node has written the record.
func (r *recordTable) Written(record Record, now boottime.Instant) {
	r.ApplyStored(record, now)
	if e := r.entries[record.Digest]; e != nil {
		e.writtenAt = now
	}
}

// StoreRemoved notes that the record was removed from the store: it was cleared or released. Findings of this
// node that were not written yet and are younger than publishRetryDelay may be newer, and are kept.
func (r *recordTable) StoreRemoved(digest Digest, now boottime.Instant) {
	r.removed[digest] = now
	e := r.entries[digest]
	switch {
	case e == nil:
	case e.record.Revision == 0 && e.crashedLocally && now.Sub(e.lastChange) < publishRetryDelay:
		e.record.Trials = nil
		e.notify()
	default:
		r.remove(digest)
	}
}

// Replace applies a list of all records in the store.
func (r *recordTable) Replace(records []Record, now boottime.Instant) {
	listed := make(map[Digest]bool, len(records))
	for _, record := range records {
		listed[record.Digest] = true
		r.ApplyStored(record, now)
	}
	for digest, e := range r.entries {
		if !listed[digest] && e.record.Revision > 0 && !e.recentlyWritten(now) {
			r.StoreRemoved(digest, now)
		}
	}
}

// QuarantineChanges returns the records of the requests whose quarantine has begun since the last call, and
// of those whose crashes are no longer attributed to them.
func (r *recordTable) QuarantineChanges(now boottime.Instant) (begun, ended []Record) {
	for _, e := range r.entries {
		if e.record.FailedTrials() == 0 && !e.quarantineLogged {
			continue
		}
		quarantined := r.evidenceOf(&e.record).quarantined() && (e.quarantineLogged || e.unsettledFor(now) == 0)
		switch {
		case quarantined && !e.quarantineLogged:
			begun = append(begun, e.record.clone())
		case !quarantined && e.quarantineLogged:
			ended = append(ended, e.record.clone())
		}
		e.quarantineLogged = quarantined
	}
	return begun, ended
}

// Due returns the records that have to be written to the store now.
func (r *recordTable) Due(now boottime.Instant) []Record {
	var due []Record
	for _, e := range r.entries {
		if e.publishAt > 0 && now >= e.publishAt {
			due = append(due, e.record.clone())
		}
	}
	return due
}

// Postpone delays the write of a record that is still to be written.
func (r *recordTable) Postpone(digest Digest, until boottime.Instant) {
	if e := r.entries[digest]; e != nil && e.publishAt > 0 {
		e.publishAt = until
	}
}

// Expire drops the records that have not changed for their retention and returns those that
// have to be removed from the store. The node that last wrote a record removes it; others do so
// later, in case that node is gone.
func (r *recordTable) Expire(now boottime.Instant) []Record {
	var outdated []Record
	for digest, removed := range r.removed {
		if now.Sub(removed) > catalog.MaxBackupAge {
			delete(r.removed, digest)
		}
	}
	for digest, e := range r.entries {
		age, retention := now.Sub(e.lastChange), e.retention(r.term, r.evidenceOf(&e.record))
		ownRecord := e.writtenAt > 0 || e.record.Revision == 0
		if age < retention || !ownRecord && age < 2*retention+rand.N(retention) {
			continue
		}
		r.remove(digest)
		if e.record.Revision > 0 {
			r.removed[digest] = now
			outdated = append(outdated, e.record)
		}
	}
	return outdated
}

// Records returns all records, including those that are not stored yet.
func (r *recordTable) Records() []Record {
	records := make([]Record, 0, len(r.entries))
	for _, e := range r.entries {
		records = append(records, e.record.clone())
	}
	return records
}

func (r *recordTable) put(record Record) *entry {
	added := &entry{record: record, changed: make(chan struct{})}
	r.entries[record.Digest] = added
	r.prefixes[record.Digest.prefix()]++
	return added
}

func (r *recordTable) remove(digest Digest) {
	e := r.entries[digest]
	if e == nil {
		return
	}
	delete(r.entries, digest)
	if r.prefixes[digest.prefix()]--; r.prefixes[digest.prefix()] == 0 {
		delete(r.prefixes, digest.prefix())
	}
	e.notify()
}

// Record returns the record of a request, and whether there is one.
func (r *recordTable) Record(digest Digest) (Record, bool) {
	e := r.entries[digest]
	if e == nil {
		return Record{}, false
	}
	return e.record.clone(), true
}
