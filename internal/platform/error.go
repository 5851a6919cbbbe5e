package platform

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/driftstage/driftstage/internal/verdict"
)

// Error is a request to the platform that failed.
type Error struct {
	// Verdict tells whether the request may have taken effect. After
	// MayHaveRun the object must be read before anything else is done.
	Verdict verdict.Verdict
	// Status is the HTTP status, or zero when no whole reply arrived.
	Status  int
	Reason  string
	Message string
}

// Error returns the reason, the verdict and the message on one line.
func (failure *Error) Error() string {
	if failure.Status == 0 {
		return fmt.Sprintf("platform: %s (%s): %s", failure.Reason, failure.Verdict, failure.Message)
	}
	return fmt.Sprintf("platform: %d %s (%s): %s", failure.Status, failure.Reason, failure.Verdict, failure.Message)
}

// IsNotFound tells that the object does not exist.
func IsNotFound(err error) bool { return hasStatus(err, http.StatusNotFound) }

// IsConflict tells that the object changed since it was read, or exists already.
func IsConflict(err error) bool { return hasStatus(err, http.StatusConflict) }

// IsGone tells that a watch is too old: list again.
func IsGone(err error) bool { return hasStatus(err, http.StatusGone) }

// IsUncertain tells that a write may have taken effect although it failed.
func IsUncertain(err error) bool { return err != nil && verdict.Of(err) == verdict.MayHaveRun }

func hasStatus(err error, status int) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Status == status
}

// Unwrap gives the failure as a verdict.Error, for verdict.Of.
func (failure *Error) Unwrap() error {
	return verdict.New(failure.Verdict, verdict.CodeUnreachable, "%s", failure.Message)
}

// replyStatus is the body of a refusal (Kubernetes conventions: Status).
type replyStatus struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// newStatusError reads a refusal. Below 500 the platform has refused the
// request; from 500 on it may have failed half way.
func newStatusError(status int, reply replyStatus) *Error {
	result := verdict.NotRun
	if status >= http.StatusInternalServerError {
		result = verdict.MayHaveRun
	}
	return &Error{Verdict: result, Status: status, Reason: reply.Reason, Message: reply.Message}
}
