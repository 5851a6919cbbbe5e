package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/verdict"
)

// EventType is the kind of change of an object.
type EventType string

// The types of events.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
	// EventBookmark carries a resource version and no object.
	EventBookmark EventType = "BOOKMARK"
)

const eventError EventType = "ERROR"

// watchIdleConnDuration is how long the HTTP client keeps a goroutine for the
// connection of a watch that has ended.
const watchIdleConnDuration = time.Second

// Event is one change of an object.
type Event[Object any] struct {
	Type   EventType
	Object *Object
	// ResourceVersion is the version from which a later watch can continue.
	ResourceVersion string
}

// Watch is an open stream of events. Next and Close may be called concurrently,
// but Next only by one goroutine at a time.
type Watch[Object any] struct {
	connection *watchConnection
	// stopAfterFunc unregisters the function that closes the connection when the context is done.
	stopAfterFunc func() bool

	// reading is held while Next reads, so that Close does not release the body meanwhile.
	reading  sync.Mutex
	response *fasthttp.Response
	lines    *bufio.Reader
}

// Watch opens a stream of the events after a resource version. It ends when ctx is done.
func (collection *Collection[Object]) Watch(ctx context.Context, resourceVersion string) (*Watch[Object], error) {
	client := collection.client
	dialer := &watchDialer{idle: client.options.WatchIdleTimeout}
	stop := context.AfterFunc(ctx, dialer.close)
	response := fasthttp.AcquireResponse()
	response.StreamBody = true
	err := client.openWatch(dialer, collection.resource, resourceVersion, response)
	if err != nil {
		stop()
		dialer.close()
		_ = response.CloseBodyStream()
		return nil, err
	}
	return &Watch[Object]{
		connection:    dialer.connection,
		response:      response,
		lines:         bufio.NewReader(response.BodyStream()),
		stopAfterFunc: stop,
	}, nil
}

// openWatch sends the request on a connection of its own and checks the status of the reply.
func (client *Client) openWatch(dialer *watchDialer, resource, version string, response *fasthttp.Response) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	path := basePath + resource + "?watch=true&resourceVersion=" + url.QueryEscape(version)
	if err := client.prepare(request, http.MethodGet, path, nil); err != nil {
		return err
	}
	host := newHTTPClient(client.options.Address, dialer.dial)
	host.MaxIdleConnDuration = watchIdleConnDuration
	if err := host.Do(request, response); err != nil {
		return transportError(err)
	}
	if status := response.StatusCode(); status != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.BodyStream(), maxReplyBytes))
		return decodeError(status, body)
	}
	return nil
}

// Next returns the next event, or the error that ended the stream.
func (watch *Watch[Object]) Next() (Event[Object], error) {
	watch.reading.Lock()
	defer watch.reading.Unlock()
	line, err := watch.lines.ReadBytes('\n')
	if err != nil {
		return Event[Object]{}, &Error{Verdict: verdict.NotRun, Reason: "WatchEnded", Message: err.Error()}
	}
	return decodeEvent[Object](line)
}

// Close ends the stream; a Next in progress returns.
func (watch *Watch[Object]) Close() {
	watch.stopAfterFunc()
	_ = watch.connection.Close()
	watch.reading.Lock()
	defer watch.reading.Unlock()
	// Only this makes the HTTP client release the connection.
	_ = watch.response.CloseBodyStream()
}

// rawEvent is one line of the stream.
type rawEvent struct {
	Type   EventType       `json:"type"`
	Object json.RawMessage `json:"object"`
}

// eventHeader is the part of an event's object that the client reads for every type of event.
type eventHeader struct {
	Metadata ListMetadata `json:"metadata"`
	Code     int          `json:"code"`
	errorReply
}

func decodeEvent[Object any](line []byte) (Event[Object], error) {
	var raw rawEvent
	if err := json.Unmarshal(line, &raw); err != nil {
		return Event[Object]{}, badEvent(err)
	}
	var header eventHeader
	if err := json.Unmarshal(raw.Object, &header); err != nil {
		return Event[Object]{}, badEvent(err)
	}
	event := Event[Object]{Type: raw.Type, ResourceVersion: header.Metadata.ResourceVersion}
	switch raw.Type {
	case eventError:
		return event, newStatusError(header.Code, header.errorReply)
	case EventBookmark:
		return event, nil
	}
	event.Object = new(Object)
	if err := json.Unmarshal(raw.Object, event.Object); err != nil {
		return Event[Object]{}, badEvent(err)
	}
	return event, nil
}

func badEvent(err error) *Error {
	return &Error{Verdict: verdict.NotRun, Reason: "BadEvent", Message: err.Error()}
}

// watchDialer opens the single connection of a watch and can close it at any time.
type watchDialer struct {
	idle       time.Duration
	mutex      sync.Mutex
	closed     bool
	connection *watchConnection
}

func (dialer *watchDialer) dial(address string, timeout time.Duration) (net.Conn, error) {
	connection, err := dial(address, timeout)
	if err != nil {
		return nil, err
	}
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.connection = &watchConnection{Conn: connection, idle: dialer.idle}
	if dialer.closed {
		_ = connection.Close()
	}
	return dialer.connection, nil
}

func (dialer *watchDialer) close() {
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.closed = true
	if dialer.connection != nil {
		_ = dialer.connection.Close()
	}
}

// watchConnection fails a read if nothing arrives within the idle time.
type watchConnection struct {
	net.Conn
	idle time.Duration
}

// Read sets a new deadline before each read.
func (connection *watchConnection) Read(buffer []byte) (int, error) {
	if err := connection.Conn.SetReadDeadline(time.Now().Add(connection.idle)); err != nil {
		return 0, err
	}
	return connection.Conn.Read(buffer)
}

// SetReadDeadline does nothing: Read sets the deadlines.
func (connection *watchConnection) SetReadDeadline(time.Time) error { return nil }

// SetDeadline does nothing: Read sets the deadlines.
func (connection *watchConnection) SetDeadline(time.Time) error { return nil }
