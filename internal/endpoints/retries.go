package endpoints

import (
	"time"

	"github.com/driftstage/driftstage/internal/retrybudget"
)

const (
	// firstGrant is how many extra sends are requested when a service lacks one, furtherGrant
	// while the granted ones do not suffice.
	firstGrant   = 1
	furtherGrant = 2
	// furtherGrantWindow is how long after a request another one of the same service counts
	// as a further one.
	furtherGrantWindow = time.Second
	// minSuspension is the shortest suspension of the machine that reduces the budgets.
	minSuspension = 100 * time.Millisecond
)

// grantRequests are the requests for extra sends of services that lack one.
type grantRequests struct {
	pending retrybudget.SendCounts
	// takenAt is when the latest request of a service was taken to be sent to the pool.
	takenAt map[string]time.Time
	// notify has an element when there are pending requests.
	notify chan struct{}
}

func newGrantRequests() grantRequests {
	return grantRequests{pending: make(retrybudget.SendCounts), takenAt: make(map[string]time.Time), notify: make(chan struct{}, 1)}
}

// GrantsNeeded returns a channel that signals when services lack extra sends that a pool may
// grant.
func (d *Directory) GrantsNeeded() <-chan struct{} { return d.grantRequests.notify }

// requestGrant requests an extra send for the service; the mutex is held.
func (d *Directory) requestGrant(service string, now time.Time) {
	if !d.pooled {
		return
	}
	count := firstGrant
	if now.Sub(d.grantRequests.takenAt[service]) < furtherGrantWindow {
		count = furtherGrant
	}
	d.grantRequests.pending[service] = count
	select {
	case d.grantRequests.notify <- struct{}{}:
	default:
	}
}

// TakeGrantRequests returns the extra sends to request from the pool and clears them.
func (d *Directory) TakeGrantRequests(now time.Time) retrybudget.SendCounts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	taken := d.grantRequests.pending
	d.grantRequests.pending = make(retrybudget.SendCounts)
	for service := range taken {
		d.grantRequests.takenAt[service] = now
	}
	return taken
}

// GrantRetries adds extra sends that the pool granted to a request made at the given time.
func (d *Directory) GrantRetries(granted retrybudget.SendCounts, requested time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for service, count := range granted {
		d.service(service).retryBudget.Grant(count, requested)
	}
}

// takeExtra charges an extra send to the service's retry budget and reports whether the budget
// allowed it; the mutex is held.
func (d *Directory) takeExtra(name string, now time.Time) bool {
	if d.suspended != nil {
		if suspended := d.suspended(); suspended-d.budgetSuspended >= minSuspension {
			d.budgetSuspended = suspended
			for _, service := range d.services {
				service.retryBudget.ResetEarned()
			}
		}
	}
	return d.service(name).retryBudget.Take(d.budgetLimits, now)
}

// RefundRetry returns an extra send that did not reach a server to the retry budget.
func (d *Directory) RefundRetry(name string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.service(name).retryBudget.Refund(d.budgetLimits, now)
}

// EarnRetries adds the allowance of one arrived request to the service's retry budget.
func (d *Directory) EarnRetries(name string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.service(name).retryBudget.Earn(d.budgetLimits, now)
	d.versions.Request(name)
}
