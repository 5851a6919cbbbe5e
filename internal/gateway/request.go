package gateway

import (
	"bytes"
	"regexp"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/verdict"
)

// Request headers. All of them are optional.
const (
	// HeaderRequestID identifies the request in answers, logs and back ends.
	HeaderRequestID = "Driftstage-Request-Id"
	// HeaderTimeout is how long the caller waits, such as 250ms.
	HeaderTimeout = "Driftstage-Timeout"
	// HeaderRepeatable is false for a request that must run at most once.
	HeaderRepeatable = "Driftstage-Repeatable"
	// HeaderClass is interactive or batch.
	HeaderClass = "Driftstage-Class"
	// HeaderMinimumCoverage overrides the service's minimum, 0 to 1.
	HeaderMinimumCoverage = "Driftstage-Min-Coverage"
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// parseQuery parses the headers and copies the body, whose buffer fasthttp reuses.
func parseQuery(ctx *fasthttp.RequestCtx, service *config.Service) (scatter.Query, error) {
	spec := service.Spec
	query := scatter.Query{
		Service:    service,
		Timeout:    time.Duration(spec.Deadlines.Default),
		Repeatable: true,
		Class:      spec.Class,
	}
	if len(ctx.PostBody()) > spec.Limits.BodyBytes {
		return query, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body of %d bytes, the service's limit is %d", len(ctx.PostBody()), spec.Limits.BodyBytes)
	}
	parsers := []func(*fasthttp.RequestHeader, *scatter.Query) error{
		parseRequestID, parseTimeout, parseRepeatable, parseClass, parseMinimumCoverage,
	}
	for _, parse := range parsers {
		if err := parse(&ctx.Request.Header, &query); err != nil {
			return query, err
		}
	}
	query.Body = bytes.Clone(ctx.PostBody())
	return query, nil
}

func invalidHeader(header, got, want string) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s: %q: want %s", header, got, want)
}

func parseRequestID(header *fasthttp.RequestHeader, query *scatter.Query) error {
	text := string(header.Peek(HeaderRequestID))
	if text == "" {
		query.RequestID = ulid.Make().String()
		return nil
	}
	if !requestIDPattern.MatchString(text) {
		return invalidHeader(HeaderRequestID, text, "1 to 64 letters, digits, '.', '_', ':' or '-'")
	}
	query.RequestID = text
	return nil
}

func parseTimeout(header *fasthttp.RequestHeader, query *scatter.Query) error {
	text := string(header.Peek(HeaderTimeout))
	if text == "" {
		return nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return invalidHeader(HeaderTimeout, text, "a duration above zero, such as 250ms")
	}
	query.Timeout = min(timeout, time.Duration(query.Service.Spec.Deadlines.Maximum))
	return nil
}

func parseRepeatable(header *fasthttp.RequestHeader, query *scatter.Query) error {
	switch text := string(header.Peek(HeaderRepeatable)); text {
	case "", "true":
		query.Repeatable = true
	case "false":
		query.Repeatable = false
	default:
		return invalidHeader(HeaderRepeatable, text, "true or false")
	}
	return nil
}

func parseClass(header *fasthttp.RequestHeader, query *scatter.Query) error {
	switch text := string(header.Peek(HeaderClass)); text {
	case "":
	case string(v1.ClassInteractive), string(v1.ClassBatch):
		query.Class = v1.Class(text)
	default:
		return invalidHeader(HeaderClass, text, "interactive or batch")
	}
	return nil
}

func parseMinimumCoverage(header *fasthttp.RequestHeader, query *scatter.Query) error {
	text := string(header.Peek(HeaderMinimumCoverage))
	if text == "" {
		return nil
	}
	minimum, err := strconv.ParseFloat(text, 64)
	if err != nil || !(minimum >= 0 && minimum <= 1) {
		return invalidHeader(HeaderMinimumCoverage, text, "a number from 0 to 1")
	}
	query.MinimumCoverage = &minimum
	return nil
}
