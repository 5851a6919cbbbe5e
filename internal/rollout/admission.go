package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/driftstage/driftstage/internal/catalog"
)

// Attempt is one attempt of a request for which a version is to be chosen.
type Attempt struct {
	Service string
	// Extra attempts are hedges and retries.
	Extra bool
	// Repeatable requests may run more than once.
	Repeatable bool
}

// Candidate is a server that an attempt may go to.
type Candidate struct {
	ID      ServerID
	Version Version
	// Created is the store's revision at which the server registered; zero if it is not known.
	Created catalog.Revision
}

// rule tells which candidates an attempt may go to.
type rule uint8

const (
	// ruleAny allows all.
	ruleAny rule = iota
	// ruleTarget allows only the servers of the order's target.
	ruleTarget
	// ruleOthers allows all except these.
	ruleOthers
)

// Admission tells which servers an attempt may go to. The zero value allows all.
type Admission struct {
	rule  rule
	order Key
	// since is the revision after which servers of the target belong to the order.
	since catalog.Revision
	// withdrawn are orders that were withdrawn; their servers get nothing.
	withdrawn []Key
	// knownRevision is the revision up to which the orders are known; zero if that does not
	// matter.
	knownRevision catalog.Revision
	// singleServer sends all attempts of a turn to the candidate that ranks first.
	singleServer bool
	turn         uint64
	// completedRevision is the revision at which the order was completed: later servers of
	// other versions are ordinary replacements. Zero before that.
	completedRevision catalog.Revision
	// counted is set if the attempt was counted as exposure, trial if it may go to other
	// versions as well.
	counted, trial bool
	// fallback is set if other versions may be used when no allowed server can be reached.
	fallback bool
}

// Allows reports whether the attempt may go to the candidate.
func (a Admission) Allows(candidate Candidate) bool {
	if slices.ContainsFunc(a.withdrawn, func(order Key) bool { return order.matches(candidate) }) {
		return false
	}
	target := a.isTarget(candidate)
	switch a.rule {
	case ruleTarget:
		return target || a.completedRevision > 0 && (candidate.Version == a.order.Target || candidate.Created > a.completedRevision)
	case ruleOthers:
		return !target
	case ruleAny:
	}
	return true
}

// isTarget reports whether the candidate is one of the order's new servers. These are newer
// than the order that starts them.
func (a Admission) isTarget(candidate Candidate) bool {
	return Key{Target: a.order.Target, Created: a.since}.matches(candidate)
}

// matches reports whether the candidate is one of the servers that the order started.
func (k Key) matches(candidate Candidate) bool {
	return k.Target != "" && candidate.Version == k.Target && (candidate.Created == 0 || candidate.Created > k.Created)
}

// AllowsAll reports whether the candidates need not be checked one by one: sameVersion is set if
// all of them have the given version, which must not be the target of the order or of a
// withdrawn one.
func (a Admission) AllowsAll(version Version, sameVersion bool) bool {
	return sameVersion && a.order.Target != version && !slices.ContainsFunc(a.withdrawn, func(order Key) bool { return order.Target == version })
}

// NewerThanOrders reports whether the candidate is newer than the orders are known to be: it may
// belong to an unknown one.
func (a Admission) NewerThanOrders(candidate Candidate) bool {
	return candidate.Created > a.knownRevision && a.knownRevision > 0
}

// IsTarget reports whether the candidate belongs to the order.
func (a Admission) IsTarget(candidate Candidate) bool { return a.isTarget(candidate) }

// IsTrial reports whether the attempt is for the order's target and can also go elsewhere.
func (a Admission) IsTrial() bool { return a.trial }

// AllowsFallback reports whether the attempt may go to any server when no allowed one can be
// reached: old servers stop when an order is completed, which a node may not know yet.
func (a Admission) AllowsFallback() bool { return a.fallback }

// SingleServer reports whether all such attempts go to the candidate with the lowest Rank.
func (a Admission) SingleServer() bool { return a.singleServer }

// Rank orders the candidates of the load stage in the same way on all nodes; the order changes
// from turn to turn.
func (a Admission) Rank(id ServerID) uint64 {
	return xxhash.Sum64String(string(id)) * (2*a.turn + 1)
}

// DefaultAdmission returns the admission of attempts that are not trials.
func (t *Tracker) DefaultAdmission(service string, now time.Time) Admission {
	if t == nil {
		return Admission{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.defaultAdmission(service, now)
}

func (t *Tracker) defaultAdmission(service string, now time.Time) Admission {
	admission := Admission{rule: ruleAny, withdrawn: t.withdrawn[service], knownRevision: t.knownRevision(now)}
	tracked := t.orders[service]
	if tracked == nil {
		admission.fallback = len(admission.withdrawn) > 0
		return admission
	}
	admission.order, admission.since = tracked.order.Key(), tracked.since
	switch tracked.order.Current().State {
	case StateCompleted:
		admission.rule, admission.fallback = ruleTarget, true
		admission.completedRevision = tracked.completedRevision
	case StateRolledBack:
		admission.rule = ruleOthers
	default:
		admission.rule, admission.fallback = ruleOthers, !tracked.halted
		if t.stage(tracked, now) == StageFull {
			admission.rule = ruleTarget
		}
	}
	return admission
}

// Admit returns where an attempt may go. An attempt at the target is counted against the bounds
// of the exposure; Refund takes that back.
func (t *Tracker) Admit(attempt Attempt, now time.Time) Admission {
	if t == nil {
		return Admission{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	admission := t.defaultAdmission(attempt.Service, now)
	tracked := t.orders[attempt.Service]
	if tracked == nil || tracked.order.Current().State > StateRunning {
		return admission
	}
	elapsed := tracked.elapsed(now)
	tracked.repeatable = tracked.repeatable || attempt.Repeatable
	switch stage := t.stage(tracked, now); {
	case stage == StageWaiting:
	case attempt.Extra:
		// The old version covers for late and failed answers of the new one.
		admission.rule = ruleOthers
	case stage == StageFull:
		admission.counted = true
		tracked.exposure.Add()
	case !attempt.Repeatable && !tracked.allowsUnrepeatable(stage):
		// A request that cannot be repeated is lost if the version fails it.
	case tracked.exposure.Take(stage, tracked.plan, elapsed):
		admission.rule, admission.counted, admission.trial = ruleTarget, true, true
		admission.singleServer = stage == StageLoad
		admission.turn = uint64(tracked.plan.Turn(elapsed))
	}
	return admission
}

// Decline takes back an attempt at the target for which no server was found, and returns the
// admission to the other versions.
func (t *Tracker) Decline(admission Admission) Admission {
	t.Refund(admission)
	admission.rule, admission.counted, admission.trial, admission.singleServer = ruleOthers, false, false, false
	return admission
}

// Refund takes back an attempt that did not reach a server.
func (t *Tracker) Refund(admission Admission) {
	if t == nil || !admission.counted {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if tracked := t.orders[admission.order.Service]; tracked != nil && tracked.order.Key() == admission.order && tracked.exposure.sent > 0 {
		tracked.exposure.Refund()
	}
}

// allowsUnrepeatable reports whether requests that cannot be repeated may go to the target in
// the stage: last, once others have given evidence. Where there are no others, all but the
// canary stage need them.
func (o *trackedOrder) allowsUnrepeatable(stage Stage) bool {
	if o.repeatable {
		return stage >= StageShift
	}
	return stage >= StageLoad
}
