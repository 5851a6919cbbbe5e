package rollout

import (
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

// StoreRestored records that the store was restored from a backup: permissions of earlier eras are
// void.
func (t *Tracker) StoreRestored(era catalog.Era, now time.Time) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.settling(now) {
		t.atRestore = t.syncedRevision
	}
	t.settledAt = now.Add(catalog.OperatorRewriteTime)
	t.era = era
	t.syncedAt = time.Time{}
}

// settling reports whether operators may still have to write orders again to which listed
// servers belong.
func (t *Tracker) settling(now time.Time) bool { return now.Before(t.settledAt) && t.atRestore > 0 }

// knownRevision returns the revision up to which all orders are known: a server that registered
// later may belong to an unknown one.
func (t *Tracker) knownRevision(now time.Time) catalog.Revision {
	if t.settling(now) {
		return t.atRestore
	}
	return t.syncedRevision
}

// ReplaceRestored replaces the orders by those of a restored store. Orders that it lacks send
// nothing to their targets and are kept until operators have had the time to write them again.
func (t *Tracker) ReplaceRestored(orders []Order, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := make(map[string]bool, len(orders))
	for _, order := range orders {
		listed[order.Service] = true
		t.put(order, now)
	}
	for service, tracked := range t.orders {
		if !listed[service] && tracked.missingSince.IsZero() {
			tracked.missingSince = now
		}
	}
}

// continues reports whether the order continues one of an earlier era, as the backup has it or
// as its operators have written it again.
func (o Order) continues(known Order) bool {
	return known.Revision.EarlierEraThan(o.Revision) && o.Service == known.Service && o.Target == known.Target
}

// continueInEra continues the order in a later era.
func (o *trackedOrder) continueInEra(order Order, now time.Time) {
	ranFor := order.Current().Elapsed
	if order.Created.Number() == o.order.Created.Number() {
		ranFor = max(ranFor, o.elapsed(now))
	}
	o.missingSince = time.Time{}
	o.adopt(order, ranFor, now)
}

// recordCompletion keeps the revision at which the order was completed.
func (o *trackedOrder) recordCompletion(order Order) {
	if order.Current().State == StateCompleted {
		o.completedRevision = order.Revision
	}
}

// wasRemoved reports whether a backup has brought back an order that was removed.
func (t *Tracker) wasRemoved(order Order) bool {
	ended, found := t.lastRemoved[order.Service]
	return found && ended.Target == order.Target && ended.Created.EarlierEraThan(order.Created) && ended.Created.Number() == order.Created.Number()
}

// StoredOrders returns the orders that the store holds.
func (t *Tracker) StoredOrders() []Order {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var orders []Order
	for _, tracked := range t.orders {
		if tracked.missingSince.IsZero() {
			orders = append(orders, tracked.order)
		}
	}
	return orders
}

// DropMissing removes the orders that a restored store has lacked for catalog.OperatorRewriteTime.
func (t *Tracker) DropMissing(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for service, tracked := range t.orders {
		if !tracked.missingSince.IsZero() && now.Sub(tracked.missingSince) >= catalog.OperatorRewriteTime {
			t.remove(service)
		}
	}
}

// LostDecisions returns the decided orders whose decision the store has lost, and whether it lacks
// orders.
func (t *Tracker) LostDecisions() (orders []Order, missing bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, tracked := range t.orders {
		missing = missing || !tracked.missingSince.IsZero()
		if tracked.decisionLost {
			orders = append(orders, tracked.order)
		}
	}
	return orders, missing
}
