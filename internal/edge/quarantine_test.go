package edge_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/platform/standin"
)

// A request that crashes servers is refused at once as not executed, with the quarantine term as its
// Retry-After. Operators see its digest and can release it.
func TestCrashingRequestIsQuarantinedUntilReleased(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	const count = 8
	for index := range count {
		h.startServer(standin.ServerOptions{
			ID: fmt.Sprint("i-", index), Service: "s",
			CrashOn: func(request *http.Request, body string) standin.Crash {
				if index < count-1 && request.URL.Path == "/one/bad" && body == "x" {
					return standin.CrashReset
				}
				return standin.CrashNone
			},
		})
	}
	h.startReady(func(loaded *settings.Router) {
		loaded.QuarantineTerm = time.Minute
		loaded.MetricsAddress = freeAddress(t)
	})
	post := func(id, path, body string) answer {
		return h.sendRaw(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Request-Deadline: 4000\r\nContent-Length: %d\r\n\r\n%s", path, testHost, id, len(body), body))
	}
	refused := answer{}
	for number := 0; number < 20 && refused.status != http.StatusServiceUnavailable; number++ {
		refused = post(fmt.Sprint("bad-", number), "/one/bad", "x")
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(refused.body), "quarantined")
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 50 && after < 62)
	started := time.Now()
	is.Equal(post("at-once", "/one/bad", "x").status, http.StatusServiceUnavailable)
	is.True(time.Since(started) < 100*time.Millisecond)
	// Other requests with the same path, the same body or the same caller are not affected.
	is.Equal(post("path", "/one/bad", "y").status, http.StatusOK)
	is.Equal(post("body", "/one/good", "x").status, http.StatusOK)

	known := h.quarantine()
	is.Equal(len(known), 1)
	is.Equal(known[0].State, quarantine.StateRefused)
	is.Equal(known[0].Services, []string{"s"})
	release := "http://" + h.loaded.MetricsAddress + quarantine.ReleasePath + "?digest="
	is.Equal(postStatus(t, release+"nonsense"), http.StatusBadRequest)
	is.Equal(postStatus(t, release+known[0].Digest.String()), http.StatusOK)
	is.Equal(len(h.quarantine()), 0)
	is.Equal(postStatus(t, release+known[0].Digest.String()), http.StatusBadRequest) // no longer known
}

// quarantine returns the quarantined requests that the node reports to operators.
func (h *harness) quarantine() []quarantine.Description {
	h.t.Helper()
	is := is.New(h.t)
	answer, err := http.Get("http://" + h.loaded.MetricsAddress + "/debug/state")
	is.NoErr(err)
	defer answer.Body.Close()
	var state struct{ Quarantine []quarantine.Description }
	is.NoErr(json.NewDecoder(answer.Body).Decode(&state))
	return state.Quarantine
}

func postStatus(t *testing.T, address string) int {
	t.Helper()
	is := is.New(t)
	answer, err := http.Post(address, "", nil)
	is.NoErr(err)
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	is.NoErr(err)
	return answer.StatusCode
}
