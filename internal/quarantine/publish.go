package quarantine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
)

// spawn runs a task in the background; its context is canceled when Run returns.
func (k *Manager) spawn(task func(ctx context.Context)) {
	go task(k.context)
}

// write writes the record to the store once.
func (k *Manager) write(ctx context.Context, record Record) (Record, error) {
	if !k.writes.Allow() {
		return record, errRateLimited
	}
	if record.Revision == 0 {
		// Trials of other nodes are left to these nodes to write: they may have ended.
		record.dropTrials(func(t Trial) bool { return t.Node != k.Node })
	}
	written := record
	err := k.callStore(ctx, Notice{Record: record}, func(ctx context.Context) (err error) {
		written, err = k.Store.Write(ctx, record)
		return err
	})
	return written, err
}

// remove removes a record from the store.
func (k *Manager) remove(ctx context.Context, digest Digest) error {
	return k.callStore(ctx, Notice{Record: Record{Digest: digest}, Cleared: true}, func(ctx context.Context) error {
		return k.Store.Remove(ctx, digest)
	})
}

// callStore makes one call to the store, and broadcasts the notice if the call fails or the store
// does not answer within broadcastDelay.
func (k *Manager) callStore(ctx context.Context, notice Notice, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	timer := time.AfterFunc(broadcastDelay, func() { k.broadcast(notice) })
	err := call(ctx)
	pending := timer.Stop()
	k.Observer.RecordWritten(err)
	failed := err != nil && !errors.Is(err, ErrConflict)
	k.locked(func(now boottime.Instant) {
		k.storeFailedAt = 0
		if failed {
			k.storeFailedAt = now
		}
	})
	if failed && pending {
		k.broadcast(notice)
	}
	return err
}

// errStoreDown means that a recent write to the store has failed.
var errStoreDown = errors.New("the store does not answer")

// writeUnlessDown is like write, but if a write has failed recently it only notifies other nodes.
func (k *Manager) writeUnlessDown(ctx context.Context, record Record) (Record, error) {
	k.mutex.Lock()
	down := k.storeFailedAt > 0 && k.Now().Sub(k.storeFailedAt) < storeBackoff
	k.mutex.Unlock()
	if down {
		k.broadcast(Notice{Record: record})
		return record, errStoreDown
	}
	return k.write(ctx, record)
}

// logWriteError logs a failed write; the record is written later or expires.
func (k *Manager) logWriteError(digest Digest, err error) {
	if err != nil {
		klog.InfoS("record not written", "digest", digest, "cause", err.Error())
	}
}

// publish writes the records that are due.
func (k *Manager) publish() {
	var due []Record
	k.locked(func(now boottime.Instant) {
		due = k.register.Due(now)
		for _, record := range due {
			k.register.Postpone(record.Digest, now.Add(publishRetryDelay))
		}
	})
	for _, record := range due {
		k.spawn(func(ctx context.Context) {
			k.update(ctx, record.Digest, func(boottime.Instant) (Record, bool) { return k.register.Record(record.Digest) })
		})
	}
}

// publishAnswer writes to the store that a service has answered a request.
func (k *Manager) publishAnswer(ctx context.Context, digest Digest, variant Variant, service string) {
	found := false
	k.locked(func(boottime.Instant) { _, found = k.register.Record(digest) })
	if !found {
		k.logWriteError(digest, k.remove(ctx, digest))
		return
	}
	k.update(ctx, digest, func(now boottime.Instant) (Record, bool) {
		k.register.RequestAnswered(digest, variant, service, now)
		return k.register.Record(digest)
	})
}

// update applies a change to a record and writes the result. If another node has written the
// record meanwhile, it applies that version and the change again.
func (k *Manager) update(ctx context.Context, digest Digest, change func(now boottime.Instant) (Record, bool)) {
	for range maxWriteAttempts {
		var record Record
		var found bool
		k.locked(func(now boottime.Instant) { record, found = change(now) })
		if !found {
			return
		}
		written, err := k.write(ctx, record)
		if err != nil && !errors.Is(err, ErrConflict) {
			k.logWriteError(digest, err)
			return
		}
		k.locked(func(now boottime.Instant) {
			if err == nil {
				k.register.Written(written, now)
			} else {
				k.applyConflict(digest, written, now)
			}
		})
		if err == nil {
			logQuarantined(written)
			return
		}
	}
	k.logWriteError(digest, ErrConflict)
}

// applyConflict applies the version of a record that another node has written.
func (k *Manager) applyConflict(digest Digest, record Record, now boottime.Instant) {
	if record.Revision == 0 {
		k.register.Release(digest, now)
		return
	}
	k.register.ApplyStored(record, now)
}

// logQuarantined logs that a request is refused from now on.
func logQuarantined(record Record) {
	if record.Quarantined() {
		klog.InfoS("request quarantined", "digest", record.Digest, "services", record.ServiceNames(),
			"servers", record.CrashedServers(), "failed_trials", record.FailedTrials())
	}
}

// expire removes the records that have not changed for their retention.
func (k *Manager) expire() {
	var outdated []Record
	k.locked(func(now boottime.Instant) { outdated = k.register.Expire(now) })
	for _, record := range outdated {
		k.spawn(func(ctx context.Context) { k.logWriteError(record.Digest, k.remove(ctx, record.Digest)) })
	}
}

// Replace implements catalog.Sink. The store does not expire records, so a list after an outage lacks none.
func (k *Manager) Replace(records []Record, _ bool) {
	k.locked(func(now boottime.Instant) { k.register.Replace(records, now) })
}

// StoreRestored notes that the store was restored from a backup.
func (k *Manager) StoreRestored() {
	if k != nil {
		k.locked(func(boottime.Instant) { k.register.StoreRestored() })
	}
}

// ReplaceRestored implements catalog.RestoredSink.
func (k *Manager) ReplaceRestored(records []Record) {
	var returned []Digest
	var due int
	k.locked(func(now boottime.Instant) {
		returned = k.register.ReplaceRestored(records, now)
		due = k.register.unpublished()
	})
	klog.InfoS("records of a restored store", "count", len(records), "unwritten", due, "returned", len(returned))
	for _, digest := range returned {
		k.spawn(func(ctx context.Context) { k.logWriteError(digest, k.remove(ctx, digest)) })
	}
}

// Resumed implements catalog.Sink.
func (k *Manager) Resumed() {}

// Apply implements catalog.Sink.
func (k *Manager) Apply(change catalog.Change[Record]) {
	if !change.Removed {
		k.locked(func(now boottime.Instant) { k.register.ApplyStored(change.Value, now) })
		logQuarantined(change.Value)
		return
	}
	digest, err := ParseDigest(change.Name)
	if err != nil {
		klog.InfoS("record removed that is none", "name", change.Name)
		return
	}
	k.locked(func(now boottime.Instant) { k.register.StoreRemoved(digest, now) })
}
