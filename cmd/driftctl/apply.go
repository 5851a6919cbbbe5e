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
	// applyAttempts bounds the writes after conflicts with mere status changes.
	applyAttempts = 10
	// readBackPause stands between reads after a lost reply.
	readBackPause = 200 * time.Millisecond
)

const applyHelp = `Creates or replaces the resources of the files. All of them are checked first; if
one has faults, nothing is written.

A resource that carries metadata.resourceVersion, as printed by "get -o yaml", is
written only if its spec has not changed since; otherwise the differences are
printed and the exit status is 4. One that carries none is written over the
version that stands now, and what it changes is printed. --resource-version
demands that very version.`

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
	writer := &specWriter{client: client.QueryServiceObjects, wanted: document.object, required: options.resourceVersion}
	written, err := writer.write(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(application.output, writer.describe(written))
	if !options.wait {
		return nil
	}
	return application.await(ctx, client, waitFlags{
		name: written.Metadata.Name, condition: string(v1.ConditionInForce),
		timeout: options.timeout, generation: written.Metadata.Generation,
	})
}

// specWriter writes one spec by compare-and-set.
type specWriter struct {
	client *platform.Collection[v1.QueryServiceObject]
	wanted *v1.QueryServiceObject
	// required is the version demanded by the operator, if any.
	required string
	// before is the resource as first read; nil when it did not exist.
	before *v1.QueryServiceObject
	// uncertain tells that a write had no reply.
	uncertain bool
}

// write returns the resource as written. It tries again only while nobody
// else changed the spec.
func (writer *specWriter) write(ctx context.Context) (*v1.QueryServiceObject, error) {
	for attempt := range applyAttempts {
		current, err := writer.read(ctx)
		if err != nil {
			return nil, err
		}
		if attempt == 0 {
			writer.before = current
		}
		if current != nil && writer.isDone(current) {
			return current, nil
		}
		if err := writer.checkConflict(current); err != nil {
			return nil, err
		}
		written, err := writer.send(ctx, current)
		switch {
		case err == nil:
			return written, nil
		case platform.IsUncertain(err):
			writer.uncertain = true
		case !platform.IsConflict(err):
			return nil, err
		}
	}
	return nil, fail(exitConflict, "%s: still changing after %d attempts", writer.wanted.Metadata.Name, applyAttempts)
}

// read returns the resource, nil when there is none. After a write without a
// reply it is tried for as long as ctx and the attempts last.
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
		case attempt == applyAttempts || ctx.Err() != nil:
			return nil, fail(exitUncertain, "%s: the write may have taken effect, and it can not be read: %v", name, err)
		}
		time.Sleep(readBackPause)
	}
}

// isDone tells that the spec stands already, be it by a write without reply.
func (writer *specWriter) isDone(current *v1.QueryServiceObject) bool {
	if current.Metadata.DeletionTimestamp != nil || len(specDifferences(current.Spec, writer.wanted.Spec)) > 0 {
		return false
	}
	_, faults := current.Judge()
	return len(faults) == 0 && (writer.uncertain || writer.required == "" || writer.required == current.Metadata.ResourceVersion)
}

// checkConflict refuses to write over a change that the operator has not seen.
func (writer *specWriter) checkConflict(current *v1.QueryServiceObject) error {
	base := &writer.wanted.Metadata
	if current == nil {
		return writer.checkAbsent()
	}
	if current.Metadata.DeletionTimestamp != nil {
		return fail(exitConflict, "%s: is being deleted; apply it again when it is gone", base.Name)
	}
	switch {
	case writer.required != "":
		if writer.required != current.Metadata.ResourceVersion && !writer.ownRetry(current) {
			return writer.conflict(current, writer.required)
		}
	case base.ResourceVersion != "":
		sameSpec := base.Generation == current.Metadata.Generation && base.UID == current.Metadata.UID
		if base.ResourceVersion != current.Metadata.ResourceVersion && !sameSpec {
			return writer.conflict(current, base.ResourceVersion)
		}
	case writer.before == nil:
		return fail(exitConflict, "%s: somebody else created it meanwhile; nothing was overwritten%s",
			base.Name, writer.differences(current))
	case !sameObject(writer.before, current):
		return writer.conflict(current, writer.before.Metadata.ResourceVersion)
	}
	return nil
}

// ownRetry tells that the version demanded was there when the write began and
// only the status has changed since.
func (writer *specWriter) ownRetry(current *v1.QueryServiceObject) bool {
	return writer.before != nil && writer.before.Metadata.ResourceVersion == writer.required && sameObject(writer.before, current)
}

func sameObject(before, current *v1.QueryServiceObject) bool {
	return before.Metadata.UID == current.Metadata.UID && before.Metadata.Generation == current.Metadata.Generation
}

func (writer *specWriter) checkAbsent() error {
	base := &writer.wanted.Metadata
	if writer.required != "" || base.ResourceVersion != "" || writer.before != nil {
		return fail(exitConflict, "%s: was deleted since it was read; remove metadata.resourceVersion to create it anew", base.Name)
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
	return "\nyour file against what stands:\n  " + strings.Join(differences, "\n  ")
}

func (writer *specWriter) send(ctx context.Context, current *v1.QueryServiceObject) (*v1.QueryServiceObject, error) {
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

// describe tells what was done.
func (writer *specWriter) describe(written *v1.QueryServiceObject) string {
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
