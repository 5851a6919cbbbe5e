package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Code names the cause of a failure. Codes appear in answers (as the reason of
// a missing shard), logs and metrics, and never change their meaning.
type Code string

const (
	// CodeInvalid is a request that can not be understood.
	CodeInvalid Code = "invalid"
	// CodeUnknownService is a request for a service without accepted resource.
	CodeUnknownService Code = "unknown_service"
	// CodeTooLarge is a body over the limit of the service.
	CodeTooLarge Code = "too_large"
	// CodeOverloaded is a refusal by a full queue or a limit.
	CodeOverloaded Code = "overloaded"
	// CodeShed is a refusal by the back end itself.
	CodeShed Code = "shed"
	// CodeDraining is a refusal by a node or server that is leaving.
	CodeDraining Code = "draining"
	// CodeDeadline is work that can not, or did not, end in time.
	CodeDeadline Code = "deadline"
	// CodeCanceled is work that its sender has given up.
	CodeCanceled Code = "canceled"
	// CodeUnreachable is a peer to which no connection could be made.
	CodeUnreachable Code = "unreachable"
	// CodeLost is a connection that failed after the first byte was written.
	CodeLost Code = "lost"
	// CodeBadReply is a reply that is truncated or not for this request.
	CodeBadReply Code = "bad_reply"
	// CodeVersionNotHeld is a back end without the pinned index version.
	CodeVersionNotHeld Code = "version_not_held"
	// CodeRevisionMismatch is an owner that works by another shard map.
	CodeRevisionMismatch Code = "revision_mismatch"
	// CodeNotReady is a node that has not yet learned its configuration.
	CodeNotReady Code = "not_ready"
	// CodeInternal is a fault of driftstage itself.
	CodeInternal Code = "internal"
)

// Error is a failure together with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	Message string
	// RetryAfter is when to come back; zero means no advice.
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

// Of returns the verdict carried by err: NotRun for nil, and MayHaveRun for an
// error that carries none.
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
