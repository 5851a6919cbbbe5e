package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/explain"
)

func (application *application) explainCommand() *ff.Command {
	return &ff.Command{
		Name:      "explain",
		Usage:     "driftctl explain REQUEST [FILE...]",
		ShortHelp: "print what logs contain about a request (standard input without files)",
		LongHelp: `Prints each logged decision that touched the request, in order and over all
nodes. The first one that departs from an ordinary request is marked with ">".`,
		Flags: application.newFlags("explain"),
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) == 0 {
				return fail(exitUsage, "explain takes the id of a request")
			}
			return application.explain(arguments[0], arguments[1:])
		},
	}
}

func (application *application) explain(request string, paths []string) error {
	source, closeAll, err := application.openLogs(paths)
	if err != nil {
		return fail(exitUsage, "%v", err)
	}
	defer closeAll()
	timeline, err := explain.Read(source, request)
	if err != nil {
		return err
	}
	found, err := timeline.Write(application.output)
	if err == nil && !found {
		return fail(exitNotFound, "no log line of request %q; ordinary requests are only sampled", request)
	}
	return err
}

// openLogs returns the concatenated logs, or standard input if there are no paths, and
// a function that closes the files.
func (application *application) openLogs(paths []string) (io.Reader, func(), error) {
	if len(paths) == 0 {
		return application.input, func() {}, nil
	}
	var files []*os.File
	closeAll := func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	var readers []io.Reader
	var errs []error
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		files = append(files, file)
		readers = append(readers, file)
	}
	if len(errs) > 0 {
		closeAll()
		return nil, nil, errors.Join(errs...)
	}
	return io.MultiReader(readers...), closeAll, nil
}
