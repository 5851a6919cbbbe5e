package controller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/platform"
)

// maxSteps bounds the steps for one resource before others have their turn.
const maxSteps = 8

// errEpochTooLow means that a revision in force is above all of this epoch.
var errEpochTooLow = errors.New("the lease's epoch is below a revision in force")

// reconcile brings one resource forward until nothing is left to do.
func (leader *leader) reconcile(ctx context.Context, name string) error {
	for range maxSteps {
		object, err := leader.read(ctx, name)
		if err != nil {
			return err
		}
		if object == nil {
			return leader.bury(name)
		}
		status, err := object.DecodeStatus()
		if err != nil {
			klog.ErrorS(err, "status can not be read, it is written anew", "service", name)
		}
		leader.publishAccepted(object, &status)
		next := decide(object, &status, leader.situation(object, &status))
		if next.kind == stepNone {
			return nil
		}
		err = leader.carryOut(ctx, object, status, next)
		if err != nil && !platform.IsConflict(err) {
			return err
		}
	}
	leader.queue.add(name)
	return nil
}

// read returns the resource as last seen, or reads it; nil when it does not exist.
func (leader *leader) read(ctx context.Context, name string) (*v1.QueryServiceObject, error) {
	if held := leader.cache.get(name); held != nil {
		return held, nil
	}
	object, err := leader.client.Get(ctx, name)
	if platform.IsNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	leader.cache.put(object)
	return object, nil
}

// publishAccepted publishes what stands accepted in the Object API, once in
// each epoch: whoever led before may have died before it did.
func (leader *leader) publishAccepted(object *v1.QueryServiceObject, status *v1.QueryServiceStatus) {
	if status.Accepted == nil || object.Metadata.DeletionTimestamp != nil {
		return
	}
	name, revision := object.Metadata.Name, status.Accepted.Revision
	isNew := false
	leader.update(name, func(record *record) {
		isNew = revision > record.published
		record.published = max(record.published, revision)
	})
	if !isNew {
		return
	}
	spec := status.Accepted.Spec
	leader.controller.options.Publisher.Publish(config.Entry{Service: name, Revision: revision, Spec: &spec})
}

// situation gathers what a decision rests on.
func (leader *leader) situation(object *v1.QueryServiceObject, status *v1.QueryServiceStatus) *situation {
	name, now := object.Metadata.Name, time.Now()
	result := &situation{knownRevision: leader.controller.options.Known.Revision(name)}
	due := false
	leader.update(name, func(record *record) {
		// The object may have been taken from the cache just before the watch showed its end.
		record.deleted = record.deleted && leader.cache.deletedSince(object)
		result.sinceReport = now.Sub(record.reportedAt)
		if record.tombstoneUID == object.Metadata.UID {
			result.tombstone = record.tombstone
		}
		revision, everywhere := revisionToFollow(status, result.tombstone)
		record.spread.follow(revision, everywhere, now)
		result.spread = record.spread.spread()
		due = record.spread.due(now)
	})
	if due {
		leader.measures.add(name)
	}
	return result
}

// revisionToFollow is the tombstone's, or the accepted one; the status may
// tell that every member has it.
func revisionToFollow(status *v1.QueryServiceStatus, tombstone int64) (revision int64, everywhere bool) {
	if tombstone > 0 || status.Accepted == nil {
		return tombstone, false
	}
	inForce := findCondition(status.Conditions, v1.ConditionInForce)
	return status.Accepted.Revision, inForce != nil && inForce.Status == v1.ConditionTrue
}

func (leader *leader) carryOut(ctx context.Context, object *v1.QueryServiceObject, status v1.QueryServiceStatus, next step) error {
	switch next.kind {
	case stepAddFinalizer:
		return leader.writeFinalizers(ctx, object, append(slices.Clone(object.Metadata.Finalizers), v1.Finalizer))
	case stepAccept:
		return leader.accept(ctx, object, status, next)
	case stepRefuse:
		leader.controller.metrics.accepted.WithLabelValues("false").Inc()
		klog.InfoS("resource refused", "service", object.Metadata.Name, "generation", object.Metadata.Generation, "error", joinFaults(next.faults))
		return leader.writeStatus(ctx, object, refusedStatus(status, object.Metadata.Generation, next.faults, time.Now()))
	case stepReport:
		return leader.report(ctx, object, reportedStatus(status, *next.spread, time.Now()))
	case stepTombstone:
		return leader.publishTombstone(object.Metadata.Name, object.Metadata.UID, &status)
	default:
		return leader.writeFinalizers(ctx, object, withoutFinalizer(object.Metadata.Finalizers))
	}
}

