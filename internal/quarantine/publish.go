package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
)

// spawn runs a task in the background; its context is canceled when Run returns.
func (m *Manager) spawn(task func(ctx context.Context)) {
	go task(m.context)
}

// write writes the record to the store once.
func (m *Manager) write(ctx context.Context, record Record) (Record, error) {
	if !m.writes.Allow() {
		return record, errRateLimited
	}
	if record.Revision == 0 {
		// Trials of other nodes are left to these nodes to write: they may have ended.
		record.dropTrials(func(t Trial) bool { return t.Node != m.Node })
	}
	written := record
	err := m.callStore(ctx, Notice{Record: record}, func(ctx context.Context) (err error) {
		written, err = m.Store.WriteRecord(ctx, record)
		return err
	})
	return written, err
}

// remove removes a record from the store.
func (m *Manager) remove(ctx context.Context, digest Digest) error {
	return m.callStore(ctx, Notice{Record: Record{Digest: digest}, Cleared: true}, func(ctx context.Context) error {
		return m.Store.RemoveRecord(ctx, digest)
	})
}

// callStore makes one call to the store, and broadcasts the notice if the call fails or the store
// does not answer within broadcastDelay.
func (m *Manager) callStore(ctx context.Context, notice Notice, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	timer := time.AfterFunc(broadcastDelay, func() { m.broadcast(notice) })
	err := call(ctx)
	pending := timer.Stop()
	m.Observer.RecordWritten(err)
	failed := err != nil && !errors.Is(err, ErrConflict)
	m.locked(func(now boottime.Instant) {
		m.storeFailedAt = 0
		if failed {
			m.storeFailedAt = now
		}
	})
	if failed && pending {
		m.broadcast(notice)
	}
	return err
}

// errStoreDown means that a recent write to the store has failed.
var errStoreDown = errors.New("the store does not answer")

// writeUnlessDown is like write, but if a write has failed recently it only notifies other nodes.
func (m *Manager) writeUnlessDown(ctx context.Context, record Record) (Record, error) {
	m.mutex.Lock()
	down := m.storeFailedAt > 0 && m.Now().Sub(m.storeFailedAt) < storeBackoff
	m.mutex.Unlock()
	if down {
		m.broadcast(Notice{Record: record})
		return record, errStoreDown
	}
	return m.write(ctx, record)
}

// logWriteError logs a failed write; the record is written later or expires.
func (m *Manager) logWriteError(digest Digest, err error) {
	if err != nil {
		klog.InfoS("record not written", "digest", digest, "cause", err.Error())
	}
}

// publish writes the records that are due.
func (m *Manager) publish() {
	var due []Record
	m.locked(func(now boottime.Instant) {
		due = m.records.Due(now)
		for _, record := range due {
			m.records.Postpone(record.Digest, now.Add(publishRetryDelay))
		}
	})
	for _, record := range due {
		m.spawn(func(ctx context.Context) {
			m.update(ctx, record.Digest, func(boottime.Instant) (Record, bool) { return m.records.Record(record.Digest) })
		})
	}
}

// publishAnswer writes to the store that a service has answered a request.
func (m *Manager) publishAnswer(ctx context.Context, digest Digest, variant Variant, service string) {
	found := false
	m.locked(func(boottime.Instant) { _, found = m.records.Record(digest) })
	if !found {
		m.logWriteError(digest, m.remove(ctx, digest))
		return
	}
	m.update(ctx, digest, func(now boottime.Instant) (Record, bool) {
		m.records.RequestAnswered(digest, variant, service, now)
		return m.records.Record(digest)
	})
}

// update applies a change to a record and writes the result. If another node has written the
// record meanwhile, it applies that version and the change again.
func (m *Manager) update(ctx context.Context, digest Digest, change func(now boottime.Instant) (Record, bool)) {
	for range maxWriteAttempts {
		var record Record
		var found bool
		m.locked(func(now boottime.Instant) { record, found = change(now) })
		if !found {
			return
		}
		written, err := m.write(ctx, record)
		switch {
		case err == nil:
			m.locked(func(now boottime.Instant) { m.records.Written(written, now) })
			return
		case !errors.Is(err, ErrConflict):
			m.logWriteError(digest, err)
			return
		}
		m.locked(func(now boottime.Instant) { m.applyConflict(digest, written, now) })
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(conflictBackoff)):
		}
	}
	m.logWriteError(digest, ErrConflict)
}

// applyConflict applies the version of a record that another node has written.
func (m *Manager) applyConflict(digest Digest, record Record, now boottime.Instant) {
	if record.Revision == 0 {
		m.records.Release(digest, now)
		return
	}
	m.records.ApplyStored(record, now)
}

// logQuarantined logs which requests are refused from now on, and which no longer because their
// crashes are explained by other requests.
func (m *Manager) logQuarantined() {
	var begun, ended []Record
	m.locked(func(now boottime.Instant) { begun, ended = m.records.QuarantineChanges(now) })
	for _, record := range begun {
		klog.InfoS("request quarantined", "digest", record.Digest, "services", record.ServiceNames(),
			"servers", record.CrashedServers(), "failed_trials", record.FailedTrials())
	}
	for _, record := range ended {
		klog.InfoS("request no longer quarantined", "digest", record.Digest, "services", record.ServiceNames(),
			"servers", record.CrashedServers(), "failed_trials", record.FailedTrials())
	}
}

// expire removes the records that have not changed for their retention.
func (m *Manager) expire() {
	var outdated []Record
	m.locked(func(now boottime.Instant) { outdated = m.records.Expire(now) })
	for _, record := range outdated {
		m.spawn(func(ctx context.Context) { m.logWriteError(record.Digest, m.remove(ctx, record.Digest)) })
	}
}

// Replace implements catalog.Sink. The store does not expire records, so a list after an outage lacks none.
func (m *Manager) Replace(records []Record, _ bool) {
	m.locked(func(now boottime.Instant) { m.records.Replace(records, now) })
}

// StoreRestored notes that the store was restored from a backup.
func (m *Manager) StoreRestored() {
	if m != nil {
		m.locked(func(boottime.Instant) { m.records.StoreRestored() })
	}
}

// ReplaceRestored implements catalog.RestoredSink.
func (m *Manager) ReplaceRestored(records []Record) {
	var returned []Digest
	var due int
	m.locked(func(now boottime.Instant) {
		returned = m.records.ReplaceRestored(records, now)
		due = m.records.unpublished()
	})
	klog.InfoS("records of a restored store", "count", len(records), "unwritten", due, "returned", len(returned))
	for _, digest := range returned {
		m.spawn(func(ctx context.Context) { m.logWriteError(digest, m.remove(ctx, digest)) })
	}
}

// Resumed implements catalog.Sink.
func (m *Manager) Resumed() {}

// Apply implements catalog.Sink.
func (m *Manager) Apply(change catalog.Change[Record]) {
	if !change.Removed {
		m.locked(func(now boottime.Instant) { m.records.ApplyStored(change.Value, now) })
		return
	}
	digest, err := ParseDigest(change.Name)
	if err != nil {
		klog.InfoS("record removed that is none", "name", change.Name)
		return
	}
	m.locked(func(now boottime.Instant) { m.records.StoreRemoved(digest, now) })
}
