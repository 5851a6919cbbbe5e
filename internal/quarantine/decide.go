package quarantine

import (
	"time"

	"github.com/driftstage/driftstage/internal/boottime"
)

// Action is the decision on a request.
type Action uint8

const (
	// Proceed executes it.
	Proceed Action = iota
	// Refuse rejects it without sending anything.
	Refuse
	// Await waits for the trial of an identical request, or until the next trial may start.
	Await
	// Try sends it to a single server first, if the permission for the trial is granted.
	Try
)

var actionNames = [...]string{"proceed", "refuse", "await", "try"}

// String returns the name used in logs and metrics.
func (a Action) String() string { return actionNames[a] }

// Decision is an action and its conditions.
type Decision struct {
	Action Action
	// RetryAfter is when the client may retry a refused request.
	RetryAfter time.Duration
	// Changed is closed when the decision may have changed. It changes after Until at the
	// latest, unless that is zero.
	Changed <-chan struct{}
	Until   time.Duration
}

// Decide returns the decision on a request. The request is refused or tried as a whole: sends
// to shards whose servers it does not crash may count as sends of a crashing request, too.
func (r *recordTable) Decide(digest Digest, variant Variant, now boottime.Instant) Decision {
	e := r.entries[digest]
	if e == nil || !e.record.covers(variant) {
		return Decision{}
	}
	against := r.evidenceOf(&e.record)
	decision := Decision{Action: Try, Changed: e.changed}
	termLeft, delay := e.releaseAt(r.term, against).Sub(now), e.trialDelay(variant, against, now)
	unsettled := e.unsettledFor(now)
	blocker := e.record.blockingTrial(variant, now)
	switch {
	case against.quarantines(variant) && unsettled > 0:
		decision.Action, decision.Until = Await, unsettled
	case against.quarantines(variant) && termLeft > 0:
		decision.Action, decision.RetryAfter = Refuse, termLeft
	case delay > 0:
		decision.Action, decision.Until = Await, delay
	case !blocker.isZero():
		decision.Action, decision.Until = Await, blocker.seenAt.Add(trialLease).Sub(now)
	}
	return decision
}

// MaySend reports whether a request that was admitted earlier may be sent now. A node whose own
// request was running when servers crashed may retry it, until a trial of it has failed: most such
// requests are harmless.
func (r *recordTable) MaySend(digest Digest, variant Variant, trial Trial, now boottime.Instant) bool {
	e := r.entries[digest]
	switch {
	case e == nil || !e.record.covers(variant):
		return true
	case !trial.isZero():
		current := e.record.findTrial(trial)
		return current != nil && current.active(now)
	case !e.record.blockingTrial(variant, now).isZero():
		return false
	}
	return e.crashedLocally && !e.record.needsLock(variant)
}

// BeginTrial adds a trial of this node to the record; the node then requests the permission by
// writing the record to the store. It reports false if another trial excludes this one.
func (r *recordTable) BeginTrial(digest Digest, trial Trial, now boottime.Instant) bool {
	e := r.entries[digest]
	if e == nil || !e.record.blockingTrial(trial.Variant, now).isZero() {
		return false
	}
	e.record.dropTrials(func(t Trial) bool { return !t.active(now) })
	trial.seenAt = now
	e.record.Trials = append(e.record.Trials, trial)
	e.notify()
	return true
}

// RenewTrial renews the lease of this node's trial. It returns the record to be written; false if
// the record no longer lists the trial.
func (r *recordTable) RenewTrial(digest Digest, trial Trial, now boottime.Instant) (Record, bool) {
	e := r.entries[digest]
	if e == nil {
		return Record{}, false
	}
	current := e.record.findTrial(trial)
	if current == nil {
		return Record{}, false
	}
	current.Renewal++
	current.seenAt = now
	return e.record.clone(), true
}

// TrialFailed lists a failed trial of this node.
func (r *recordTable) TrialFailed(digest Digest, variant Variant, failure TrialFailure, now boottime.Instant) {
	if e := r.entries[digest]; e != nil && e.record.addFailure(variant, failure) {
		e.lastFailure = now
		// The caller writes the record immediately; this is the retry if that fails.
		e.publishAt = now.Add(publishRetryDelay)
	}
}

// EndTrial removes this node's trial. failed is the number of failed trials of the variant including
// this one; zero if this one did not crash a server. EndTrial is idempotent. It returns the record to
// be written.
func (r *recordTable) EndTrial(digest Digest, trial Trial, failed int, now boottime.Instant) (Record, bool) {
	e := r.entries[digest]
	if e == nil {
		return Record{}, false
	}
	e.record.dropTrials(trial.sameAs)
	if failed > 0 && e.record.addVariant(trial.Variant, failed) {
		e.lastFailure = now
		// The caller writes the record immediately; this is the retry if that fails.
		e.publishAt = now.Add(publishRetryDelay)
	}
	e.lastChange = now
	e.notify()
	return e.record.clone(), true
}
