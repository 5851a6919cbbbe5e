package quarantine

import (
	"crypto/sha256"
	"math/rand/v2"
	"time"

	"github.com/driftstage/driftstage/internal/boottime"
)

// The lock of a service excludes trials of other nodes there, of all requests of which a trial has
// failed before: a crash during the trial is then not caused by one of them. It is a record without
// services and variants, of which the holder is the only trial.
//
// The node that holds it makes its next trials, too. Requests of which a single trial has failed, in a
// crash that is attributed to another request, are tried together: most of them are harmless, and
// there may be many of them. All others are tried alone.

const (
	// lockLease is how long a trial holds the lock of its service at most. It is not renewed: the
	// server of a trial may be silent, and the node may have died.
	lockLease = 1500 * time.Millisecond
	// maxLockBackoff bounds the random wait between the release of a lock and the next attempt to take
	// it, so that not all nodes write at once.
	maxLockBackoff = 100 * time.Millisecond
)

// lockDigest returns the name of the record that is the lock of a service.
func lockDigest(service string) Digest {
	hash := sha256.Sum256([]byte("lock of service " + service))
	return Digest(hash[:len(Digest{})])
}

// isLock reports whether the record is the lock of a service.
func (r Record) isLock() bool { return len(r.SuspectedServices) == 0 && len(r.SuspectedVariants) == 0 }

// lockHolder returns the trial that holds the lock; the zero value if it is free. If several
// nodes took it without the store, that is the one with the lowest number, which is random.
func (r Record) lockHolder(now boottime.Instant) Trial {
	var holder Trial
	for _, t := range r.Trials {
		if now.Sub(t.seenAt) < lockLease && (holder.isZero() || t.Number < holder.Number) {
			holder = t
		}
	}
	return holder
}

// lockBackoff returns the wait before the next attempt to take a lock.
func lockBackoff() time.Duration { return 1 + rand.N(maxLockBackoff) }

// LockDecision returns whether the lock of the service may be taken: Try, or Await while it is held. Until
// is set in both cases, for an attempt that fails.
func (r *recordTable) LockDecision(service string, now boottime.Instant) Decision {
	decision := Decision{Action: Try, Until: lockBackoff()}
	e := r.entries[lockDigest(service)]
	if e == nil {
		return decision
	}
	if holder := e.record.lockHolder(now); !holder.isZero() {
		decision.Action, decision.Changed, decision.Until = Await, e.changed, holder.seenAt.Add(lockLease).Sub(now)
	}
	return decision
}

// TakeLock makes the trial the holder of the service's lock on this node. It returns the record to
// be written; false if the lock is held.
func (r *recordTable) TakeLock(service string, trial Trial, now boottime.Instant) (Record, bool) {
	digest := lockDigest(service)
	e := r.entries[digest]
	if e == nil {
		if !r.makeRoom() {
			return Record{}, false
		}
		e = r.put(Record{Digest: digest})
	}
	if !e.record.lockHolder(now).isZero() {
		return Record{}, false
	}
	trial.seenAt = now
	e.record.Trials = []Trial{trial}
	e.lastChange = now
	e.notify()
	return e.record.clone(), true
}

// HoldsLock reports whether the trial holds the lock of the service.
func (r *recordTable) HoldsLock(service string, trial Trial, now boottime.Instant) bool {
	e := r.entries[lockDigest(service)]
	return e != nil && e.record.lockHolder(now).sameAs(trial)
}

// NotifyLock wakes up the requests that wait for the lock of the service.
func (r *recordTable) NotifyLock(service string) {
	if e := r.entries[lockDigest(service)]; e != nil {
		e.notify()
	}
}
