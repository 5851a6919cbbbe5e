package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
)

// TrialResult is the result of a trial.
type TrialResult uint8

const (
	// TrialUnknown means that the trial reached no server, or that its server is neither known to
	// be alive nor to have crashed.
	TrialUnknown TrialResult = iota
	// TrialAnswered means that the server has answered.
	TrialAnswered
	// TrialFailed means that the server has crashed.
	TrialFailed
)

var trialResultNames = [...]string{"unknown", "answered", "failed"}

// String returns the name used in logs and metrics.
func (t TrialResult) String() string { return trialResultNames[t] }

// resolveTimeout bounds how long the result of a trial is waited for: the entry of a silent
// server is removed after three heartbeats.
const resolveTimeout = 6 * time.Second

// resolveBackoff is the initial delay between checks of the server of a trial; it doubles.
const resolveBackoff = 50 * time.Millisecond

// trialKey identifies a trial of this node, which makes at most one per key at a time.
type trialKey struct {
	digest  Digest
	variant Variant
}

// trial is a trial of this node. It is guarded by the manager's lock.
type trial struct {
	Trial
	// services are those that were suspected at the start; only events at these decide the result.
	services []string
	// lock is the lock of the service that the trial goes to; nil if it needs none.
	lock *heldLock
	// failed is the number of failed trials of the variant at the start. Concurrent trials of
	// nodes that could not reach the store count as one: servers that crash together for another
	// reason would fail all of them.
	failed int
	// loss is the lost attempt of the trial; nil if there is none.
	loss *Loss
	// announced is set if other nodes were notified of the trial besides the store.
	announced bool
}

// concerns reports whether events at a service decide the result of the trial. A nil trial
// concerns no service.
func (t *trial) concerns(service string) bool {
	return t != nil && slices.Contains(t.services, service)
}

// Admission is the decision on one request. The zero value permits everything.
type Admission struct {
	// Action is Proceed, Refuse or Try.
	Action Action
	// SuspectedServices are the suspected services that a trial goes to first.
	SuspectedServices []string
	// RetryAfter is when the client may retry a refused request.
	RetryAfter time.Duration
	// NoServer is set if the request is refused because the suspected services have no server
	// to try it on.
	NoServer bool

	manager  *Manager
	identity *Identity
	trial    Trial
	lock     *heldLock
}

// Admit decides on a request before anything of it is sent. If a trial of an identical request
// is active, it waits for the result, for maxWait at most. Usable reports whether one of the
// services has a server that can be tried.
func (m *Manager) Admit(ctx context.Context, identity *Identity, maxWait time.Duration, usable func(services []string) bool) Admission {
	admission := Admission{manager: m, identity: identity}
	if !m.mayBeSuspected(identity) {
		return admission
	}
	expired := time.NewTimer(min(maxWait, maxAwait))
	defer expired.Stop()
	for {
		decision, record := m.decide(identity)
		admission.Action, admission.RetryAfter = decision.Action, decision.RetryAfter
		switch decision.Action {
		case Proceed, Refuse:
			m.Observer.RequestDecided(admission.Action)
			return admission
		case Try:
			if !usable(record.ServiceNames()) {
				admission.Action, admission.NoServer = Refuse, true
				return admission
			}
			lock := m.neededLock(record, identity.Variant(), usable)
			if lock.service != "" {
				if decision = m.lockDecision(lock); decision.Action == Await {
					if !m.awaitLock(ctx, lock, decision, expired.C) {
						return m.refuseWaiting(admission, Await)
					}
					continue
				}
			}
			err := m.begin(ctx, &admission, lock)
			if err == nil {
				m.Observer.RequestDecided(Try)
				return admission
			}
			if errors.Is(err, errRateLimited) {
				return m.refuseWaiting(admission, Try)
			}
		}
		if !await(ctx, decision, expired.C) {
			return m.refuseWaiting(admission, decision.Action)
		}
	}
}

// neededLock returns the lock that a trial needs: that of the first suspected service with a server that
// can be tried, to which it is sent first, and which is the same on all nodes that reach the same servers.
func (m *Manager) neededLock(record Record, variant Variant, usable func(services []string) bool) neededLock {
	if !record.needsLock(variant) {
		return neededLock{}
	}
	for _, service := range record.ServiceNames() {
		if usable([]string{service}) {
			return neededLock{service: service, alone: m.triedAlone(record, variant)}
		}
	}
	return neededLock{}
}

// triedAlone reports whether no other trial may use the lock at the same time: more than one trial has
// failed, or one that is attributed to the request.
func (m *Manager) triedAlone(record Record, variant Variant) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return record.failedBefore(variant) > 1 || m.records.evidenceOf(&record).trials() > 0
}

