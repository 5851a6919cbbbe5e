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
	// workers bounds the resources handled at a time.
	workers = 4
	// measureTick is how often the trackers of spreading are looked at.
	measureTick = 100 * time.Millisecond
	// sweepInterval is how often every resource is looked at, from the cache.
	sweepInterval = 10 * time.Second
)

// leader acts for one epoch of the lease.
type leader struct {
	controller *Controller
	client     *platform.Collection[v1.QueryServiceObject]
	revisions  *revisions
	cache      *cache
	queue      *queue
	// measures holds the resources to ask the members about.
	measures *queue

	mutex   sync.Mutex
	records map[string]*record
}

// record is what the leader remembers of one resource in this epoch.
type record struct {
	// published is the highest revision published in this epoch.
	published int64
	// tombstone is that of the object with tombstoneUID, once published.
	tombstone    int64
	tombstoneUID string
	// deleted tells that the watch showed the end of the object.
	deleted bool
	// spread is that of the tombstone or the accepted revision.
	spread     spreadTracker
	reportedAt time.Time
}

func newLeader(controller *Controller, epoch int64) *leader {
	return &leader{
		controller: controller,
		client:     controller.options.Client.QueryServiceObjects,
		revisions:  &revisions{epoch: epoch},
		cache:      newCache(),
		queue:      newQueue(),
		measures:   newQueue(),
		records:    make(map[string]*record),
	}
}

// run lists, watches and reconciles until ctx ends.
func (leader *leader) run(ctx context.Context) {
	var group sync.WaitGroup
	for range workers {
		group.Go(func() { leader.work(ctx) })
	}
	for range measureWorkers {
		group.Go(func() { leader.measure(ctx) })
	}
	group.Go(func() { leader.lookAgain(ctx) })
	leader.follow(ctx)
	group.Wait()
}

func (leader *leader) work(ctx context.Context) {
	for {
		name, more := leader.queue.take(ctx)
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

// lookAgain queues the questions to the members that are due, and now and then
// all resources.
func (leader *leader) lookAgain(ctx context.Context) {
	measure, sweep := time.NewTicker(measureTick), time.NewTicker(sweepInterval)
	defer measure.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-measure.C:
			leader.measures.add(leader.dueMeasures(now)...)
		case <-sweep.C:
			leader.queue.add(leader.cache.names()...)
		}
	}
}

// follow keeps the cache up to date by one watch at a time.
func (leader *leader) follow(ctx context.Context) {
	resourceVersion, failures := "", 0
	for ctx.Err() == nil {
		var err error
		if resourceVersion == "" {
			resourceVersion, err = leader.list(ctx)
		}
		if err == nil {
			var progressed bool
			progressed, err = leader.watch(ctx, &resourceVersion)
			if progressed {
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

// list reads everything once, and queues it.
func (leader *leader) list(ctx context.Context) (string, error) {
	listed, err := leader.client.List(ctx)
	if err != nil {
		return "", err
	}
	if above, behind := leader.highestEpoch(listed.Items); behind {
		klog.InfoS("accepted revisions are of a later epoch than the lease: its record was lost", "epoch", above)
		leader.controller.elector.raiseEpoch(above)
	}
	leader.cache.replace(listed.Items)
	leader.queue.add(leader.cache.names()...)
	leader.reportMissing()
	return listed.Metadata.ResourceVersion, nil
}

// highestEpoch returns the highest epoch of any revision, and whether it is
// above that of the lease.
func (leader *leader) highestEpoch(items []v1.QueryServiceObject) (int64, bool) {
	highest := int64(0)
	for index := range items {
		status, err := items[index].DecodeStatus()
		if err == nil && status.Accepted != nil {
			highest = max(highest, status.Accepted.Revision)
		}
	}
	for _, version := range leader.controller.options.Known.Digest() {
		highest = max(highest, version.Revision)
	}
	epoch := epochOf(highest)
	return epoch, epoch > leader.revisions.epoch
}

// reportMissing tells of services in force that the list does not have.
func (leader *leader) reportMissing() {
	missing := 0
	for _, service := range leader.controller.options.Known.Services() {
		if leader.cache.get(service.Name) == nil {
			missing++
			klog.InfoS("service in force is missing from the Object API, kept in force", "service", service.Name, "revision", service.Revision)
		}
	}
	leader.controller.metrics.missing.Set(float64(missing))
}

// watch takes in events until the watch ends, and tells whether any came.
func (leader *leader) watch(ctx context.Context, resourceVersion *string) (bool, error) {
	watch, err := leader.client.Watch(ctx, *resourceVersion)
	if err != nil {
		return false, err
	}
	defer watch.Close()
	for progressed := false; ; progressed = true {
		event, err := watch.Next()
		if err != nil {
			return progressed, err
		}
		*resourceVersion = event.ResourceVersion
		leader.take(event)
	}
}

func (leader *leader) take(event platform.Event[v1.QueryServiceObject]) {
	if event.Object == nil {
		return
	}
	name := event.Object.Metadata.Name
	if event.Type == platform.EventDeleted {
		leader.cache.delete(event.Object)
		leader.update(name, func(record *record) { record.deleted = true })
	} else {
		leader.cache.put(event.Object)
		leader.update(name, func(record *record) { record.deleted = false })
	}
	leader.queue.add(name)
}

// update changes the record of a resource under the lock.
func (leader *leader) update(name string, change func(*record)) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	held, found := leader.records[name]
	if !found {
		held = &record{}
		leader.records[name] = held
	}
	change(held)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
