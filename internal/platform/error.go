package platform

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/driftstage/driftstage/internal/verdict"
)

// Error describes a failed request to the platform.
type Error struct {
	// Verdict states whether the request may have taken effect. After
	// MayHaveRun the object must be read before any further write.
	Verdict verdict.Verdict
	// Status is the HTTP status, or zero if no complete reply arrived.
	Status  int
	Reason  string
	Message string
}

// Error returns the reason, the verdict and the message on one line.
func (e *Error) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("platform: %s (%s): %s", e.Reason, e.Verdict, e.Message)
	}
	return fmt.Sprintf("platform: %d %s (%s): %s", e.Status, e.Reason, e.Verdict, e.Message)
}

// IsNotFound reports whether the object does not exist.
func IsNotFound(err error) bool { return hasStatus(err, http.StatusNotFound) }

// IsConflict reports whether the object has changed since it was read, or already exists.
func IsConflict(err error) bool { return hasStatus(err, http.StatusConflict) }

// IsGone reports whether the resource version of a watch is too old, so that a new list is needed.
func IsGone(err error) bool { return hasStatus(err, http.StatusGone) }

// IsUncertain reports whether a write may have taken effect although it failed.
func IsUncertain(err error) bool { return err != nil && verdict.Of(err) == verdict.MayHaveRun }

func hasStatus(err error, status int) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == status
}

// Unwrap returns the error as a verdict.Error, for verdict.Of.
func (e *Error) Unwrap() error {
	return verdict.New(e.Verdict, verdict.CodeUnreachable, "%s", e.Message)
}

// errorReply is the body of an error reply (the Status object of the Kubernetes conventions).
type errorReply struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// newStatusError returns the error of a reply. Below 500 the platform has rejected
// the request; from 500 on the request may have been carried out in part.
func newStatusError(status int, reply errorReply) *Error {
	result := verdict.NotRun
	if status >= http.StatusInternalServerError {
		result = verdict.MayHaveRun
	}
	return &Error{Verdict: result, Status: status, Reason: reply.Reason, Message: reply.Message}
}
