package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Description is what one process knows and does of an order, for operators.
type Description struct {
	Service string
	Target  Version
	State   string
	Stage   string
	// Halted is set once this process has been told that the target is bad.
	Halted bool `json:",omitempty"`
	// Invalid is why the order can't be carried out; empty if it can.
	Invalid string `json:",omitempty"`
	// ElapsedSeconds and DurationSeconds are how long the order has run and may run.
	ElapsedSeconds  float64
	DurationSeconds float64
	// Requests of the service since the process learned of the order, Sent those that it
	// sent to the target, Allowed how many the stage allows; shift and whole bound none.
	Requests, Sent uint32
	Allowed        float64
	// Old and New are the answers of the other versions and of the target.
	Old, New Counts
	// UnreportedSeconds is how long something that came of the target is unreported.
	UnreportedSeconds float64 `json:",omitempty"`
}

// Describe returns what the process knows of all orders, by service.
func (t *Tracker) Describe(now time.Time) []Description {
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	descriptions := make([]Description, 0, len(t.orders))
	for _, known := range t.orders {
		descriptions = append(descriptions, t.describe(known, now))
	}
	slices.SortFunc(descriptions, func(a, b Description) int { return cmp.Compare(a.Service, b.Service) })
	return descriptions
}

func (t *Tracker) describe(known *tracked, now time.Time) Description {
	status := known.order.Current()
	description := Description{
		Service:         known.order.Service,
		Target:          known.order.Target,
		State:           status.State.String(),
		Stage:           t.stage(known, now).String(),
		Halted:          known.halted,
		Invalid:         known.order.Invalid(),
		ElapsedSeconds:  known.elapsed(now).Seconds(),
		DurationSeconds: known.order.Duration.Seconds(),
		Requests:        known.exposure.requests,
		Sent:            known.exposure.sent,
		Allowed:         known.exposure.allowed(status.Stage, known.plan, known.elapsed(now)),
	}
	if known.order.Ended() {
		description.Stage = status.Stage.String()
		description.ElapsedSeconds = status.Elapsed.Seconds()
	}
	for _, counts := range known.routes {
		description.Old = description.Old.Plus(counts.Old)
		for _, server := range counts.New {
			description.New = description.New.Plus(server)
		}
	}
	if !known.unreportedSince.IsZero() {
		description.UnreportedSeconds = now.Sub(known.unreportedSince).Seconds()
	}
	return description
}
