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

// maxSteps bounds the steps for one resource before others are processed.
const maxSteps = 8

// errEpochTooLow means that a revision in force is above all revisions of this epoch.
var errEpochTooLow = errors.New("the lease's epoch is lower than that of a revision in force")

// reconcile performs steps for one resource until there is nothing left to do.
func (leader *leader) reconcile(ctx context.Context, name string) error {
	for range maxSteps {
		object, err := leader.read(ctx, name)
		if err != nil {
			return err
		}
		if object == nil {
			return leader.handleMissing(name)
		}
		status, err := object.DecodeStatus()
		if err != nil {
			klog.ErrorS(err, "status cannot be decoded and will be rewritten", "service", name)
		}
		leader.publishAccepted(object, &status)
		next := decide(object, &status, leader.decisionInput(object, &status))
		if next.kind == stepNone {
			return nil
		}
		err = leader.perform(ctx, object, status, next)
		if err != nil && !platform.IsConflict(err) {
			return err
		}
	}
	leader.queue.add(name)
	return nil
}

// read returns the resource from the cache or reads it; nil if it does not exist.
func (leader *leader) read(ctx context.Context, name string) (*v1.QueryServiceObject, error) {
	if cached := leader.cache.get(name); cached != nil {
		return cached, nil
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

// publishAccepted publishes the revision accepted in the Object API, once per epoch,
// because the previous leader may have crashed before publishing it.
func (leader *leader) publishAccepted(object *v1.QueryServiceObject, status *v1.QueryServiceStatus) {
	if status.Accepted == nil || object.Metadata.DeletionTimestamp != nil {
		return
	}
	name, revision := object.Metadata.Name, status.Accepted.Revision
	isNew := false
	leader.updateRecord(name, func(record *record) {
		isNew = revision > record.published
		record.published = max(record.published, revision)
	})
	if !isNew {
		return
	}
	spec := status.Accepted.Spec
	leader.controller.options.Publisher.Publish(config.Entry{Service: name, Revision: revision, Spec: &spec})
}

// decisionInput collects the input of a decision.
func (leader *leader) decisionInput(object *v1.QueryServiceObject, status *v1.QueryServiceStatus) *decisionInput {
	name, now := object.Metadata.Name, time.Now()
	result := &decisionInput{knownRevision: leader.controller.options.Config.Revision(name)}
	due := false
	leader.updateRecord(name, func(record *record) {
		// The object may have been read from the cache just before the watch reported its deletion.
		record.deleted = record.deleted && leader.cache.deletedSince(object)
		result.sinceReport = now.Sub(record.reportedAt)
		if record.tombstoneUID == object.Metadata.UID {
			result.tombstone = record.tombstone
		}
		revision, everywhere := revisionToTrack(status, result.tombstone)
		record.tracker.track(revision, everywhere, now)
		result.propagation = record.tracker.latest()
		due = record.tracker.due(now)
	})
	if due {
		leader.propagationChecks.add(name)
	}
	return result
}

// revisionToTrack returns the revision of the tombstone or the accepted revision,
// and whether the status says that every member holds it.
func revisionToTrack(status *v1.QueryServiceStatus, tombstone int64) (revision int64, everywhere bool) {
	if tombstone > 0 || status.Accepted == nil {
		return tombstone, false
	}
	inForce := findCondition(status.Conditions, v1.ConditionInForce)
	return status.Accepted.Revision, inForce != nil && inForce.Status == v1.ConditionTrue
}

func (leader *leader) perform(ctx context.Context, object *v1.QueryServiceObject, status v1.QueryServiceStatus, next step) error {
	switch next.kind {
	case stepAddFinalizer:
		return leader.writeFinalizers(ctx, object, append(slices.Clone(object.Metadata.Finalizers), v1.Finalizer))
	case stepAccept:
		return leader.accept(ctx, object, status, next)
	case stepRefuse:
		leader.controller.metrics.accepted.WithLabelValues("false").Inc()
		klog.InfoS("resource refused", "service", object.Metadata.Name, "generation", object.Metadata.Generation, "error", joinFieldErrors(next.fieldErrors))
		return leader.writeStatus(ctx, object, refusedStatus(status, object.Metadata.Generation, next.fieldErrors, time.Now()))
	case stepReport:
		return leader.report(ctx, object, reportedStatus(status, *next.propagation, time.Now()))
	case stepTombstone:
		return leader.publishTombstone(object.Metadata.Name, object.Metadata.UID, &status)
	default:
		return leader.writeFinalizers(ctx, object, withoutFinalizer(object.Metadata.Finalizers))
	}
}

// accept writes a new revision. It is published after the reply, or a later read,
// has confirmed the write.
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

// nextRevision returns a revision above all accepted or known ones of the service.
func (leader *leader) nextRevision(name string, status *v1.QueryServiceStatus) (int64, error) {
	above := leader.controller.options.Config.Revision(name)
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
		leader.updateRecord(object.Metadata.Name, func(record *record) { record.reportedAt = time.Now() })
	}
	return err
}

// publishTombstone removes a service from every member. The finalizer is kept until
// the tombstone has been propagated.
func (leader *leader) publishTombstone(name, uid string, status *v1.QueryServiceStatus) error {
	revision, err := leader.nextRevision(name, status)
	if err != nil {
		return err
	}
	leader.controller.options.Publisher.Publish(config.Entry{Service: name, Revision: revision, Deleted: true})
	leader.updateRecord(name, func(record *record) {
		record.published = revision
		record.tombstone, record.tombstoneUID = revision, uid
	})
	klog.InfoS("service deleted, tombstone published", "service", name, "revision", revision)
	return nil
}

// handleMissing publishes a tombstone for a service that was deleted despite the
// finalizer. A service that is only missing stays in force.
func (leader *leader) handleMissing(name string) error {
	deleted := false
	leader.updateRecord(name, func(record *record) {
		deleted = record.deleted
		record.tracker = propagationTracker{}
	})
	if _, inForce := leader.controller.options.Config.Service(name); !inForce || !deleted {
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

// write sends one compare-and-set while the lease is held. After any failure the
// resource is read again before the next step.
func (leader *leader) write(ctx context.Context, wanted *v1.QueryServiceObject, send send) error {
	name := wanted.Metadata.Name
	if epoch, held := leader.controller.elector.held(); !held || epoch != leader.revisions.epoch {
		return errors.New("the lease is no longer held")
	}
	written, err := send(ctx, wanted)
	leader.controller.metrics.writes.WithLabelValues(resultOf(err)).Inc()
	if err != nil {
		leader.cache.drop(name)
		return err
	}
	if written.Metadata.DeletionTimestamp != nil && len(written.Metadata.Finalizers) == 0 {
		leader.cache.drop(name) // the write completed the deletion
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
