package platform

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// handleWatch streams the events after a version, one JSON object per line.
func (server *Server) handleWatch(request *fasthttp.RequestCtx) {
	resource := pathValue(request, "resource")
	client := string(request.Request.Header.Peek(ClientHeader))
	server.stats.record(client, func(stats *ClientStats) { stats.Watches++ })
	if !server.applyPlan(request, server.faults.plan(resource, client, false)) {
		return
	}
	version, err := strconv.ParseInt(string(request.QueryArgs().Peek("resourceVersion")), 10, 64)
	if err != nil {
		server.writeFailure(request, client, badRequest("resourceVersion must be a number"))
		return
	}
	if _, _, _, failure := server.store.eventsSince(resource, version); failure != nil {
		server.writeFailure(request, client, failure)
		return
	}
	cut := server.faults.watchCut()
	request.SetStatusCode(http.StatusOK)
	request.SetContentType("application/json")
	request.SetConnectionClose()
	request.SetBodyStreamWriter(func(writer *bufio.Writer) {
		server.stats.record(client, func(stats *ClientStats) { stats.OpenWatches++ })
		defer server.stats.record(client, func(stats *ClientStats) { stats.OpenWatches-- })
		stream := watchStream{server: server, writer: writer, resource: resource, client: client, version: version, cut: cut}
		stream.run()
	})
}

// watchStream is one open watch.
type watchStream struct {
	server   *Server
	writer   *bufio.Writer
	resource string
	client   string
	version  int64
	cut      <-chan struct{}
}

func (stream *watchStream) run() {
	bookmarks := time.NewTicker(stream.server.bookmarkInterval)
	defer bookmarks.Stop()
	// The first bookmark flushes the response headers immediately.
	if !stream.sendBookmark() {
		return
	}
	for {
		changed, open := stream.sendEvents()
		if !open {
			return
		}
		select {
		case <-changed:
		case <-bookmarks.C:
			if !stream.sendBookmark() {
				return
			}
		case <-stream.cut:
			return
		case <-stream.server.stopped:
			return
		}
	}
}

// sendEvents sends new events. It returns a channel closed at the next change, and
// false if the stream has ended.
func (stream *watchStream) sendEvents() (<-chan struct{}, bool) {
	stream.applyFaults()
	if held, faultsChanged := stream.server.faults.watchHeld(stream.resource, stream.client); held {
		return faultsChanged, true
	}
	events, version, changed, failure := stream.server.store.eventsSince(stream.resource, stream.version)
	if failure != nil {
		stream.send(event{Type: eventError, Object: failure})
		return nil, false
	}
	for _, next := range events {
		if !stream.send(next) {
			return nil, false
		}
	}
	stream.version = version
	return changed, true
}

// applyFaults delays events while the platform hangs or is slow.
func (stream *watchStream) applyFaults() {
	plan := stream.server.faults.plan(stream.resource, stream.client, false)
	time.Sleep(plan.delay)
}

func (stream *watchStream) sendBookmark() bool {
	metadata := listMetadata{ResourceVersion: formatVersion(stream.version)}
	return stream.send(event{Type: eventBookmark, Object: bookmark{Metadata: metadata}})
}

// bookmark is the object of a BOOKMARK event.
type bookmark struct {
	Metadata listMetadata `json:"metadata"`
}

func (stream *watchStream) send(next event) bool {
	line, err := json.Marshal(next)
	if err != nil {
		return false
	}
	if _, err := stream.writer.Write(append(line, '\n')); err != nil {
		return false
	}
	return stream.writer.Flush() == nil
}
