package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/platform"
)

const (
	flagWait = "wait"
	// maxWriteAttempts bounds the attempts to write or delete a resource: a change
	// of the status alone causes a conflict after which the next attempt can succeed.
	// It also bounds the reads after a write without reply.
	maxWriteAttempts = 10
	// readRetryInterval is the time between reads after a write without reply.
	readRetryInterval = 200 * time.Millisecond
)

const applyHelp = `Creates or replaces the resources of the files. All of them are checked first; if
one is invalid, nothing is written.

A resource that carries metadata.resourceVersion, as printed by "get -o yaml", is
written only if its spec has not changed since; otherwise the differences are
printed and the exit status is 4. One that carries none replaces the current
version, and what it changes is printed. With --resource-version it is written
only if that is the current version.`

// applyFlags are the flags of driftctl apply.
type applyFlags struct {
	files           []string
	resourceVersion string
	wait            bool
	timeout         time.Duration
}

func (application *application) applyCommand() *ff.Command {
	var options applyFlags
	flags := application.newFlags("apply")
	flags.StringListVar(&options.files, 'f', "file", "file with resources in YAML or JSON, - for standard input; may be repeated")
	flags.StringVar(&options.resourceVersion, 0, "resource-version", "", "write only over this version")
	flags.BoolVar(&options.wait, 0, flagWait, "wait until every node applies what was written")
	flags.DurationVar(&options.timeout, 0, "timeout", defaultWaitTimeout, "bound on --wait")
	return &ff.Command{
		Name:      "apply",
		Usage:     "driftctl apply -f FILE [FLAGS]",
		ShortHelp: "create or replace resources",
		LongHelp:  applyHelp,
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fail(exitUsage, "apply takes no arguments, got %q; name files with -f", args)
			}
			return application.apply(ctx, options)
		},
	}
}

func (application *application) apply(ctx context.Context, options applyFlags) error {
	documents, err := application.readDocuments(options.files)
	if err != nil {
		return err
	}
	if err := checkDocuments(documents); err != nil {
		return err
	}
	if options.resourceVersion != "" && len(documents) > 1 {
		return fail(exitUsage, "--resource-version is for one resource, the files hold %d", len(documents))
	}
	client := application.client()
	defer client.Close()
	var failures []error
	for index := range documents {
		if err := application.applyOne(ctx, client, &documents[index], options); err != nil {
			failures = append(failures, err)
		}
	}
	return joinFailures(failures)
}

