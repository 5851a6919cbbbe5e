package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/boottime"
)

// State is the current state of a request, as shown to operators.
type State string

// States of requests.
const (
	// StateSuspected is a request that is tried on one server when it is received again.
	StateSuspected State = "suspected"
	// StateRefused is a quarantined request during its term.
	StateRefused State = "refused"
	// StateProbation is a quarantined request whose term is over: it is tried when it is
	// received again.
	StateProbation State = "probation"
)

// Description is the record of a request in the form shown to operators.
type Description struct {
	Digest   Digest
	State    State
	Services []string
	// Servers is the number of crashed servers, Variants that of combinations of query and client.
	Servers, Variants int
	FailedTrials      int
	// SecondsLeft is the remaining time of the term.
	SecondsLeft float64 `json:",omitempty"`
	// Shared is set if the record is in the store, so that all nodes know it.
	Shared bool
}

// Describe returns all records known to this node, sorted by digest.
func (m *Manager) Describe() []Description {
	described := []Description{}
	if m == nil {
		return described
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.Now()
	for _, e := range m.records.entries {
		if !e.record.isLock() {
			described = append(described, e.describe(m.Term, m.records.evidenceOf(&e.record), now))
		}
	}
	slices.SortFunc(described, func(a, b Description) int { return cmp.Compare(a.Digest.String(), b.Digest.String()) })
	return described
}

func (e *entry) describe(term time.Duration, against evidence, now boottime.Instant) Description {
	description := Description{
		Digest:       e.record.Digest,
		State:        StateSuspected,
		Services:     e.record.ServiceNames(),
		Servers:      e.record.CrashedServers(),
		Variants:     len(e.record.SuspectedVariants),
		FailedTrials: e.record.FailedTrials(),
		Shared:       e.record.Revision > 0,
	}
	switch left := e.releaseAt(term, against).Sub(now); {
	case against.quarantined() && left > 0:
		description.State, description.SecondsLeft = StateRefused, left.Seconds()
	case against.quarantined():
		description.State = StateProbation
	}
	return description
}
