package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v4"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/platform"
)

// deletePollInterval is the time between reads while waiting for a deletion.
const deletePollInterval = 200 * time.Millisecond

// deleteFlags are the flags of driftctl delete.
type deleteFlags struct {
	resourceVersion string
	wait            bool
	timeout         time.Duration
}

func (application *application) deleteCommand() *ff.Command {
	var options deleteFlags
	flags := application.newFlags("delete")
	flags.StringVar(&options.resourceVersion, 0, "resource-version", "", "delete only this version")
	flags.BoolVar(&options.wait, 0, flagWait, "wait until the resource is gone")
	flags.DurationVar(&options.timeout, 0, "timeout", defaultWaitTimeout, "bound on --wait")
	return &ff.Command{
		Name:      "delete",
		Usage:     "driftctl delete NAME [FLAGS]",
		ShortHelp: "delete a service",
		LongHelp: "The resource is gone when the deletion has reached the nodes. A change between the\n" +
			"read and the deletion is a conflict: nothing is deleted.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return fail(exitUsage, "delete takes one name, got %q", args)
			}
			return application.delete(ctx, args[0], options)
		},
	}
}

func (application *application) delete(ctx context.Context, name string, options deleteFlags) error {
	client := application.client()
	defer client.Close()
	services := client.QueryServiceObjects
	before, err := services.Get(ctx, name)
	if err != nil {
		return err
	}
	deletion := &deletion{services: services, before: before, version: before.Metadata.ResourceVersion}
	if options.resourceVersion != "" {
		deletion.version, deletion.pinned = options.resourceVersion, true
	}
	if err := deletion.run(ctx); err != nil {
		return err
	}
	fmt.Fprintln(application.output, name, "deletion begun")
	if !options.wait {
		return nil
	}
	return application.awaitDeletion(ctx, services.Get, name, before.Metadata.UID, options.timeout)
}

// deletion requests that a resource be deleted, unless its spec has changed since it
// was read or a pinned version is not the current one.
type deletion struct {
	services *platform.Collection[v1.QueryServiceObject]
	before   *v1.QueryServiceObject
	// version is the resource version to delete.
	version string
	// pinned is set if the operator has specified the version.
	pinned bool
}

// run retries only while no other client has changed the spec.
func (deletion *deletion) run(ctx context.Context) error {
	name := deletion.before.Metadata.Name
	for range maxWriteAttempts {
		err := deletion.services.Delete(ctx, name, deletion.version)
		if err == nil || platform.IsNotFound(err) {
			return nil
		}
		if !platform.IsConflict(err) && !platform.IsUncertain(err) {
			return err
		}
		begun, err := deletion.readBack(ctx, err)
		if begun || err != nil {
			return err
		}
	}
	return fail(exitConflict, "%s: still changing after %d attempts", name, maxWriteAttempts)
}

// readBack reads the resource after a failed deletion. It reports whether the
// deletion has begun nevertheless, and returns an error if the resource was changed
// without the operator having seen it.
func (deletion *deletion) readBack(ctx context.Context, cause error) (bool, error) {
	name := deletion.before.Metadata.Name
	current, err := deletion.services.Get(ctx, name)
	switch {
	case platform.IsNotFound(err):
		return true, nil
	case err != nil && platform.IsUncertain(cause):
		return false, fail(exitUncertain, "%s: the deletion may have taken effect, and it cannot be read: %v", name, err)
	case err != nil:
		return false, err
	case current.Metadata.DeletionTimestamp != nil:
		return true, nil
	case deletion.pinned && current.Metadata.ResourceVersion != deletion.version, !sameObject(deletion.before, current):
		return false, fail(exitConflict, "%s: changed since version %s was read: it is at version %s, generation %d; nothing was deleted",
			name, deletion.version, current.Metadata.ResourceVersion, current.Metadata.Generation)
	}
	deletion.version = current.Metadata.ResourceVersion // only the status changed
	return false, nil
}
