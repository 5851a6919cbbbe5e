package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v4"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/platform"
)

// waitFlags are the flags of driftctl wait.
type waitFlags struct {
	name      string
	condition string
	timeout   time.Duration
	// generation is the lowest generation that counts; zero means the newest.
	generation int64
}

func (application *application) waitCommand() *ff.Command {
	var options waitFlags
	flags := application.newFlags("wait")
	flags.StringVar(&options.condition, 0, "for", string(v1.ConditionInForce), "Accepted or InForce")
	flags.DurationVar(&options.timeout, 0, "timeout", defaultWaitTimeout, "bound on the wait")
	return &ff.Command{
		Name:      "wait",
		Usage:     "driftctl wait NAME --for=InForce [FLAGS]",
		ShortHelp: "wait until the newest generation of a resource is accepted, or in force on every node",
		LongHelp:  "A generation that the controller rejected ends the wait immediately with exit status 3.",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return fail(exitUsage, "wait takes one name, got %q", args)
			}
			options.name = args[0]
			client := application.client()
			defer client.Close()
			return application.await(ctx, client, options)
		},
	}
}

// await watches a resource until the condition is true for its newest generation.
func (application *application) await(ctx context.Context, client *platform.Client, options waitFlags) error {
	wanted := v1.ConditionType(options.condition)
	if wanted != v1.ConditionAccepted && wanted != v1.ConditionInForce {
		return fail(exitUsage, "--for: want %s or %s, got %q", v1.ConditionAccepted, v1.ConditionInForce, options.condition)
	}
	ctx, cancel := context.WithTimeout(ctx, options.timeout)
	defer cancel()
	if _, err := client.QueryServiceObjects.Get(ctx, options.name); err != nil {
		return application.waitError(ctx, err, options, nil)
	}
	var last *v1.QueryServiceObject
	err := follow(ctx, client.QueryServiceObjects, func(event platform.Event[v1.QueryServiceObject]) error {
		if event.Object.Metadata.Name != options.name {
			return nil
		}
		if event.Type == platform.EventDeleted {
			return fail(exitNotFound, "%s: was deleted", options.name)
		}
		last = event.Object
		return checkProgress(event.Object, wanted, options.generation)
	})
	if err != nil {
		return application.waitError(ctx, err, options, last)
	}
	fmt.Fprintf(application.output, "%s is %s, generation %d\n", options.name, wanted, last.Metadata.Generation)
	return nil
}

// checkProgress returns errStopWatch if the condition is true, nil if it may still
// become true, and a failure if the generation was rejected.
func checkProgress(object *v1.QueryServiceObject, wanted v1.ConditionType, minGeneration int64) error {
	status, err := object.DecodeStatus()
	generation := object.Metadata.Generation
	if err != nil || generation < minGeneration || status.ObservedGeneration != generation {
		return nil
	}
	accepted := findCondition(&status, v1.ConditionAccepted)
	if accepted == nil || accepted.ObservedGeneration != generation {
		return nil
	}
	if accepted.Status == v1.ConditionFalse {
		return fail(exitInvalid, "%s: generation %d was rejected: %s", object.Metadata.Name, generation, accepted.Message)
	}
	condition := findCondition(&status, wanted)
	if condition == nil || condition.Status != v1.ConditionTrue || condition.ObservedGeneration != generation {
		return nil
	}
	return errStopWatch
}

// waitError returns a timeout failure if the deadline has passed, or else err.
func (application *application) waitError(ctx context.Context, err error, options waitFlags, last *v1.QueryServiceObject) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	state := "it could not be read"
	if last != nil {
		state = "it is at " + waitState(last)
	}
	return fail(exitTimeout, "%s: not %s within %v; %s", options.name, options.condition, options.timeout, state)
}

func waitState(object *v1.QueryServiceObject) string {
	status, err := object.DecodeStatus()
	if err != nil {
		return "a status that cannot be decoded"
	}
	return fmt.Sprintf("generation %d, Accepted %s, InForce %s, %d of %d nodes, lagging %v",
		object.Metadata.Generation, acceptedText(object, &status), conditionText(&status, v1.ConditionInForce),
		status.Nodes.Applied, status.Nodes.Total, status.Nodes.Lagging)
}

// getter reads one resource.
type getter func(ctx context.Context, name string) (*v1.QueryServiceObject, error)

// awaitDeletion waits until the object with this UID is deleted.
func (application *application) awaitDeletion(ctx context.Context, get getter, name, uid string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		current, err := get(ctx, name)
		if platform.IsNotFound(err) || err == nil && current.Metadata.UID != uid {
			fmt.Fprintln(application.output, name, "deleted")
			return nil
		}
		if sleep(ctx, deletePollInterval) != nil {
			return fail(exitTimeout, "%s: not gone within %v", name, timeout)
		}
	}
}
