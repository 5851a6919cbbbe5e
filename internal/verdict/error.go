package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Code names the cause of a failure. Codes appear in responses (as the reason of
// a missing shard), logs and metrics, and their meaning never changes.
type Code string

const (
	// CodeInvalid is a malformed request.
	CodeInvalid Code = "invalid"
	// CodeUnknownService is a request for a service without an accepted resource.
	CodeUnknownService Code = "unknown_service"
	// CodeTooLarge is a body over the limit of the service.
	CodeTooLarge Code = "too_large"
	// CodeOverloaded is a rejection because of a full queue or a limit.
	CodeOverloaded Code = "overloaded"
	// CodeShed is load shedding by the back end itself.
	CodeShed Code = "shed"
	// CodeDraining is a rejection by a node or server that is draining.
	CodeDraining Code = "draining"
	// CodeDeadline is work that cannot finish, or did not finish, before its deadline.
	CodeDeadline Code = "deadline"
	// CodeCanceled is work that its sender canceled.
	CodeCanceled Code = "canceled"
	// CodeUnreachable is a peer to which no connection could be made.
	CodeUnreachable Code = "unreachable"
	// CodeLost is a connection that failed after the first byte was written.
	CodeLost Code = "lost"
	// CodeBadReply is a reply that is truncated or not for this request.
	CodeBadReply Code = "bad_reply"
	// CodeVersionNotHeld is a back end without the pinned index version.
	CodeVersionNotHeld Code = "version_not_held"
	// CodeRevisionMismatch is an owner with another revision of the shard map.
	CodeRevisionMismatch Code = "revision_mismatch"
	// CodeNotReady is a node that has not received its configuration yet.
	CodeNotReady Code = "not_ready"
	// CodeInternal is a bug in driftstage itself.
	CodeInternal Code = "internal"
)

// Error is a failure together with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	Message string
	// RetryAfter is the delay before a retry; zero means unspecified.
	RetryAfter time.Duration
}

// New returns an Error with a formatted message.
func New(verdict Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: verdict, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error returns the code, verdict and message on one line.
func (failure *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", failure.Code, failure.Verdict, failure.Message)
}

// Of returns the verdict of err: NotRun for nil, and MayHaveRun for an error
// without a verdict.
func Of(err error) Verdict {
	if err == nil {
		return NotRun
	}
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return MayHaveRun
}

// From returns the Error inside err, or one with MayHaveRun and CodeInternal.
func From(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return New(MayHaveRun, CodeInternal, "%v", err)
}
