package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/standin/rawserver"
	"github.com/driftstage/driftstage/platform/standin"
)

// startRawServer starts a server of service "s" whose answers are sealed and begin with the lines.
func (h *harness) startRawServer(id, lines string) *rawserver.Server {
	h.t.Helper()
	is := is.New(h.t)
	server, err := rawserver.Start(func(request *http.Request) string {
		attempt := request.Header.Get("X-Attempt-Identifier")
		return fmt.Sprintf("%s\r\nX-Attempt-Identifier: %s\r\nX-Server-Seal: seal-%s-%s\r\nContent-Length: 5\r\n\r\nwhole", lines, attempt, id, attempt)
	})
	is.NoErr(err)
	h.t.Cleanup(server.Close)
	is.NoErr(h.store.Put("servers", id, standin.ServerSpec{Service: "s", Address: server.Address(), Zone: "zone-1", Version: "v1", Slots: 5, State: "ready"}))
	return server
}

// Guards against malformed answers that reach callers as answers, or are sent to a second server though
// the first one may have run the request.
func TestMalformedAnswerOfAServer(t *testing.T) {
	var malformed []string
	for _, line := range append([]string{"Content-Length : 3", "Content-Length\t: 3", "Transfer-Encoding : chunked"}, rawserver.MalformedFieldLines...) {
		malformed = append(malformed, "HTTP/1.1 200 OK\r\n"+line)
	}
	for _, lines := range append(malformed, rawserver.MalformedStatusLines...) {
		t.Run(lines, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			h := newHarness(t, configuration(1, singleRoute("/safe/", "safe", "s"), singleRoute("/unsafe/", "unsafe", "s"), gatherRoute("/all/", "s", "sound")))
			raw := []*rawserver.Server{h.startRawServer("i-1", lines), h.startRawServer("i-2", lines)}
			h.startServer(standin.ServerOptions{ID: "i-sound", Service: "sound", Body: []byte(record("1"))})
			h.startReady()
			requests := func() int { return raw[0].Requests() + raw[1].Requests() }

			got := h.get("/unsafe/", "id-1")
			is.Equal(got.status, http.StatusBadGateway) // may have run
			is.Equal(requests(), 1)
			is.Equal(got.header.Get("X-Server-Seal"), "")

			got = h.get("/safe/", "id-2")
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(requests(), 3) // both servers were asked

			got = h.get("/all/", "id-3")
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.header.Get("X-Missing-Parts"), "1")
			is.True(!strings.Contains(got.header.Get("X-Part-Seals"), "i-1"))
		})
	}
}

// A repeatable request whose first answer is malformed is answered by another server.
func TestMalformedAnswerIsRetried(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/safe/", "safe", "s")))
	h.startRawServer("i-1", "HTTP/1.1 200 OK\r\nX Odd: 1")
	h.startServer(standin.ServerOptions{ID: "i-2", Service: "s"})
	h.startReady()
	for number := range 20 {
		got := h.get("/safe/", fmt.Sprint("id-", number))
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "body of i-2")
	}
}

func TestSoundAnswerOfAServer(t *testing.T) {
	for _, line := range rawserver.SoundFieldLines {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, configuration(1, singleRoute("/safe/", "safe", "s")))
			h.startRawServer("i-1", "HTTP/1.1 200 OK\r\n"+line)
			h.startReady()
			got := h.get("/safe/", "id-1")
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "whole")
			name, value, _ := strings.Cut(line, ":")
			is.Equal(got.header.Get(name), strings.Trim(value, " \t"))
		})
	}
}
