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
	// HeaderRequestID names the caller's request; replies echo it.
	HeaderRequestID = "Driftstage-Request-Id"
	// HeaderAttemptID tells the attempts of one owner at one server apart; servers
	// that know it echo it, so that a late copy of an earlier reply is noticed.
	HeaderAttemptID = "Driftstage-Attempt-Id"
	// HeaderShards lists the shards asked or answered, such as "0,3".
	HeaderShards = "Driftstage-Shards"
	// HeaderPartitions is the number of shards of the map that the sender works by.
	HeaderPartitions = "Driftstage-Partitions"
	// HeaderSnapshot is the index version asked or answered; 0 asks for any.
	HeaderSnapshot = "Driftstage-Snapshot"
	// HeaderSnapshotsHeld lists the index versions that the server holds.
	HeaderSnapshotsHeld = "Driftstage-Snapshots-Held"
	// HeaderDeadline is the time left, in milliseconds.
	HeaderDeadline = "Driftstage-Deadline-Millis"
	// HeaderNotRun is "true" when the server promises that it did not run the request.
	HeaderNotRun = "Driftstage-Not-Run"
	// HeaderDraining is "true" when the server is leaving.
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
	// Deadline is when the attempt is given up.
	Deadline time.Time
}

// Part is the answer of one shard. Its body belongs to the receiver.
type Part struct {
	Shard v1.ShardID
	Body  []byte
}

// Result is the outcome of one attempt: all parts asked for, or a failure.
type Result struct {
	// Snapshot is the index version of the parts.
	Snapshot int64
	Parts    []Part
	// Failure is nil when the parts are there.
	Failure *verdict.Error
	// Draining tells that the server announced that it is leaving.
	Draining bool
	// SnapshotsHeld is what the server said it holds; nil when it did not say.
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

// parseVersions reads a list such as "40,41"; it returns nil when it is malformed.
func parseVersions(text string) []int64 {
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

// writeHeader fills in everything of an HTTP request but its body.
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