// await waits until a decision may have changed. It returns false on timeout.
func await(ctx context.Context, decision Decision, expired <-chan time.Time) bool {
	var until <-chan time.Time
	if decision.Until > 0 {
		until = time.After(decision.Until)
	}
	select {
	case <-decision.Changed:
	case <-until:
	case <-expired:
		return false
	case <-ctx.Done():
		return false
	}
	return true
}

// refuseWaiting refuses a request whose wait for a trial was unsuccessful. last is the last decision on it:
// Try if the permission was not granted.
func (m *Manager) refuseWaiting(admission Admission, last Action) Admission {
	m.Observer.RequestDecided(Await)
	klog.InfoS("suspected request not tried", "digest", admission.identity.Digest(), "variant", admission.identity.Variant(), "last", last.String())
	admission.Action, admission.RetryAfter = Refuse, trialPause
	return admission
}

// mayBeSuspected reports whether there may be a record of the request.
func (m *Manager) mayBeSuspected(identity *Identity) bool {
	if m == nil || identity == nil || !m.hasRecords.Load() {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.records.MayContain(identity)
}

func (m *Manager) decide(identity *Identity) (Decision, Record) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record, _ := m.records.Record(identity.Digest())
	return m.records.Decide(identity.Digest(), identity.Variant(), m.Now()), record
}

// begin requests the permission for a trial from the store, which grants it to one node at a
// time. A node that cannot reach the store makes one trial at a time on its own. ErrConflict
// means that another node was first and its version of the record was applied.
//
// The lock that the trial needs, if any, is taken first.
func (m *Manager) begin(ctx context.Context, admission *Admission, lock neededLock) (err error) {
	t := &trial{Trial: Trial{Node: m.Node, Number: rand.Uint64() >> 12, Variant: admission.identity.Variant()}}
	if lock.service == "" {
		return m.beginTrial(ctx, admission, t)
	}
	t.lock, err = m.acquireLock(ctx, lock, admission.identity.Digest(), t.Trial)
	if err != nil {
		return err
	}
	err = m.beginTrial(ctx, admission, t)
	if err != nil {
		m.locked(func(boottime.Instant) { m.releaseLock(t.lock) })
	}
	return err
}

// beginTrial requests the permission for the trial of a request, see begin.
func (m *Manager) beginTrial(ctx context.Context, admission *Admission, t *trial) error {
	digest := admission.identity.Digest()
	record, free := m.reserve(digest, t)
	if !free {
		return ErrConflict
	}
	begun := m.Now()
	written, err := m.requestPermission(ctx, record, t.Trial)
	m.locked(func(now boottime.Instant) { t.announced = err != nil || now.Sub(begun) >= broadcastDelay })
	if errors.Is(err, ErrConflict) || errors.Is(err, errRateLimited) {
		m.locked(func(now boottime.Instant) {
			delete(m.trials, trialKey{digest, t.Variant})
			m.records.EndTrial(digest, t.Trial, 0, now)
			if errors.Is(err, ErrConflict) {
				m.applyConflict(digest, written, now)
			}
		})
		return err
	}
	if err == nil {
		m.locked(func(now boottime.Instant) { m.records.Written(written, now) })
	}
	admission.trial, admission.lock, admission.SuspectedServices = t.Trial, t.lock, t.services
	m.spawn(func(ctx context.Context) { m.renew(ctx, digest, t.Trial) })
	klog.InfoS("request trial", "digest", digest, "variant", t.Variant, "services", record.ServiceNames(), "failed", record.FailedTrials(), "asked_store", err == nil, "exclusive", t.lock != nil)
	return nil
}

// requestPermission writes a record with a trial of this node. A conflict with another write of this node
// that listed the trial as well is no error.
func (m *Manager) requestPermission(ctx context.Context, record Record, t Trial) (Record, error) {
	written, err := m.writeUnlessDown(ctx, record)
	if errors.Is(err, ErrConflict) && written.findTrial(t) != nil {
		return written, nil
	}
	return written, err
}

// renew renews the lease of a trial until the trial ends.
func (m *Manager) renew(ctx context.Context, digest Digest, t Trial) {
	ticker := time.NewTicker(trialRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !m.isActive(digest, t) {
			return
		}
		m.update(ctx, digest, func(now boottime.Instant) (Record, bool) { return m.records.RenewTrial(digest, t, now) })
	}
}

