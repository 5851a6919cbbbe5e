package quarantine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/boottime"
)

const (
	// lockNoticeDelay is how long a node that cannot write the lock to the store waits for notices of
	// others that take it at the same time.
	lockNoticeDelay = 150 * time.Millisecond
	// maxLockReuse bounds how long after taking a lock a node uses it for further trials, and
	// lockReuseDelay how long it waits for the next one before it releases the lock.
	maxLockReuse   = time.Second
	lockReuseDelay = 5 * time.Millisecond
)

// neededLock is the lock that a trial needs; the zero value is none.
type neededLock struct {
	service string
	// alone is set if no other trial may use the lock at the same time.
	alone bool
}

// heldLock is a lock that this node holds. It is guarded by the manager's lock.
type heldLock struct {
	neededLock
	// holder is the trial by which the other nodes know that the lock is held.
	holder  Trial
	takenAt boottime.Instant
	// granted is set once the store has granted the lock, or no other node has taken it without the store.
	granted bool
	// users is the number of trials that use the lock, released is set once there will be none.
	users    int
	released bool
	// announced is set if other nodes learned of the holder from a notice.
	announced bool
}

// lockDecision returns whether a trial may take the lock now.
func (m *Manager) lockDecision(needed neededLock) Decision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.Now()
	decision := m.records.LockDecision(needed.service, now)
	if held := m.locks[needed.service]; held.usableFor(needed, now) {
		decision.Action, decision.Until = Try, lockBackoff()
	}
	return decision
}

// usableFor reports whether another trial of this node may use the lock. A nil lock is not held.
func (l *heldLock) usableFor(needed neededLock, now boottime.Instant) bool {
	if l == nil || !l.granted || now.Sub(l.takenAt) >= maxLockReuse {
		return false
	}
	return l.users == 0 || !l.alone && !needed.alone
}

// awaitLock waits until the lock may be free, and then for a random time unless this node holds it. It
// returns false on timeout.
func (m *Manager) awaitLock(ctx context.Context, needed neededLock, held Decision, expired <-chan time.Time) bool {
	if !await(ctx, held, expired) {
		return false
	}
	reusable, backoff := false, Decision{Until: lockBackoff()}
	m.locked(func(now boottime.Instant) {
		reusable = m.locks[needed.service].usableFor(needed, now)
		if e := m.records.entries[lockDigest(needed.service)]; e != nil {
			backoff.Changed = e.changed
		}
	})
	return reusable || await(ctx, backoff, expired)
}

// acquireLock takes the lock for a trial. It returns ErrConflict if another trial holds it, or if this
// node makes a trial of the same request.
func (m *Manager) acquireLock(ctx context.Context, needed neededLock, digest Digest, t Trial) (*heldLock, error) {
	held, record, free := m.reserveLock(needed, digest, t)
	if !free {
		return nil, ErrConflict
	}
	if record.Digest == (Digest{}) {
		return held, nil
	}
	written, err := m.requestPermission(ctx, record, t)
	switch {
	case err == nil:
		m.locked(func(now boottime.Instant) {
			held.granted = true
			m.records.Written(written, now)
		})
		return held, nil
	case errors.Is(err, ErrConflict), errors.Is(err, errRateLimited):
		m.locked(func(now boottime.Instant) {
			m.forgetLock(held)
			m.records.EndTrial(record.Digest, t, 0, now)
			if errors.Is(err, ErrConflict) {
				m.applyConflict(record.Digest, written, now)
			}
		})
		return nil, err
	}
	return m.awaitNotices(ctx, held)
}

// reserveLock takes the lock on this node. The record has to be written; it is zero if this node holds
// the lock already.
func (m *Manager) reserveLock(needed neededLock, digest Digest, t Trial) (held *heldLock, record Record, free bool) {
	m.locked(func(now boottime.Instant) {
		held = m.locks[needed.service]
		switch {
		case m.trials[trialKey{digest, t.Variant}] != nil:
		case held.usableFor(needed, now) && m.records.HoldsLock(needed.service, held.holder, now):
			held.users++
			held.alone, free = needed.alone, true
		default:
			if record, free = m.records.TakeLock(needed.service, t, now); free {
				held = &heldLock{neededLock: needed, holder: t, takenAt: now, users: 1}
				m.locks[needed.service] = held
			}
		}
	})
	return held, record, free
}

// awaitNotices waits until other nodes that have taken the lock without the store are known. It returns
// ErrConflict if one of them holds it.
func (m *Manager) awaitNotices(ctx context.Context, held *heldLock) (*heldLock, error) {
	select {
	case <-time.After(lockNoticeDelay):
	case <-ctx.Done():
	}
	m.locked(func(now boottime.Instant) {
		held.announced = true
		held.granted = m.records.HoldsLock(held.service, held.holder, now)
		if !held.granted {
			m.releaseLock(held)
		}
	})
	if !held.granted {
		return nil, ErrConflict
	}
	return held, nil
}

// releaseLock ends the use of a lock by a trial; nil is no lock. Unless another trial of this node uses
// the lock at once, it is released for the other nodes. The manager's lock is held.
func (m *Manager) releaseLock(held *heldLock) {
	if held == nil {
		return
	}
	held.users--
	m.records.NotifyLock(held.service)
	m.spawn(func(ctx context.Context) {
		select {
		case <-time.After(lockReuseDelay):
		case <-ctx.Done():
		}
		idle := false
		m.locked(func(boottime.Instant) {
			idle = held.users == 0 && !held.released
			if idle {
				m.forgetLock(held)
			}
		})
		if idle {
			m.publishRelease(ctx, held)
		}
	})
}

// forgetLock notes that this node no longer uses the lock. Meanwhile it may have taken it once more. The
// manager's lock is held.
func (m *Manager) forgetLock(held *heldLock) {
	held.released = true
	if m.locks[held.service] == held {
		delete(m.locks, held.service)
	}
}

// publishRelease tells the other nodes that the lock is free.
func (m *Manager) publishRelease(ctx context.Context, held *heldLock) {
	digest := lockDigest(held.service)
	m.update(ctx, digest, func(now boottime.Instant) (Record, bool) {
		record, found := m.records.Record(digest)
		if !found || record.findTrial(held.holder) == nil {
			return Record{}, false
		}
		return m.records.EndTrial(digest, held.holder, 0, now)
	})
	if held.announced {
		m.broadcast(Notice{Record: Record{Digest: digest}})
	}
}
