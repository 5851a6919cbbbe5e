package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Headers of the protocol between driftstage and a back end (docs/DESIGN.md).
const (
	headerRequestID     = "Driftstage-Request-Id"
	headerAttemptID     = "Driftstage-Attempt-Id"
	headerShards        = "Driftstage-Shards"
	headerPartitions    = "Driftstage-Partitions"
	headerSnapshot      = "Driftstage-Snapshot"
	headerDeadline      = "Driftstage-Deadline-Millis"
	headerNotRun        = "Driftstage-Not-Run"
	headerDraining      = "Driftstage-Draining"
	headerSnapshotsHeld = "Driftstage-Snapshots-Held"
	headerRetryAfter    = "Retry-After"

	headerTrue  = "true"
	defaultPath = "/query"

	// maxBodyBytes limits the body of a sub-request.
	maxBodyBytes = 16 << 20
	// defaultDeadline applies to sub-requests without a deadline.
	defaultDeadline = 30 * time.Second
)

// subRequest holds the parsed headers of one sub-request.
type subRequest struct {
	id         string
	shards     []v1.ShardID
	partitions int
	snapshot   int64
	deadline   time.Duration
}

func parseSubRequest(header http.Header) (subRequest, error) {
	request := subRequest{id: header.Get(headerRequestID), deadline: defaultDeadline}
	if request.id == "" {
		return request, fmt.Errorf("%s: missing", headerRequestID)
	}
	for text := range strings.SplitSeq(header.Get(headerShards), ",") {
		shard, err := strconv.ParseInt(strings.TrimSpace(text), 10, 32)
		if err != nil {
			return request, fmt.Errorf("%s: want numbers such as 0,3, got %q", headerShards, header.Get(headerShards))
		}
		request.shards = append(request.shards, v1.ShardID(shard))
	}
	partitions, err := strconv.Atoi(header.Get(headerPartitions))
	if err != nil {
		return request, fmt.Errorf("%s: want a number, got %q", headerPartitions, header.Get(headerPartitions))
	}
	request.partitions = partitions
	if text := header.Get(headerSnapshot); text != "" {
		request.snapshot, err = strconv.ParseInt(text, 10, 64)
		if err != nil {
			return request, fmt.Errorf("%s: want a number, got %q", headerSnapshot, text)
		}
	}
	if text := header.Get(headerDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis < 0 {
			return request, fmt.Errorf("%s: want milliseconds, got %q", headerDeadline, text)
		}
		request.deadline = time.Duration(millis) * time.Millisecond
	}
	return request, nil
}

// Reply is the body of a response with status 200.
type Reply struct {
	RequestID string `json:"requestId"`
	Snapshot  int64  `json:"snapshot"`
	Parts     []Part `json:"parts"`
}

// Part is the result of one shard.
type Part struct {
	Shard v1.ShardID `json:"shard"`
	Body  PartBody   `json:"body"`
}

// PartBody is the result itself. It identifies request, shard and version, so that
// a checker can detect a result that belongs to another one.
type PartBody struct {
	RequestID string     `json:"requestId"`
	Shard     v1.ShardID `json:"shard"`
	Snapshot  int64      `json:"snapshot"`
	Server    string     `json:"server"`
	// QueryHash is Hash of the body of the query.
	QueryHash string `json:"queryHash"`
	Padding   string `json:"padding,omitempty"`
}
