package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"
)

// rewriteDelay, and a random part of rewriteJitter, is how long the other nodes leave a
// decision that a restored store has lost to the decider, which may have started since
// and not know of it.
const (
	rewriteDelay  = 2 * time.Second
	rewriteJitter = 3 * time.Second
)

// rewriteAll writes the decisions that a restored store has lost. It returns whether there is
// anything left to wait for.
func (a *Agent) rewriteAll(ctx context.Context, now time.Time) bool {
	a.Tracker.DropMissing(now)
	orders, missing := a.Tracker.LostDecisions()
	if len(orders) == 0 {
		clear(a.rewrites)
	}
	for _, order := range orders {
		due, found := a.rewrites[order.Key()]
		switch {
		case found:
		case a.election.decider(order.Service, now).Name == a.Self.Name:
			due = now
		default:
			due = now.Add(rewriteDelay + rand.N(rewriteJitter))
		}
		if !now.Before(due) {
			due = now.Add(writeTimeout + writeBackoff)
			a.tasks.Go(func() { a.rewrite(ctx, order) })
		}
		a.rewrites[order.Key()] = due
	}
	return missing || len(orders) > 0
}

// rewrite makes one conditional write of a lost decision.
func (a *Agent) rewrite(ctx context.Context, order Order) {
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, err := a.StatusStore.WriteStatus(writeCtx, order, order.Status)
	a.Observer.StatusWritten(order.Service, order.Status, err)
	if err != nil && !errors.Is(err, ErrConflict) {
		klog.ErrorS(err, "rollout decision not written again", "service", order.Service, "state", order.Status.State.String())
		return
	}
	a.Tracker.Update(written, a.Now())
	klog.InfoS("rollout decision written again", "service", order.Service, "target", order.Target,
		"state", order.Status.State.String(), "changed", err != nil)
}