// accept writes a new revision. It is published when the reply, or a later
// read, has shown that it stands.
func (leader *leader) accept(ctx context.Context, object *v1.QueryServiceObject, status v1.QueryServiceStatus, next step) error {
	name := object.Metadata.Name
	revision, err := leader.nextRevision(name, &status)
	if err != nil {
		return err
	}
	accepted := v1.Accepted{Generation: next.generation, Revision: revision, Spec: *next.spec}
	err = leader.writeStatus(ctx, object, acceptedStatus(status, accepted, object.Metadata.Generation, time.Now()))
	if err == nil {
		leader.controller.metrics.accepted.WithLabelValues("true").Inc()
		klog.InfoS("resource accepted", "service", name, "generation", next.generation, "revision", revision)
	}
	return err
}

// nextRevision is above everything accepted or known of the service.
func (leader *leader) nextRevision(name string, status *v1.QueryServiceStatus) (int64, error) {
	above := leader.controller.options.Known.Revision(name)
	if status.Accepted != nil {
		above = max(above, status.Accepted.Revision)
	}
	revision, possible := leader.revisions.next(above)
	if !possible {
		leader.controller.elector.raiseEpoch(max(epochOf(above), leader.revisions.epoch))
		return 0, errEpochTooLow
	}
	return revision, nil
}

func (leader *leader) report(ctx context.Context, object *v1.QueryServiceObject, status v1.QueryServiceStatus) error {
	err := leader.writeStatus(ctx, object, status)
	if err == nil {
		leader.update(object.Metadata.Name, func(record *record) { record.reportedAt = time.Now() })
	}
	return err
}

// publishTombstone ends a service on every member. The finalizer stays until it
// has spread.
func (leader *leader) publishTombstone(name, uid string, status *v1.QueryServiceStatus) error {
	revision, err := leader.nextRevision(name, status)
	if err != nil {
		return err
	}
	leader.controller.options.Publisher.Publish(config.Entry{Service: name, Revision: revision, Deleted: true})
	leader.update(name, func(record *record) {
		record.published = revision
		record.tombstone, record.tombstoneUID = revision, uid
	})
	klog.InfoS("service deleted, tombstone published", "service", name, "revision", revision)
	return nil
}

// bury publishes a tombstone for a service that somebody deleted past the
// finalizer. A service that is merely missing stays in force.
func (leader *leader) bury(name string) error {
	deleted := false
	leader.update(name, func(record *record) {
		deleted = record.deleted
		record.spread = spreadTracker{}
	})
	if _, inForce := leader.controller.options.Known.Service(name); !inForce || !deleted {
		return nil
	}
	return leader.publishTombstone(name, "", &v1.QueryServiceStatus{})
}

func (leader *leader) writeFinalizers(ctx context.Context, object *v1.QueryServiceObject, finalizers []string) error {
	wanted := *object
	wanted.Metadata.Finalizers = finalizers
	return leader.write(ctx, &wanted, leader.client.Update)
}

func (leader *leader) writeStatus(ctx context.Context, object *v1.QueryServiceObject, status v1.QueryServiceStatus) error {
	encoded, err := json.Marshal(status)
	if err != nil {
		return errors.Wrap(err, "encode status")
	}
	wanted := *object
	wanted.Status = encoded
	return leader.write(ctx, &wanted, leader.client.UpdateStatus)
}

// send is Update or UpdateStatus of the collection.
type send func(context.Context, *v1.QueryServiceObject) (*v1.QueryServiceObject, error)

// write sends one compare-and-set while the lease is held. After any failure
// the resource is read before anything else is done about it.
func (leader *leader) write(ctx context.Context, wanted *v1.QueryServiceObject, send send) error {
	name := wanted.Metadata.Name
	if epoch, held := leader.controller.elector.held(); !held || epoch != leader.revisions.epoch {
		return errors.New("the lease has lapsed")
	}
	written, err := send(ctx, wanted)
	leader.controller.metrics.writes.WithLabelValues(resultOf(err)).Inc()
	if err != nil {
		leader.cache.drop(name)
		return err
	}
	if written.Metadata.DeletionTimestamp != nil && len(written.Metadata.Finalizers) == 0 {
		leader.cache.drop(name) // that write ended it
		return nil
	}
	leader.cache.put(written)
	return nil
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return resultWritten
	case platform.IsConflict(err):
		return resultConflict
	case platform.IsUncertain(err):
		return resultUncertain
	default:
		return resultFailed
	}
}

func withoutFinalizer(finalizers []string) []string {
	return slices.DeleteFunc(slices.Clone(finalizers), func(name string) bool { return name == v1.Finalizer })
}
