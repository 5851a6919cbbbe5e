package rollout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

const (
	// maxStoreAge is how old a node's knowledge of the orders may be while it sends to a
	// target: the store is asked every 3 s at the longest, and a call that is lost is given up
	// after 0.9 s more.
	maxStoreAge = 4 * time.Second
	// maxUnreportedAge is how long results of a node's own attempts may be unreported while it
	// sends to a target: a report is due twice per second or more often and may fail over from
	// one unresponsive node to the next.
	maxUnreportedAge = 2 * time.Second
)

// Tracker holds what one process knows about all orders: what they ask for, what the process
// has sent to their targets, and the results. A nil tracker knows no orders and allows all
// servers. It is safe for concurrent use.
type Tracker struct {
	bounds Bounds

	mutex  sync.Mutex
	orders map[string]*trackedOrder
	// withdrawn are the orders that were removed before they were completed.
	withdrawn map[string][]Key
	// removedRevisions are the latest revisions of removed orders: late updates of them are
	// ignored.
	removedRevisions map[string]catalog.Revision
	// lastRemoved are the orders that were removed last.
	lastRemoved map[string]Key
	// era is the latest era of the store: permissions of earlier eras are void.
	era catalog.Era
	// atRestore is the revision up to which all orders were known when the store was
	// restored. It is used instead of syncedRevision until settledAt: by then operators have
	// written again what was lost.
	atRestore catalog.Revision
	settledAt time.Time
	// syncedRevision is the revision up to which all orders are known, syncedAt when the store
	// confirmed it; firstSynced is the first such revision.
	syncedRevision, firstSynced catalog.Revision
	syncedAt                    time.Time
	// position is the position of this process, from 0, among all processes.
	position, processes int
}

// NewTracker returns a tracker without orders; nil where the deployment has no rollouts.
func NewTracker(bounds Bounds) *Tracker {
	if !bounds.Enabled() {
		return nil
	}
	return &Tracker{
		bounds:           bounds,
		orders:           make(map[string]*trackedOrder),
		withdrawn:        make(map[string][]Key),
		removedRevisions: make(map[string]catalog.Revision),
		lastRemoved:      make(map[string]Key),
		processes:        1,
	}
}

// SetPosition sets the position of this process, from 0, and the number of processes. It applies to
// orders that come later.
func (t *Tracker) SetPosition(position, processes int) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.position, t.processes = position, processes
}

// Replace replaces all orders.
func (t *Tracker) Replace(orders []Order, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.replace(orders, now)
}

func (t *Tracker) replace(orders []Order, now time.Time) {
	listed := make(map[string]bool, len(orders))
	for _, order := range orders {
		listed[order.Service] = true
		t.put(order, now)
	}
	for service := range t.orders {
		if !listed[service] {
			t.remove(service)
		}
	}
}

// Put adds or updates an order. An older revision is ignored.
func (t *Tracker) Put(order Order, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.put(order, now)
}

func (t *Tracker) put(order Order, now time.Time) {
	tracked := t.orders[order.Service]
	if tracked != nil && order.continues(tracked.order) {
		tracked.continueInEra(order, now)
		return
	}
	if tracked != nil && tracked.order.Key() == order.Key() {
		tracked.advance(order, now)
		return
	}
	if t.wasRemoved(order) {
		return
	}
	if tracked != nil && order.Revision < tracked.order.Revision || order.Revision <= t.removedRevisions[order.Service] {
		return
	}
	t.remove(order.Service)
	if t.settling(now) {
		order.lowerSince(t.atRestore)
	}
	since := t.dropWithdrawn(order)
	// A process that is younger than the order may have replaced one that has used its part of
	// the slack.
	olderThanOrder := t.firstSynced > 0 && order.Created > t.firstSynced
	added := &trackedOrder{
		order:       order,
		since:       since,
		plan:        NewPlan(order.Duration),
		baseElapsed: order.Current().Elapsed,
		baseTime:    now,
		exposure:    Exposure{limits: NewLimits(t.bounds, t.position, t.processes, olderThanOrder)},
		routes:      make(map[string]*RouteCounts),
	}
	added.recordCompletion(order)
	t.orders[order.Service] = added
}

// LowerSince adopts an earlier revision, known to other nodes, after which servers of the
// target belong to the order; zero is none.
func (t *Tracker) LowerSince(key Key, since catalog.Revision) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if tracked := t.orders[key.Service]; tracked != nil && tracked.order.Key() == key {
		tracked.order.lowerSince(since)
		tracked.since = min(tracked.since, tracked.order.ServersSince())
	}
}

