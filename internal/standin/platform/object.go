package platform

import (
	"encoding/json"
	"fmt"
	"net/http"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// object is a resource of any kind: the stand-in interprets only the metadata, and
// compares specs byte by byte.
type object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   v1.ObjectMeta   `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

// list is the response to a list request.
type list struct {
	Kind     string       `json:"kind"`
	Metadata listMetadata `json:"metadata"`
	Items    []*object    `json:"items"`
}

type listMetadata struct {
	ResourceVersion string `json:"resourceVersion"`
}

// event is one line of a watch.
type event struct {
	Type   eventType `json:"type"`
	Object any       `json:"object"`
}

type eventType string

const (
	eventAdded    eventType = "ADDED"
	eventModified eventType = "MODIFIED"
	eventDeleted  eventType = "DELETED"
	eventBookmark eventType = "BOOKMARK"
	eventError    eventType = "ERROR"
)

// statusError is an error response that follows the Kubernetes conventions.
type statusError struct {
	Kind    string `json:"kind"`
	Code    int    `json:"code"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// Error returns the reason and the message on one line.
func (failure *statusError) Error() string {
	return failure.Reason + ": " + failure.Message
}

func newStatusError(code int, reason, format string, args ...any) *statusError {
	return &statusError{Kind: "Status", Code: code, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *statusError {
	return newStatusError(http.StatusBadRequest, "BadRequest", format, args...)
}

func notFound(name string) *statusError {
	return newStatusError(http.StatusNotFound, "NotFound", "%q does not exist", name)
}

func conflict(format string, args ...any) *statusError {
	return newStatusError(http.StatusConflict, "Conflict", format, args...)
}

func gone(format string, args ...any) *statusError {
	return newStatusError(http.StatusGone, "Expired", format, args...)
}