// isActive reports whether this node's trial has not ended yet.
func (m *Manager) isActive(digest Digest, t Trial) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := m.trials[trialKey{digest, t.Variant}]
	return current != nil && current.Trial == t
}

// reserve registers a trial of this node, which excludes further trials of the same request. It
// returns the record to be written.
func (m *Manager) reserve(digest Digest, t *trial) (record Record, free bool) {
	m.locked(func(now boottime.Instant) {
		key := trialKey{digest, t.Variant}
		if m.trials[key] != nil || !m.records.BeginTrial(digest, t.Trial, now) {
			return
		}
		record, free = m.records.Record(digest)
		t.failed, t.services = record.failedTrials(t.Variant), record.ServiceNames()
		m.trials[key] = t
	})
	return record, free
}

// MaySend reports whether the request may still be sent. It is called right before each send:
// the record may have changed while the request waited or the machine was suspended.
func (a *Admission) MaySend() bool {
	m := a.manager
	if !m.mayBeSuspected(a.identity) {
		return true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if a.lock != nil && !m.records.HoldsLock(a.lock.service, a.lock.holder, m.Now()) {
		return false
	}
	return m.records.MaySend(a.identity.Digest(), a.identity.Variant(), a.trial, m.Now())
}

// IsTrial reports whether the request is a trial.
func (a *Admission) IsTrial() bool { return !a.trial.isZero() }

// Close is called once nothing more of the request is sent. The result of a trial may become
// known after that.
func (a *Admission) Close() {
	if !a.IsTrial() {
		return
	}
	a.manager.spawn(func(ctx context.Context) { a.manager.resolve(ctx, a.identity.Digest(), a.trial) })
}

// resolve ends a trial as soon as its result is known.
func (m *Manager) resolve(ctx context.Context, digest Digest, t Trial) {
	began, backoff := m.Now(), resolveBackoff
	for {
		loss, pending := m.pendingLoss(digest, t)
		if !pending || m.Now().Sub(began) > resolveTimeout {
			m.locked(func(boottime.Instant) {
				if current := m.trials[trialKey{digest, t.Variant}]; current != nil && current.Trial == t {
					m.finish(digest, current, TrialUnknown, "")
				}
			})
			return
		}
		m.checkServer(ctx, loss)
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, checkTimeout)
	}
}

// pendingLoss returns the lost attempt of a trial, and whether it is still unknown whether the
// server has crashed.
func (m *Manager) pendingLoss(digest Digest, t Trial) (Loss, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := m.trials[trialKey{digest, t.Variant}]
	if current == nil || current.Trial != t || current.loss == nil {
		return Loss{}, false
	}
	return *current.loss, m.losses.Pending(*current.loss)
}

// finish ends a trial and publishes its result to all nodes. server is the one that crashed, empty
// unless the trial failed. The lock is held.
func (m *Manager) finish(digest Digest, t *trial, result TrialResult, server ServerID) {
	delete(m.trials, trialKey{digest, t.Variant})
	m.releaseLock(t.lock)
	m.Observer.TrialEnded(result)
	klog.InfoS("request trial ended", "digest", digest, "variant", t.Variant, "result", result.String(), "server", server)
	if result == TrialAnswered {
		m.records.TrialAnswered(digest, t.Variant, m.Now())
	}
	if _, suspected := m.records.Record(digest); !suspected {
		m.broadcastEnd(t, Notice{Record: Record{Digest: digest}, Cleared: true})
		m.spawn(func(ctx context.Context) { m.logWriteError(digest, m.remove(ctx, digest)) })
		return
	}
	end := func(now boottime.Instant) (Record, bool) { return m.records.EndTrial(digest, t.Trial, 0, now) }
	if result == TrialFailed {
		failure := TrialFailure{Number: t.failed + 1, Server: server}
		end = func(now boottime.Instant) (Record, bool) {
			m.records.TrialFailed(digest, t.Variant, failure, now)
			return m.records.EndTrial(digest, t.Trial, failure.Number, now)
		}
	}
	if record, found := end(m.Now()); found {
		m.broadcastEnd(t, Notice{Record: record})
	}
	m.spawn(func(ctx context.Context) {
		m.update(ctx, digest, func(now boottime.Instant) (Record, bool) {
			if result == TrialAnswered {
				m.records.TrialAnswered(digest, t.Variant, now)
			}
			return end(now)
		})
	})
}

// broadcastEnd notifies the nodes that were notified of a trial of its end: they would otherwise wait until
// its lease is over.
func (m *Manager) broadcastEnd(t *trial, notice Notice) {
	if t.announced {
		m.broadcast(notice)
	}
}
