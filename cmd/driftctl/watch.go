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

// rewatchDelay is the delay before a watch that has ended is opened again.
const rewatchDelay = 500 * time.Millisecond

// errStopWatch is returned by a visitor to end the watch without an error.
var errStopWatch = errors.New("seen")

// watchVisitor handles one event; an error ends the watch.
type watchVisitor func(event platform.Event[v1.QueryServiceObject]) error

// follow passes every existing object to the visitor as an ADDED event, and then
// every change, until the visitor returns an error or ctx is done. A watch that
// ends is opened again.
func follow(ctx context.Context, services *platform.Collection[v1.QueryServiceObject], visit watchVisitor) error {
	version, err := visitList(ctx, services, visit)
	for err == nil {
		version, err = visitWatch(ctx, services, version, visit)
		if platform.IsGone(err) {
			version, err = visitList(ctx, services, visit)
		}
		if failed := (*platform.Error)(nil); errors.As(err, &failed) && ctx.Err() == nil {
			err = sleep(ctx, rewatchDelay)
		}
	}
	if errors.Is(err, errStopWatch) {
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

// visitWatch returns the resource version after the last event.
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

func sleep(ctx context.Context, duration time.Duration) error {
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
				if !matchesNames(names, event.Object.Metadata.Name) {
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

func matchesNames(names []string, name string) bool {
	for _, wanted := range names {
		if wanted == name {
			return true
		}
	}
	return len(names) == 0
}

// watchPrinter prints events; tables have one header for all of them.
type watchPrinter struct {
	application *application
	started     bool
}

// watchLine is an event in JSON and YAML output.
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
		if printer.started {
			fmt.Fprintln(printer.application.output, "---")
		}
		printer.started = true
		return printer.application.printValue(line)
	}
	if !printer.started {
		printer.started = true
		printer.printRow(append([]string{"EVENT"}, objectHeader()...))
	}
	printer.printRow(append([]string{string(event.Type)}, objectRow(event.Object)...))
	return nil
}

// watchColumnWidth is the column width of rows that are printed one at a time.
const watchColumnWidth = 12

func (printer *watchPrinter) printRow(columns []string) {
	var row strings.Builder
	for _, column := range columns {
		fmt.Fprintf(&row, "%-*s ", watchColumnWidth, column)
	}
	fmt.Fprintln(printer.application.output, strings.TrimRight(row.String(), " "))
}
