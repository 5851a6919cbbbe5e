package rollout

import "time"

// Outcome is what the end of a send says of the version of its server.
type Outcome uint8

const (
	// OutcomeNone says nothing.
	OutcomeNone Outcome = iota
	// OutcomeAnswered is an answer.
	OutcomeAnswered
	// OutcomeFailed is an error of the server, a refusal or a connection that failed.
	OutcomeFailed
	// OutcomeSilent is a request that was given up while under way.
	OutcomeSilent
	// OutcomeUnsent is a send that reached no server.
	OutcomeUnsent
)

// Sample is the end of one send.
type Sample struct {
	Result Outcome
	// Ratio is the time that it took in units of what such requests usually take.
	Ratio float64
	// Cold is set if the server has just started.
	Cold bool
}

// slowFactor is the ratio from which an answer counts as slow. Work that is spread by
// 0.35 to 0.5 (standard deviation of its logarithm) exceeds twice its mean in 2 to 8 of 100
// answers; of a version that takes three times as long, 80 in 100 do.
const slowFactor = 2.0

// counts returns what the sample adds.
func (s Sample) counts() Counts {
	slow := s.Ratio >= slowFactor
	switch {
	case s.Result == OutcomeFailed:
		return Counts{Answers: 1, Failed: 1}
	case s.Result == OutcomeAnswered && s.Cold:
		return Counts{Answers: 1}
	case s.Result == OutcomeAnswered && slow:
		return Counts{Answers: 1, Timed: 1, Slow: 1}
	case s.Result == OutcomeAnswered:
		return Counts{Answers: 1, Timed: 1}
	case s.Result == OutcomeSilent && slow && !s.Cold:
		// Of a request that was given up early nothing is known.
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
	if known := t.orders[service]; known != nil {
		known.exposure.Request()
	}
}

// Begin notes a send to the candidate.
func (t *Tracker) Begin(candidate Candidate, admission Admission) {
	t.change(admission, func(known *tracked) {
		if !admission.target(candidate) {
			known.oldUnderWay++
		}
	})
}

// End notes what came of a send to the candidate on a route.
func (t *Tracker) End(candidate Candidate, admission Admission, route string, sample Sample, now time.Time) {
	if sample.Result == OutcomeUnsent {
		t.Refund(admission)
	}
	t.change(admission, func(known *tracked) {
		counts := known.routes[route]
		if counts == nil {
			counts = &RouteCounts{Route: route}
			known.routes[route] = counts
		}
		added := sample.counts()
		if !admission.target(candidate) {
			known.oldUnderWay--
			counts.Old = counts.Old.Plus(added)
			return
		}
		if counts.New == nil {
			counts.New = make(map[ServerID]Counts)
		}
		counts.New[candidate.ID] = counts.New[candidate.ID].Plus(added)
		if added != (Counts{}) {
			known.noteNews(now)
		}
	})
}

// noteNews notes that something came of the target that no report has told.
func (k *tracked) noteNews(now time.Time) {
	k.sampledAt = now
	if k.unreportedSince.IsZero() {
		k.unreportedSince = now
	}
}

// change applies a change to the order by which a send was admitted, if that still
// stands.
func (t *Tracker) change(admission Admission, apply func(known *tracked)) {
	if t == nil || admission.order == (Key{}) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.orders[admission.order.Service]; known != nil && known.order.Key() == admission.order {
		apply(known)
	}
}

// Halted reports whether nothing more may be sent to the candidate, whatever was
// admitted before.
func (t *Tracker) Halted(service string, candidate Candidate) bool {
	if t == nil {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.orders[service]
	if known == nil || !(Key{Target: known.order.Target, Created: known.since}).explains(candidate) {
		return false
	}
	return known.halted || known.order.Current().State == StateRolledBack
}
