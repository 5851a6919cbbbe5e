package main

import (
	"errors"
	"fmt"

	"github.com/driftstage/driftstage/internal/platform"
)

// The exit statuses of failures; see the package comment.
const (
	exitFailure   = 1
	exitUsage     = 2
	exitInvalid   = 3
	exitConflict  = 4
	exitNotFound  = 5
	exitTimeout   = 6
	exitUncertain = 7
)

// failure is an error with its exit status.
type failure struct {
	status  int
	message string
}

// Error returns the message.
func (failure *failure) Error() string { return failure.message }

func fail(status int, format string, args ...any) *failure {
	return &failure{status: status, message: fmt.Sprintf(format, args...)}
}

// exitStatus returns the exit status for an error: that of a failure, or the one
// that corresponds to the platform's reply.
func exitStatus(err error) int {
	var failed *failure
	switch {
	case errors.As(err, &failed):
		return failed.status
	case platform.IsNotFound(err):
		return exitNotFound
	case platform.IsConflict(err):
		return exitConflict
	default:
		return exitFailure
	}
}

// joinFailures returns one failure with all messages and the status of the first.
func joinFailures(failures []error) error {
	if len(failures) == 0 {
		return nil
	}
	return fail(exitStatus(failures[0]), "%v", errors.Join(failures...))
}
