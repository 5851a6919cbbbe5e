package backend

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/valyala/fasthttp"
)

// Headers of the protocol between an owner and a back-end server.
const (
	// HeaderRequestID identifies the caller's request; replies echo it.
	HeaderRequestID = "Driftstage-Request-Id"
	// HeaderAttemptID identifies an attempt of one owner at one server; servers that
	// support it echo it, so that a late copy of an earlier reply is detected.
	HeaderAttemptID = "Driftstage-Attempt-Id"
	// HeaderShards lists the shards requested or returned, such as "0,3".
	HeaderShards = "Driftstage-Shards"
	// HeaderPartitions is the number of shards of the sender's shard map.
	HeaderPartitions = "Driftstage-Partitions"
	// HeaderSnapshot is the index version requested or returned; 0 requests any.
	HeaderSnapshot = "Driftstage-Snapshot"
	// HeaderSnapshotsHeld lists the index versions that the server holds.
	HeaderSnapshotsHeld = "Driftstage-Snapshots-Held"
	// HeaderDeadline is the remaining time in milliseconds.
	HeaderDeadline = "Driftstage-Deadline-Millis"
	// HeaderNotRun is "true" if the server guarantees that it did not run the request.
	HeaderNotRun = "Driftstage-Not-Run"
	// HeaderDraining is "true" if the server is draining.
	HeaderDraining = "Driftstage-Draining"
)

const valueTrue = "true"

// Request is one attempt at one server.
type Request struct {
	RequestID string
	Shards    []v1.ShardID
	// Partitions is the number of shards of the pinned shard map.
	Partitions int
	// Snapshot is the pinned index version; 0 accepts any.
	Snapshot int64
	Body     []byte
	// Deadline is when the attempt is abandoned.
	Deadline time.Time
}

// Part is the answer of one shard. The receiver owns its body.
type Part struct {
	Shard v1.ShardID
	Body  []byte
}

// Result is the outcome of one attempt: all requested parts, or a failure.
type Result struct {
	// Snapshot is the index version of the parts.
	Snapshot int64
	Parts    []Part
	// Failure is nil if Parts is complete.
	Failure *verdict.Error
	// Draining is set if the server announced that it is draining.
	Draining bool
	// SnapshotsHeld are the index versions that the server reported; nil for no report.
	SnapshotsHeld []int64
}

// replyBody is the JSON body of a reply with status 200.
type replyBody struct {
	RequestID string      `json:"requestId"`
	Snapshot  int64       `json:"snapshot"`
	Parts     []replyPart `json:"parts"`
}

type replyPart struct {
	Shard v1.ShardID      `json:"shard"`
	Body  json.RawMessage `json:"body"`
}

func formatShards(shards []v1.ShardID) string {
	text := make([]byte, 0, 8*len(shards))
	for index, shard := range shards {
		if index > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, int64(shard), 10)
	}
	return string(text)
}

// parseList parses a list of integers such as "40,41"; it returns nil if the list is malformed.
func parseList(text string) []int64 {
	if text == "" {
		return nil
	}
	fields := strings.Split(text, ",")
	versions := make([]int64, 0, len(fields))
	for _, field := range fields {
		version, err := strconv.ParseInt(strings.TrimSpace(field), 10, 64)
		if err != nil {
			return nil
		}
		versions = append(versions, version)
	}
	return versions
}

// writeHeader fills in an HTTP request except for its body.
func writeHeader(target *fasthttp.Request, uri, attempt string, request *Request, remaining time.Duration) {
	target.SetRequestURI(uri)
	header := &target.Header
	header.SetMethod(fasthttp.MethodPost)
	header.SetContentType("application/octet-stream")
	header.Set(HeaderRequestID, request.RequestID)
	header.Set(HeaderAttemptID, attempt)
	header.Set(HeaderShards, formatShards(request.Shards))
	header.Set(HeaderPartitions, strconv.Itoa(request.Partitions))
	header.Set(HeaderSnapshot, strconv.FormatInt(request.Snapshot, 10))
	header.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}
