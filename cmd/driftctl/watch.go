package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/platform"
)

// watchPause stands before a watch that ended is opened again.
const watchPause = 500 * time.Millisecond

// errEnough ends a watch whose caller has seen what it wanted.
var errEnough = errors.New("seen")

// watchVisitor takes one event; an error ends the watch.
type watchVisitor func(event platform.Event[v1.QueryServiceObject]) error

// follow shows every object as an ADDED event, and then what happens, until
// the visitor returns an error or ctx ends. A watch that ends is opened again.
func follow(ctx context.Context, services *platform.Collection[v1.QueryServiceObject], visit watchVisitor) error {
	version, err := visitList(ctx, services, visit)
	for err == nil {
		version, err = visitWatch(ctx, services, version, visit)
		if platform.IsGone(err) {
			version, err = visitList(ctx, services, visit)
		}
		if answered := (*platform.Error)(nil); errors.As(err, &answered) && ctx.Err() == nil {
			err = pause(ctx, watchPause)
		}
	}
	if errors.Is(err, errEnough) {
		return nil
	}
	return err
}

func visitList(ctx context.Context, services *platform.Collection[v1.QueryServiceObject], visit watchVisitor) (string, error) {
	listed, err := services.List(ctx)
	if err != nil {
		return "", err
	}
	for index := range listed.Items {
		event := platform.Event[v1.QueryServiceObject]{Type: platform.EventAdded, Object: &listed.Items[index]}
		if err := visit(event); err != nil {
			return "", err
		}
	}
	return listed.Metadata.ResourceVersion, nil
}

// visitWatch returns the version after the last event.
func visitWatch(ctx context.Context, services *platform.Collection[v1.QueryServiceObject], version string, visit watchVisitor) (string, error) {
	watch, err := services.Watch(ctx, version)
	if err != nil {
		return version, err
	}
	defer watch.Close()
	for {
		event, err := watch.Next()
		if err != nil {
			return version, err
		}
		version = event.ResourceVersion
		if event.Object == nil {
			continue
		}
		if err := visit(event); err != nil {
			return version, err
		}
	}
}

func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (application *application) watchCommand() *ff.Command {
	return &ff.Command{
		Name:      "watch",
		Usage:     "driftctl watch [NAME...] [FLAGS]",
		ShortHelp: "print each change until interrupted; -o json gives one object a line",
		Flags:     application.newFlags("watch"),
		Exec: func(ctx context.Context, names []string) error {
			client := application.client()
			defer client.Close()
			printer := &watchPrinter{application: application}
			err := follow(ctx, client.QueryServiceObjects, func(event platform.Event[v1.QueryServiceObject]) error {
				if !isNamed(names, event.Object.Metadata.Name) {
					return nil
				}
				return printer.print(event)
			})
			if ctx.Err() != nil {
				return nil // interrupted
			}
			return err
		},
	}
}

func isNamed(names []string, name string) bool {
	for _, wanted := range names {
		if wanted == name {
			return true
		}
	}
	return len(names) == 0
}

// watchPrinter prints events, in the table under one header.
type watchPrinter struct {
	application *application
	begun       bool
}

// watchLine is an event as JSON.
type watchLine struct {
	Type   platform.EventType     `json:"type"`
	Object *v1.QueryServiceObject `json:"object"`
}

func (printer *watchPrinter) print(event platform.Event[v1.QueryServiceObject]) error {
	line := watchLine{Type: event.Type, Object: event.Object}
	switch printer.application.outputFormat {
	case formatJSON:
		return json.NewEncoder(printer.application.output).Encode(line)
	case formatYAML:
		if printer.begun {
			fmt.Fprintln(printer.application.output, "---")
		}
		printer.begun = true
		return printer.application.printValue(line)
	}
	if !printer.begun {
		printer.begun = true
		printer.printRow(append([]string{"EVENT"}, objectHeader()...))
	}
	printer.printRow(append([]string{string(event.Type)}, objectRow(event.Object)...))
	return nil
}

// watchColumnWidth aligns rows that are printed one by one.
const watchColumnWidth = 12

func (printer *watchPrinter) printRow(columns []string) {
	var row strings.Builder
	for _, column := range columns {
		fmt.Fprintf(&row, "%-*s ", watchColumnWidth, column)
	}
	fmt.Fprintln(printer.application.output, strings.TrimRight(row.String(), " "))
}
