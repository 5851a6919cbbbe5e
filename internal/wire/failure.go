package wire

import (
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

func failureMessage(err error) *message.Failure {
	failure := verdict.From(err)
	return &message.Failure{
		Verdict:          int(failure.Verdict),
		Code:             string(failure.Code),
		Reason:           failure.Message,
		RetryAfterMicros: failure.RetryAfter.Microseconds(),
	}
}

func failureError(failure *message.Failure) *verdict.Error {
	return &verdict.Error{
		Verdict:    verdict.Verdict(failure.Verdict),
		Code:       verdict.Code(failure.Code),
		Message:    failure.Reason,
		RetryAfter: time.Duration(failure.RetryAfterMicros) * time.Microsecond,
	}
}