func (application *application) applyOne(ctx context.Context, client *platform.Client, document *document, options applyFlags) error {
	writer := &specWriter{client: client.QueryServiceObjects, wanted: document.object, requiredVersion: options.resourceVersion}
	written, err := writer.write(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(application.output, writer.summary(written))
	if !options.wait {
		return nil
	}
	return application.await(ctx, client, waitFlags{
		name: written.Metadata.Name, condition: string(v1.ConditionInForce),
		timeout: options.timeout, generation: written.Metadata.Generation,
	})
}

// specWriter writes one spec by conditional writes.
type specWriter struct {
	client *platform.Collection[v1.QueryServiceObject]
	wanted *v1.QueryServiceObject
	// requiredVersion is the resource version that the operator requires, if any.
	requiredVersion string
	// before is the resource as first read; nil if it did not exist.
	before *v1.QueryServiceObject
	// uncertain is set once a write got no reply.
	uncertain bool
}

// write returns the resource as written. It retries only while no other client
// has changed the spec.
func (writer *specWriter) write(ctx context.Context) (*v1.QueryServiceObject, error) {
	for attempt := range maxWriteAttempts {
		current, err := writer.read(ctx)
		if err != nil {
			return nil, err
		}
		if attempt == 0 {
			writer.before = current
		}
		if current != nil && writer.alreadyApplied(current) {
			return current, nil
		}
		if err := writer.checkConflict(current); err != nil {
			return nil, err
		}
		written, err := writer.writeOnce(ctx, current)
		switch {
		case err == nil:
			return written, nil
		case platform.IsUncertain(err):
			writer.uncertain = true
		case !platform.IsConflict(err):
			return nil, err
		}
	}
	return nil, fail(exitConflict, "%s: still changing after %d attempts", writer.wanted.Metadata.Name, maxWriteAttempts)
}

// read returns the resource, or nil if it does not exist. After a write without
// a reply it retries until ctx is done or the attempts are used up.
func (writer *specWriter) read(ctx context.Context) (*v1.QueryServiceObject, error) {
	name := writer.wanted.Metadata.Name
	for attempt := 1; ; attempt++ {
		current, err := writer.client.Get(ctx, name)
		switch {
		case err == nil:
			return current, nil
		case platform.IsNotFound(err):
			return nil, nil
		case !writer.uncertain:
			return nil, err
		case attempt == maxWriteAttempts || ctx.Err() != nil:
			return nil, fail(exitUncertain, "%s: the write may have taken effect, and it cannot be read: %v", name, err)
		}
		time.Sleep(readRetryInterval)
	}
}

// alreadyApplied reports whether the resource has the wanted spec already, possibly
// through an earlier write without reply.
func (writer *specWriter) alreadyApplied(current *v1.QueryServiceObject) bool {
	if current.Metadata.DeletionTimestamp != nil || len(specDifferences(current.Spec, writer.wanted.Spec)) > 0 {
		return false
	}
	_, errs := current.ParseSpec()
	return len(errs) == 0 && (writer.uncertain || writer.requiredVersion == "" || writer.requiredVersion == current.Metadata.ResourceVersion)
}

// checkConflict returns an error if a write would overwrite a change that the
// operator has not seen.
func (writer *specWriter) checkConflict(current *v1.QueryServiceObject) error {
	metadata := &writer.wanted.Metadata
	if current == nil {
		return writer.checkAbsent()
	}
	if current.Metadata.DeletionTimestamp != nil {
		return fail(exitConflict, "%s: is being deleted; apply it again when it is gone", metadata.Name)
	}
	switch {
	case writer.requiredVersion != "":
		if writer.requiredVersion != current.Metadata.ResourceVersion && !writer.onlyStatusChanged(current) {
			return writer.conflict(current, writer.requiredVersion)
		}
	case metadata.ResourceVersion != "":
		sameSpec := metadata.Generation == current.Metadata.Generation && metadata.UID == current.Metadata.UID
		if metadata.ResourceVersion != current.Metadata.ResourceVersion && !sameSpec {
			return writer.conflict(current, metadata.ResourceVersion)
		}
	case writer.before == nil:
		return fail(exitConflict, "%s: another client has created it in the meantime; nothing was overwritten%s",
			metadata.Name, writer.differences(current))
	case !sameObject(writer.before, current):
		return writer.conflict(current, writer.before.Metadata.ResourceVersion)
	}
	return nil
}

// onlyStatusChanged reports whether the required version was the current one when
// the write began and only the status has changed since.
func (writer *specWriter) onlyStatusChanged(current *v1.QueryServiceObject) bool {
	return writer.before != nil && writer.before.Metadata.ResourceVersion == writer.requiredVersion && sameObject(writer.before, current)
}

func sameObject(before, current *v1.QueryServiceObject) bool {
	return before.Metadata.UID == current.Metadata.UID && before.Metadata.Generation == current.Metadata.Generation
}

func (writer *specWriter) checkAbsent() error {
	metadata := &writer.wanted.Metadata
	if writer.requiredVersion != "" || metadata.ResourceVersion != "" || writer.before != nil {
		return fail(exitConflict, "%s: was deleted since it was read; remove metadata.resourceVersion to create it again", metadata.Name)
	}
	return nil
}

func (writer *specWriter) conflict(current *v1.QueryServiceObject, version string) error {
	return fail(exitConflict, "%s: changed since version %s was read: it is at version %s, generation %d; nothing was overwritten%s\n"+
		"read it again with \"driftctl get %s -o yaml\", merge, and apply",
		current.Metadata.Name, version, current.Metadata.ResourceVersion, current.Metadata.Generation,
		writer.differences(current), current.Metadata.Name)
}

func (writer *specWriter) differences(current *v1.QueryServiceObject) string {
	differences := specDifferences(current.Spec, writer.wanted.Spec)
	if len(differences) == 0 {
		return ""
	}
	return "\ndifferences from the current spec to your file:\n  " + strings.Join(differences, "\n  ")
}

func (writer *specWriter) writeOnce(ctx context.Context, current *v1.QueryServiceObject) (*v1.QueryServiceObject, error) {
	object := &v1.QueryServiceObject{
		APIVersion: v1.APIVersion,
		Kind:       v1.KindQueryService,
		Metadata:   v1.ObjectMeta{Name: writer.wanted.Metadata.Name},
		Spec:       writer.wanted.Spec,
	}
	if current == nil {
		return writer.client.Create(ctx, object)
	}
	object.Metadata = current.Metadata
	return writer.client.Update(ctx, object)
}

// summary describes what was done.
func (writer *specWriter) summary(written *v1.QueryServiceObject) string {
	name := written.Metadata.Name
	if writer.before == nil {
		return fmt.Sprintf("%s created", name)
	}
	differences := specDifferences(writer.before.Spec, written.Spec)
	if len(differences) == 0 {
		return fmt.Sprintf("%s unchanged", name)
	}
	return fmt.Sprintf("%s configured, generation %d\n  %s", name, written.Metadata.Generation, strings.Join(differences, "\n  "))
}
