package rollout

import "time"

// Outcome is what the end of an attempt says about the version of its server.
type Outcome uint8

const (
	// OutcomeNone says nothing about the version.
	OutcomeNone Outcome = iota
	// OutcomeAnswered is an answer.
	OutcomeAnswered
	// OutcomeFailed is an error of the server, a refusal or a connection that failed.
	OutcomeFailed
	// OutcomeAbandoned is a request that was given up while in flight.
	OutcomeAbandoned
	// OutcomeUnsent is an attempt that reached no server.
	OutcomeUnsent
)

// Sample is the result of one attempt.
type Sample struct {
	Result Outcome
	// LatencyRatio is the time that the attempt took, divided by the usual time of such requests.
	LatencyRatio float64
	// Cold is set if the server has just started.
	Cold bool
}

// slowFactor is the ratio from which an answer counts as slow. Service times whose logarithm
// has a standard deviation of 0.35 to 0.5 exceed twice their mean in 2 to 8 of 100 answers; of
// a version that takes three times as long, 80 in 100 do.
const slowFactor = 2.0

// counts returns the counts of the sample alone.
func (s Sample) counts() Counts {
	slow := s.LatencyRatio >= slowFactor
	switch {
	case s.Result == OutcomeFailed:
		return Counts{Answers: 1, Failed: 1}
	case s.Result == OutcomeAnswered && s.Cold:
		return Counts{Answers: 1}
	case s.Result == OutcomeAnswered && slow:
		return Counts{Answers: 1, Timed: 1, Slow: 1}
	case s.Result == OutcomeAnswered:
		return Counts{Answers: 1, Timed: 1}
	case s.Result == OutcomeAbandoned && slow && !s.Cold:
		// Nothing is known about a request that was given up early.
		return Counts{Timed: 1, Slow: 1}
	}
	return Counts{}
}

// Request counts a request of a service.
func (t *Tracker) Request(service string) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if tracked := t.orders[service]; tracked != nil {
		tracked.exposure.Request()
	}
}

// Begin records the start of an attempt at the candidate.
func (t *Tracker) Begin(candidate Candidate, admission Admission) {
	t.updateAdmitting(admission, func(tracked *trackedOrder) {
		if !admission.isTarget(candidate) {
			tracked.oldInFlight++
		}
	})
}

// End records the result of an attempt at the candidate on a route.
func (t *Tracker) End(candidate Candidate, admission Admission, route string, sample Sample, now time.Time) {
	if sample.Result == OutcomeUnsent {
		t.Refund(admission)
	}
	t.updateAdmitting(admission, func(tracked *trackedOrder) {
		counts := tracked.routes[route]
		if counts == nil {
			counts = &RouteCounts{Route: route}
			tracked.routes[route] = counts
		}
		added := sample.counts()
		if !admission.isTarget(candidate) {
			tracked.oldInFlight--
			counts.Old = counts.Old.Plus(added)
			return
		}
		if counts.New == nil {
			counts.New = make(map[ServerID]Counts)
		}
		counts.New[candidate.ID] = counts.New[candidate.ID].Plus(added)
		if added != (Counts{}) {
			tracked.markUnreported(now)
		}
	})
}

// markUnreported records that a result of the target is in no report yet.
func (o *trackedOrder) markUnreported(now time.Time) {
	o.sampledAt = now
	if o.unreportedSince.IsZero() {
		o.unreportedSince = now
	}
}

// updateAdmitting applies a change to the order by which an attempt was admitted, if that is
// still the current one of its service.
func (t *Tracker) updateAdmitting(admission Admission, update func(tracked *trackedOrder)) {
	if t == nil || admission.order == (Key{}) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if tracked := t.orders[admission.order.Service]; tracked != nil && tracked.order.Key() == admission.order {
		update(tracked)
	}
}

// Halted reports whether nothing more may be sent to the candidate, even by attempts that were
// admitted before.
func (t *Tracker) Halted(service string, candidate Candidate) bool {
	if t == nil {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	tracked := t.orders[service]
	if tracked == nil || !(Key{Target: tracked.order.Target, Created: tracked.since}).matches(candidate) {
		return false
	}
	return tracked.halted || tracked.order.Current().State == StateRolledBack
}
