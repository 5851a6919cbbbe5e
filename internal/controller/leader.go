package controller

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/platform"
)

const (
	// workers is the number of resources reconciled concurrently.
	workers = 4
	// trackerInterval is how often the propagation trackers are checked.
	trackerInterval = 100 * time.Millisecond
	// resyncInterval is how often every cached resource is reconciled.
	resyncInterval = 10 * time.Second
)

// leader reconciles the resources during one epoch of the lease.
type leader struct {
	controller *Controller
	client     *platform.Collection[v1.QueryServiceObject]
	revisions  *revisions
	cache      *cache
	queue      *queue
	// propagationChecks holds the resources whose propagation is to be requested
	// from the members.
	propagationChecks *queue

	mutex   sync.Mutex
	records map[string]*record
}

// record is the leader's state of one resource in this epoch.
type record struct {
	// published is the highest revision published in this epoch.
	published int64
	// tombstone is the published tombstone of the object with tombstoneUID, or zero.
	tombstone    int64
	tombstoneUID string
	// deleted is set when the watch has reported the deletion of the object.
	deleted bool
	// tracker tracks the tombstone or the accepted revision.
	tracker    propagationTracker
	reportedAt time.Time
}

func newLeader(controller *Controller, epoch int64) *leader {
	return &leader{
		controller:        controller,
		client:            controller.options.Client.QueryServiceObjects,
		revisions:         &revisions{epoch: epoch},
		cache:             newCache(),
		queue:             newQueue(),
		propagationChecks: newQueue(),
		records:           make(map[string]*record),
	}
}

// run lists, watches and reconciles resources until ctx ends.
func (leader *leader) run(ctx context.Context) {
	var group sync.WaitGroup
	for range workers {
		group.Go(func() { leader.work(ctx) })
	}
	for range checkWorkers {
		group.Go(func() { leader.checkPropagation(ctx) })
	}
	group.Go(func() { leader.requeue(ctx) })
	leader.listAndWatch(ctx)
	group.Wait()
}

func (leader *leader) work(ctx context.Context) {
	for {
		name, more := leader.queue.get(ctx)
		if !more {
			return
		}
		err := leader.reconcile(ctx, name)
		if err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "resource not reconciled", "service", name)
		}
		leader.queue.done(name, err)
	}
}

// requeue queues the propagation checks that are due, and periodically all
// resources.
func (leader *leader) requeue(ctx context.Context) {
	check, resync := time.NewTicker(trackerInterval), time.NewTicker(resyncInterval)
	defer check.Stop()
	defer resync.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-check.C:
			leader.propagationChecks.add(leader.dueChecks(now)...)
		case <-resync.C:
			leader.queue.add(leader.cache.names()...)
		}
	}
}

// listAndWatch keeps the cache up to date by one watch at a time.
func (leader *leader) listAndWatch(ctx context.Context) {
	resourceVersion, failures := "", 0
	for ctx.Err() == nil {
		var err error
		if resourceVersion == "" {
			resourceVersion, err = leader.list(ctx)
		}
		if err == nil {
			var received bool
			received, err = leader.watch(ctx, &resourceVersion)
			if received {
				failures = 0
			}
		}
		if platform.IsGone(err) {
			resourceVersion = ""
		}
		sleep(ctx, backoff(failures))
		failures++
	}
}

// list reads all resources once and queues them.
func (leader *leader) list(ctx context.Context) (string, error) {
	listed, err := leader.client.List(ctx)
	if err != nil {
		return "", err
	}
	if above, behind := leader.highestEpoch(listed.Items); behind {
		klog.InfoS("accepted revisions have a later epoch than the lease: the lease record was lost", "epoch", above)
		leader.controller.elector.raiseEpoch(above)
	}
	leader.cache.replace(listed.Items)
	leader.queue.add(leader.cache.names()...)
	leader.reportMissing()
	return listed.Metadata.ResourceVersion, nil
}

// highestEpoch returns the highest epoch of any known revision, and whether it is
// above that of the lease.
func (leader *leader) highestEpoch(items []v1.QueryServiceObject) (int64, bool) {
	highest := int64(0)
	for index := range items {
		status, err := items[index].DecodeStatus()
		if err == nil && status.Accepted != nil {
			highest = max(highest, status.Accepted.Revision)
		}
	}
	for _, version := range leader.controller.options.Config.Digest() {
		highest = max(highest, version.Revision)
	}
	epoch := epochOf(highest)
	return epoch, epoch > leader.revisions.epoch
}

// reportMissing logs and counts services in force that are missing from the list.
func (leader *leader) reportMissing() {
	missing := 0
	for _, service := range leader.controller.options.Config.Services() {
		if leader.cache.get(service.Name) == nil {
			missing++
			klog.InfoS("service in force is missing from the Object API, kept in force", "service", service.Name, "revision", service.Revision)
		}
	}
	leader.controller.metrics.missing.Set(float64(missing))
}

// watch processes events until the watch ends, and reports whether there were any.
func (leader *leader) watch(ctx context.Context, resourceVersion *string) (bool, error) {
	watch, err := leader.client.Watch(ctx, *resourceVersion)
	if err != nil {
		return false, err
	}
	defer watch.Close()
	for received := false; ; received = true {
		event, err := watch.Next()
		if err != nil {
			return received, err
		}
		*resourceVersion = event.ResourceVersion
		leader.handleEvent(event)
	}
}

func (leader *leader) handleEvent(event platform.Event[v1.QueryServiceObject]) {
	if event.Object == nil {
		return
	}
	name := event.Object.Metadata.Name
	if event.Type == platform.EventDeleted {
		leader.cache.delete(event.Object)
		leader.updateRecord(name, func(record *record) { record.deleted = true })
	} else {
		leader.cache.put(event.Object)
		leader.updateRecord(name, func(record *record) { record.deleted = false })
	}
	leader.queue.add(name)
}

// updateRecord changes the record of a resource under the lock.
func (leader *leader) updateRecord(name string, change func(*record)) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	current, found := leader.records[name]
	if !found {
		current = &record{}
		leader.records[name] = current
	}
	change(current)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
