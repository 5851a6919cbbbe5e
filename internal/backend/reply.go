package backend

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/valyala/fasthttp"
)

// interpret converts a complete reply into a result. The second result reports
// whether the reply is certainly the one to this request; otherwise its connection
// must not be reused.
func interpret(request *Request, attempt string, reply *fasthttp.Response) (Result, bool) {
	header := &reply.Header
	result := Result{
		Draining:      string(header.Peek(HeaderDraining)) == valueTrue,
		SnapshotsHeld: parseList(string(header.Peek(HeaderSnapshotsHeld))),
	}
	requestID := string(header.Peek(HeaderRequestID))
	matches := requestID == request.RequestID
	if requestID != "" && !matches {
		result.Failure = verdict.New(verdict.MayHaveRun, verdict.CodeBadReply, "reply is for request %q", requestID)
		result.SnapshotsHeld = nil
		return result, false
	}
	if attemptID := string(header.Peek(HeaderAttemptID)); attemptID != "" && attemptID != attempt {
		result.Failure = verdict.New(verdict.MayHaveRun, verdict.CodeBadReply, "reply is for attempt %q", attemptID)
		return result, false
	}
	if reply.StatusCode() != fasthttp.StatusOK {
		result.Failure = refusal(reply)
		return result, matches
	}
	if !matches {
		result.Failure = verdict.New(verdict.MayHaveRun, verdict.CodeBadReply, "reply names no request")
		return result, false
	}
	result.Failure = readParts(request, reply, &result)
	return result, result.Failure == nil
}

// refusal converts a reply with a status other than 200. It is NotRun only if the
// server says so explicitly.
func refusal(reply *fasthttp.Response) *verdict.Error {
	header := &reply.Header
	status := reply.StatusCode()
	if string(header.Peek(HeaderNotRun)) != valueTrue {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "server answered with status %d", status)
	}
	code := verdict.CodeShed
	switch {
	case status == fasthttp.StatusPreconditionFailed:
		code = verdict.CodeVersionNotHeld
	case string(header.Peek(HeaderDraining)) == valueTrue:
		code = verdict.CodeDraining
	}
	failure := verdict.New(verdict.NotRun, code, "server refused with status %d", status)
	seconds, err := strconv.ParseFloat(string(header.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return failure
}

// readParts reads all parts of a reply, or none: they must be for this request, of
// the pinned version, and of exactly the requested shards.
func readParts(request *Request, reply *fasthttp.Response, result *Result) *verdict.Error {
	bad := func(format string, args ...any) *verdict.Error {
		return verdict.New(verdict.Ran, verdict.CodeBadReply, format, args...)
	}
	var body replyBody
	if err := json.Unmarshal(reply.Body(), &body); err != nil {
		return bad("reply body: %v", err)
	}
	if body.RequestID != request.RequestID {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBadReply, "reply body is for request %q", body.RequestID)
	}
	headerSnapshot, err := strconv.ParseInt(string(reply.Header.Peek(HeaderSnapshot)), 10, 64)
	if err != nil || headerSnapshot != body.Snapshot {
		return bad("header names snapshot %q, body %d", reply.Header.Peek(HeaderSnapshot), body.Snapshot)
	}
	if request.Snapshot != 0 && body.Snapshot != request.Snapshot {
		return bad("asked for snapshot %d, got %d", request.Snapshot, body.Snapshot)
	}
	if shards := string(reply.Header.Peek(HeaderShards)); !sameShards(shards, request.Shards) {
		return bad("asked for shards %s, header names %q", formatShards(request.Shards), shards)
	}
	if len(body.Parts) != len(request.Shards) {
		return bad("asked for %d shards, got %d parts", len(request.Shards), len(body.Parts))
	}
	parts := make([]Part, 0, len(request.Shards))
	for _, shard := range request.Shards {
		index := slices.IndexFunc(body.Parts, func(part replyPart) bool { return part.Shard == shard })
		if index < 0 || len(body.Parts[index].Body) == 0 {
			return bad("no part of shard %d", shard)
		}
		// json.RawMessage copies, so the part outlives the reply's buffer.
		parts = append(parts, Part{Shard: shard, Body: body.Parts[index].Body})
	}
	result.Snapshot = body.Snapshot
	result.Parts = parts
	return nil
}

// sameShards reports whether a list such as "0,3" contains exactly the shards, in any order.
func sameShards(text string, shards []v1.ShardID) bool {
	listed := parseList(text)
	if len(listed) != len(shards) {
		return false
	}
	for _, shard := range shards {
		if !slices.Contains(listed, int64(shard)) {
			return false
		}
	}
	return true
}
