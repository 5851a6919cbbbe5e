package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/lease"
	"github.com/driftstage/driftstage/internal/platform"
	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	// LeaseName is the name of the lease record in the Object API.
	LeaseName = "controller"
	// releaseTimeout bounds the release of the lease on shutdown.
	releaseTimeout = time.Second
	// minSleep prevents busy waiting while a due action waits for a reply.
	minSleep = 5 * time.Millisecond
	// jitterFraction is the maximum jitter of the candidates' lease reads, as a
	// fraction of the wait.
	jitterFraction = 0.1
)

// leadFunc acts as the leader of one epoch until its context ends.
type leadFunc func(ctx context.Context, epoch int64)

// elector drives the lease core with the clock and the Object API.
type elector struct {
	client    *platform.Client
	candidate func() bool
	started   time.Time
	replies   chan lease.Event
	wake      chan struct{}

	mutex sync.Mutex
	core  *lease.Lease
}

func newElector(core *lease.Lease, client *platform.Client, candidate func() bool) *elector {
	return &elector{
		client:    client,
		candidate: candidate,
		started:   time.Now(),
		replies:   make(chan lease.Event, 1),
		wake:      make(chan struct{}, 1),
		core:      core,
	}
}

// now returns the monotonic time since the start.
func (elector *elector) now() time.Duration {
	return time.Since(elector.started)
}

// held returns the epoch of the lease and whether this node holds it now.
func (elector *elector) held() (int64, bool) {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.core.Held(elector.now())
}

func (elector *elector) step(event lease.Event) lease.Action {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.core.Step(elector.now(), event)
}

// raiseEpoch requests an epoch above the given one. It is safe for concurrent use.
func (elector *elector) raiseEpoch(above int64) {
	elector.step(lease.RaiseEpoch{Above: above})
	select {
	case elector.wake <- struct{}{}:
	default:
	}
}

// run participates in the election until ctx ends.
func (elector *elector) run(ctx context.Context, lead leadFunc) {
	current := &leadership{}
	for ctx.Err() == nil {
		elector.act(ctx, elector.step(lease.Tick{Candidate: elector.candidate()}))
		epoch, held := elector.held()
		current.update(ctx, epoch, held, lead)
		elector.sleep(ctx)
	}
	current.stop()
	elector.release()
}

// sleep waits for a reply, a wake-up or the next due time of the core.
func (elector *elector) sleep(ctx context.Context) {
	timer := time.NewTimer(elector.untilNext())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-elector.wake:
	case reply := <-elector.replies:
		elector.step(reply)
	}
}

func (elector *elector) untilNext() time.Duration {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	wait := elector.core.NextAt() - elector.now()
	if _, held := elector.core.Held(elector.now()); !held {
		wait += time.Duration(rand.Float64() * jitterFraction * float64(wait))
	}
	return max(wait, minSleep)
}

// act starts an action without waiting for its reply.
func (elector *elector) act(ctx context.Context, action lease.Action) {
	if action == nil {
		return
	}
	go func() { elector.replies <- elector.perform(ctx, action) }()
}

func (elector *elector) perform(ctx context.Context, action lease.Action) lease.Event {
	if write, isWrite := action.(lease.Write); isWrite {
		return elector.write(ctx, write)
	}
	return elector.read(ctx)
}

func (elector *elector) read(ctx context.Context) lease.Event {
	object, err := elector.client.Leases.Get(ctx, LeaseName)
	switch {
	case platform.IsNotFound(err):
		return lease.ReadDone{}
	case err != nil:
		klog.V(1).InfoS("lease cannot be read", "error", err.Error())
		return lease.ReadDone{Failed: true}
	}
	return lease.ReadDone{Found: true, Record: recordOf(object), Version: object.Metadata.ResourceVersion}
}

func (elector *elector) write(ctx context.Context, write lease.Write) lease.Event {
	object := objectOf(write)
	send := elector.client.Leases.Update
	if write.Previous == "" {
		send = elector.client.Leases.Create
	}
	written, err := send(ctx, object)
	switch {
	case err == nil:
		return lease.WriteDone{Outcome: lease.Written, Version: written.Metadata.ResourceVersion}
	case verdict.Of(err) == verdict.NotRun:
		return lease.WriteDone{Outcome: lease.Refused}
	default:
		klog.InfoS("lease write has an uncertain outcome", "error", err.Error())
		return lease.WriteDone{Outcome: lease.Uncertain}
	}
}

// release releases the lease, so that another node need not wait until it expires.
func (elector *elector) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	elector.step(lease.Resign{})
	for ctx.Err() == nil {
		action := elector.step(lease.Tick{})
		elector.act(ctx, action)
		if _, held := elector.held(); !held && action == nil {
			return
		}
		select {
		case reply := <-elector.replies:
			elector.step(reply)
		case <-ctx.Done():
		}
	}
}

func recordOf(object *v1.Lease) lease.Record {
	return lease.Record{
		Holder:  object.Spec.Holder,
		Epoch:   object.Spec.Epoch,
		Renewal: object.Spec.Renewal,
		Term:    time.Duration(object.Spec.Term),
	}
}

func objectOf(write lease.Write) *v1.Lease {
	return &v1.Lease{
		APIVersion: v1.APIVersion,
		Kind:       v1.KindLease,
		Metadata:   v1.ObjectMeta{Name: LeaseName, ResourceVersion: write.Previous},
		Spec: v1.LeaseSpec{
			Holder:  write.Record.Holder,
			Epoch:   write.Record.Epoch,
			Renewal: write.Record.Renewal,
			Term:    v1.Duration(write.Record.Term),
		},
	}
}

// leadership runs the leader of the current epoch, one at a time.
type leadership struct {
	epoch   int64
	cancel  context.CancelFunc
	stopped chan struct{}
}

// update starts or stops the leader when the lease changes.
func (leadership *leadership) update(ctx context.Context, epoch int64, held bool, lead leadFunc) {
	if held && epoch == leadership.epoch {
		return
	}
	leadership.stop()
	if !held {
		return
	}
	klog.InfoS("lease acquired", "epoch", epoch)
	leaderContext, cancel := context.WithCancel(ctx)
	stopped := make(chan struct{})
	leadership.epoch, leadership.cancel, leadership.stopped = epoch, cancel, stopped
	go func() {
		defer close(stopped)
		lead(leaderContext, epoch)
	}()
}

func (leadership *leadership) stop() {
	if leadership.cancel == nil {
		return
	}
	leadership.cancel()
	<-leadership.stopped
	klog.InfoS("lease no longer held", "epoch", leadership.epoch)
	leadership.epoch, leadership.cancel, leadership.stopped = 0, nil, nil
}