// dropWithdrawn removes the order's target from the withdrawn ones. It returns the revision
// after which servers of the target belong to the order.
func (t *Tracker) dropWithdrawn(order Order) catalog.Revision {
	since := order.ServersSince()
	// A new slice, because admissions hold the old one.
	var rest []Key
	for _, withdrawn := range t.withdrawn[order.Service] {
		if withdrawn.Target == order.Target {
			since = min(since, withdrawn.Created)
		} else {
			rest = append(rest, withdrawn)
		}
	}
	t.withdrawn[order.Service] = rest
	return since
}

// Remove removes the order of a service, which its operators have withdrawn.
func (t *Tracker) Remove(service string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.remove(service)
}

func (t *Tracker) remove(service string) {
	tracked := t.orders[service]
	if tracked == nil {
		return
	}
	delete(t.orders, service)
	t.removedRevisions[service] = tracked.order.Revision
	t.lastRemoved[service] = tracked.order.Key()
	if tracked.order.Current().State != StateCompleted && tracked.order.Target != "" {
		t.withdrawn[service] = append(t.withdrawn[service], Key{Service: service, Target: tracked.order.Target, Created: tracked.since})
	}
}

// Reached records the revision up to which all orders are known, and when the store confirmed
// it.
func (t *Tracker) Reached(revision catalog.Revision, confirmedAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if revision.Era() < t.era {
		return
	}
	if t.firstSynced == 0 {
		t.firstSynced = revision
	}
	if t.atRestore == 0 {
		t.atRestore = revision
	}
	t.syncedRevision = max(t.syncedRevision, revision)
	if confirmedAt.After(t.syncedAt) {
		t.syncedAt = confirmedAt
	}
}

// Orders returns all orders with the revision up to which they are known.
func (t *Tracker) Orders() ([]Order, catalog.Revision) {
	if t == nil {
		return nil, 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	orders := make([]Order, 0, len(t.orders))
	for _, tracked := range t.orders {
		orders = append(orders, tracked.order)
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Service, b.Service) })
	return orders, t.syncedRevision
}

// Adopt takes over the orders that another node knows, unless the store or a node with a later
// revision has provided them.
func (t *Tracker) Adopt(orders []Order, revision catalog.Revision, now time.Time) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.firstSynced > 0 || revision <= t.syncedRevision || revision.Era() < t.era {
		return
	}
	t.replace(orders, now)
	t.syncedRevision = revision
}

// stage returns the stage in effect at this process: StageWaiting without valid permission.
func (t *Tracker) stage(tracked *trackedOrder, now time.Time) Stage {
	status := tracked.order.Current()
	switch {
	case status.State != StateRunning, tracked.halted, tracked.order.Revision.Era() < t.era:
		return StageWaiting
	case now.Sub(t.syncedAt) > maxStoreAge:
		return StageWaiting
	case !tracked.unreportedSince.IsZero() && now.Sub(tracked.unreportedSince) > maxUnreportedAge:
		return StageWaiting
	}
	return status.Stage
}

// Halt stops all attempts at the target of an order. It returns false if there was nothing to
// stop.
func (t *Tracker) Halt(key Key) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	tracked := t.orders[key.Service]
	if tracked == nil || tracked.order.Key() != key || tracked.halted || tracked.completed() {
		return false
	}
	tracked.halted = true
	return true
}

// Progress is the state of one order as this process knows it.
type Progress struct {
	Order Order
	// Elapsed is how long it has run.
	Elapsed time.Duration
	// Halted is set if its target was found bad.
	Halted bool
}

// Progress returns the state of an order; false if it is not the current one of its service.
func (t *Tracker) Progress(key Key, now time.Time) (Progress, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	tracked := t.orders[key.Service]
	if tracked == nil || tracked.order.Key() != key {
		return Progress{}, false
	}
	halted := tracked.halted || tracked.order.Current().State == StateRolledBack
	return Progress{Order: tracked.order, Elapsed: tracked.elapsed(now), Halted: halted}, true
}

// HasSynced reports whether the orders are known at all. Always true for a nil tracker.
func (t *Tracker) HasSynced() bool {
	if t == nil {
		return true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.syncedRevision > 0
}

// Age returns the time since the store confirmed the orders; false if it never did.
func (t *Tracker) Age(now time.Time) (time.Duration, bool) {
	if t == nil {
		return 0, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Sub(t.syncedAt), !t.syncedAt.IsZero()
}

// Update adopts a later state of a known order; it never brings back one that its operators
// have withdrawn.
func (t *Tracker) Update(order Order, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	tracked := t.orders[order.Service]
	if tracked == nil || tracked.order.Key() != order.Key() || tracked.order.Revision >= order.Revision {
		return false
	}
	t.put(order, now)
	return true
}
