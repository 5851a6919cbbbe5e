package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/platform/standin"
)

func TestSingleAnswerIsUnchanged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	server := h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	h.startReady()
	got := h.get("/one/x?q=%2F", "id-1")
	is.Equal(got.status, 200)
	is.Equal(got.body, "body of i-1")
	is.Equal(got.header.Get("X-Server-Seal"), server.Seal("id-1"))
	is.Equal(got.header.Get("X-Attempt-Identifier"), "id-1")
	is.Equal(server.Runs()[0].URI, "/one/x?q=%2F")
}

func TestShardsAreMerged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, gatherRoute("/all/", "a", "b")))
	first := h.startServer(standin.ServerOptions{ID: "i-a", Service: "a", Body: []byte(record("1") + record("9") + "short")})
	second := h.startServer(standin.ServerOptions{ID: "i-b", Service: "b", Body: []byte(record("5") + record("3"))})
	h.startReady()
	got := h.get("/all/x", "id-1")
	is.Equal(got.status, 200)
	is.Equal(got.body, record("9")+record("5")+record("3"))
	is.Equal(got.header.Get("X-Part-Seals"), first.Seal("id-1")+", "+second.Seal("id-1"))
	is.Equal(got.header.Get("X-Missing-Parts"), "0")
	is.Equal(got.header.Get("X-Server-Seal"), "")
}

func TestUnresponsiveShardIsOmittedAtTarget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, gatherRoute("/all/", "a", "b")))
	h.startServer(standin.ServerOptions{ID: "i-a", Service: "a", Body: []byte(record("1"))})
	unresponsive := h.startServer(standin.ServerOptions{ID: "i-b", Service: "b", Body: []byte(record("2"))})
	h.startReady()
	defer unresponsive.Pause()()
	started := time.Now()
	got := h.get("/all/x", "id-1")
	is.Equal(got.status, 200)
	is.Equal(got.header.Get("X-Missing-Parts"), "1")
	is.Equal(got.body, record("1"))
	is.True(time.Since(started) < 300*time.Millisecond) // the route's target latency
}

func TestShardFailsOverToOtherServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, gatherRoute("/all/", "a")))
	paused := h.startServer(standin.ServerOptions{ID: "i-near", Service: "a", Body: []byte(record("1"))})
	h.startServer(standin.ServerOptions{ID: "i-far", Service: "a", Zone: "zone-2", Body: []byte(record("1"))})
	h.startReady()
	defer paused.Pause()()
	got := h.get("/all/x", "id-1")
	is.Equal(got.status, 200)
	is.Equal(got.header.Get("X-Missing-Parts"), "0")
}

func TestTrafficSplitWeights(t *testing.T) {
	is := is.New(t)
	route := singleRoute("/split/", "safe", "")
	route.TrafficSplit = []standin.Split{{Service: "s", Weight: 80}, {Service: "u", Weight: 20}}
	h := newHarness(t, configuration(1, route))
	first := h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	second := h.startServer(standin.ServerOptions{ID: "i-2", Service: "u"})
	h.startReady()
	for number := range 50 {
		is.Equal(h.get("/split/", fmt.Sprint("id-", number)).status, 200)
	}
	is.Equal(len(first.Runs()), 40)
	is.Equal(len(second.Runs()), 10)
}

func TestNoRoute(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startReady()
	is.Equal(h.get("/two/", "id-1").status, 404)
}

func TestServiceWithoutServersIsRefusedEarly(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe"} {
		is := is.New(t)
		h := newHarness(t, configuration(1, singleRoute("/one/", kind, "s")))
		h.startReady()
		started := time.Now()
		got := h.get("/one/", "id-1")
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") != "")
		is.True(time.Since(started) < 125*time.Millisecond) // a quarter of the target
	}
}

// Guards against a second run of an unsafe request, and against an answer that wrongly states that it has
// not run: neither an ambiguous response nor a contradictory status proves that.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	for _, behavior := range []standin.Behavior{
		standin.ResetAfterRun, standin.TruncateBody, standin.SendGarbage, standin.Encoded, standin.RefuseAfterRun, standin.MisdirectAfterRun,
	} {
		is := is.New(t)
		h := newHarness(t, configuration(1, singleRoute("/one/", "unsafe", "s")))
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			h.startServer(standin.ServerOptions{ID: id, Service: "s", Behave: func(int) standin.Behavior { return behavior }})
		}
		h.startReady()
		got := h.get("/one/", "id-1")
		is.Equal(got.status, 502) // may have run
		is.Equal(h.runCount(), 1)
	}
}

func TestRefusedUnsafeRequestIsRetried(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "unsafe", "s")))
	shed := func(int) standin.Behavior { return standin.Shed }
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", Behave: shed})
	h.startServer(standin.ServerOptions{ID: "i-2", Service: "s", Zone: "zone-2"})
	h.startReady()
	is.Equal(h.get("/one/", "id-1").status, 200)
	is.Equal(h.runCount(), 1)
}

func TestAllServersRefuse(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "unsafe", "s")))
	shed := func(int) standin.Behavior { return standin.Shed }
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", Behave: shed})
	h.startServer(standin.ServerOptions{ID: "i-2", Service: "s", Behave: shed})
	h.startReady()
	got := h.get("/one/", "id-1")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(h.runCount(), 0)
}

func TestConfigurationUpdate(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	h.startReady()
	h.configure(configuration(5, singleRoute("/two/", "safe", "s")))
	h.eventually("the new route", func() bool { return h.get("/two/", "id").status == 200 })
	is.Equal(h.get("/one/", "id").status, 404)
	h.configure(configuration(4, singleRoute("/one/", "safe", "s")))
	time.Sleep(100 * time.Millisecond)
	is.Equal(h.get("/two/", "id").status, 200) // an older version is ignored
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	draining := h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	remaining := h.startServer(standin.ServerOptions{ID: "i-2", Service: "s", Zone: "zone-2"})
	h.startReady()
	is.Equal(h.get("/one/", "id").status, 200)
	is.Equal(len(draining.Runs()), 1)
	spec := draining.Spec()
	spec.State = "draining"
	is.NoErr(h.store.Put("servers", "i-1", spec))
	h.eventually("the other server", func() bool {
		h.get("/one/", "id")
		return len(remaining.Runs()) > 0
	})
	ran := len(draining.Runs())
	for range 10 {
		h.get("/one/", "id")
	}
	is.Equal(len(draining.Runs()), ran)
}

func TestNodeWithoutConfigurationIsNotReady(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	h.store.SetFaults(standin.StoreFaults{Unavailable: true})
	h.start()
	h.eventually("a listener", h.listening)
	got := h.get("/one/", "id")
	is.Equal(got.status, 503) // never 404
	is.True(got.header.Get("Retry-After") != "")
	is.True(!h.ready())
	h.store.SetFaults(standin.StoreFaults{})
	h.eventually("ready", h.ready)
	is.Equal(h.get("/one/", "id").status, 200)
}

// A request that arrives before the node has a configuration waits for it.
func TestRequestWaitsForInitialSync(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	h.store.SetFaults(standin.StoreFaults{Unavailable: true})
	h.start()
	h.eventually("a listener", h.listening)
	time.AfterFunc(200*time.Millisecond, func() { h.store.SetFaults(standin.StoreFaults{}) })
	is.Equal(h.get("/one/", "id").status, 200)
}

func TestNodeServesDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	h.startReady()
	for _, faults := range []standin.StoreFaults{{Hang: true}, {Unavailable: true}, {Throttled: true}, {LoseResponses: true}} {
		h.store.SetFaults(faults)
		time.Sleep(50 * time.Millisecond)
		is.Equal(h.get("/one/", "id").status, 200)
		is.True(h.ready())
	}
}

func TestServersAreListedInPages(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.store.SetPageSize(2)
	for number := range 7 {
		h.startServer(standin.ServerOptions{ID: fmt.Sprint("i-", number), Service: fmt.Sprint("other-", number)})
	}
	h.startServer(standin.ServerOptions{ID: "z-last", Service: "s"})
	h.startReady()
	is.Equal(h.get("/one/", "id").status, 200)
}

func TestCallerHangUpCancelsRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	server := h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", ServiceTime: time.Second})
	h.startReady()
	conn, err := net.Dial("tcp4", h.loaded.ListenAddress)
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "GET /one/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: id-1\r\nX-Request-Deadline: 2000\r\n\r\n", testHost)
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	conn.Close()
	h.eventually("the end of the work", func() bool { return len(server.Runs()) == 1 })
	is.True(server.Runs()[0].Canceled)
}

func TestStopFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", ServiceTime: 400 * time.Millisecond})
	h.startReady(func(loaded *settings.Router) { loaded.StopTimeout = 2 * time.Second })
	conn, err := net.Dial("tcp4", h.loaded.ListenAddress)
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func() {
		_, err := fmt.Fprintf(conn, "GET /one/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: id-1\r\nX-Request-Deadline: 2000\r\n\r\n", testHost)
		is.NoErr(err)
	}
	send()
	is.Equal(readAnswer(reader).status, 200) // the connection is kept
	send()
	time.Sleep(50 * time.Millisecond)
	h.stop()
	h.eventually("no longer ready", func() bool { return !h.ready() })
	got := readAnswer(reader)
	is.Equal(got.status, 200) // the request in flight is answered
	is.True(got.closing)
	is.Equal(h.get("/one/", "id-2").status, 200) // new connections are still served for a while
}

func TestStopWaitsForLongRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", ServiceTime: 1300 * time.Millisecond})
	h.startReady(func(loaded *settings.Router) { loaded.StopTimeout = 2 * time.Second })
	got := make(chan answer, 1)
	go func() { got <- h.get("/one/", "id-1") }()
	time.Sleep(100 * time.Millisecond)
	h.stop()
	err := <-h.stopped
	is.NoErr(err) // no request was interrupted
	reply := <-got
	is.Equal(reply.status, 200)
	h.stopped <- nil // for the cleanup
}

// Guards against requests that are lost because the node ends while it reads them: once nothing else
// was in flight, it did not wait for them.
func TestStopWaitsForRequestThatIsBeingRead(t *testing.T) {
	is := is.New(t)
	config := configuration(1, singleRoute("/one/", "unsafe", "s"))
	config.Limits.HeaderTimeoutMs = 5000
	h := newHarness(t, config)
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", ServiceTime: 200 * time.Millisecond})
	h.startReady(func(loaded *settings.Router) { loaded.StopTimeout = 4 * time.Second })
	conn, err := net.Dial("tcp4", h.loaded.ListenAddress)
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /one/ HTTP/1.1\r\nHost: %s\r\n", testHost)
	is.NoErr(err)
	h.stop()
	time.Sleep(2300 * time.Millisecond) // the listener has been closed after half of the stop timeout
	_, err = fmt.Fprint(conn, "X-Attempt-Identifier: id-1\r\nX-Request-Deadline: 2000\r\n\r\n")
	is.NoErr(err)
	is.NoErr(<-h.stopped)
	is.Equal(h.runCount(), 1)
	is.Equal(readAnswer(bufio.NewReader(conn)).status, 200)
	h.stopped <- nil // for the cleanup
}

// A request that takes longer than the stop timeout gets a final answer before its connection closes.
func TestStopAnswersRequestsThatOutlastIt(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "unsafe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", ServiceTime: 1800 * time.Millisecond})
	h.startReady()
	got := make(chan answer, 1)
	go func() { got <- h.get("/one/", "id-1") }()
	time.Sleep(100 * time.Millisecond)
	h.stop()
	err := <-h.stopped
	is.NoErr(err) // no request was interrupted
	reply := <-got
	is.Equal(reply.status, 504) // it may have run
	is.True(reply.closing)
	h.stopped <- nil // for the cleanup
}

func TestMalformedRequests(t *testing.T) {
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	h.startReady()
	line := "GET /one/ HTTP/1.1\r\nHost: a.example\r\n"
	id := "X-Attempt-Identifier: id-1\r\n"
	smuggled := "GET /one/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Identifier: smuggled\r\n\r\n"
	for _, test := range []struct {
		name string
		raw  string
		want int
	}{
		{"no id", line + "\r\n", 400},
		{"empty id", line + "X-Attempt-Identifier:\r\n\r\n", 400},
		{"two ids", line + id + id + "\r\n", 400},
		{"deadline is no number", line + id + "X-Request-Deadline: soon\r\n\r\n", 400},
		{"negative deadline", line + id + "X-Request-Deadline: -5\r\n\r\n", 400},
		{"two deadlines", line + id + "X-Request-Deadline: 5\r\nX-Request-Deadline: 6\r\n\r\n", 400},
		{"no host", "GET /one/ HTTP/1.1\r\n" + id + "\r\n", 400},
		{"two hosts", line + "Host: b.example\r\n" + id + "\r\n", 400},
		{"no request line", "nonsense\r\n\r\n", 400},
		{"two lengths", line + id + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc" + smuggled, 400},
		{"length and chunks", line + id + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 400},
		{"chunks and length", line + id + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled, 400},
		{"unknown coding", line + id + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
		{"bad chunk", "POST /one/ HTTP/1.1\r\nHost: a.example\r\n" + id + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 400},
		{"negative length", line + id + "Content-Length: -1\r\n\r\n", 400},
		{"length with a sign", line + id + "Content-Length: +3\r\n\r\nabc", 400},
		{"bare line feed", "GET /one/ HTTP/1.1\r\nHost: a.example\nX-Attempt-Identifier: id-1\r\n\r\n", 400},
		{"folded header", line + id + "X-Other: a\r\n b\r\n\r\n", 400},
		{"space before the colon", line + id + "X-Other : a\r\n\r\n", 400},
		{"headers too large", line + id + "X-Large: " + strings.Repeat("x", 9000) + "\r\n\r\n", 431},
		{"headers larger than any buffer", line + id + "X-Large: " + strings.Repeat("x", 40000) + "\r\n\r\n", 431},
		{"body too large", "POST /one/ HTTP/1.1\r\nHost: a.example\r\n" + id + "Content-Length: 70000\r\n\r\n" + strings.Repeat("b", 70000), 413},
		{"chunked body too large", "POST /one/ HTTP/1.1\r\nHost: a.example\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("b", 70000) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := h.sendRaw(test.raw)
			is.True(got.status == test.want || got.status == 0) // an error status, or the connection is closed
		})
	}
	is.New(t).Equal(h.runCount(), 0)
	is.New(t).Equal(h.get("/one/", "id").status, 200) // the node still serves
}

func TestIncompleteRequestTimesOut(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	h.startReady()
	started := time.Now()
	got := h.sendRaw("GET /one/ HTTP/1.1\r\nHost: a.exa")
	is.True(got.status == 408 || got.status == 0)
	is.True(time.Since(started) < 2*time.Second) // the limit is half a second
	is.Equal(h.runCount(), 0)
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	server := h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", ServiceTime: 20 * time.Millisecond})
	h.startReady()
	conn, err := net.Dial("tcp4", h.loaded.ListenAddress)
	is.NoErr(err)
	defer conn.Close()
	var requests strings.Builder
	for number := range 3 {
		fmt.Fprintf(&requests, "GET /one/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: id-%d\r\n\r\n", testHost, number)
	}
	// The last one arrives byte by byte while the others run.
	text := requests.String()
	cut := len(text) - 60
	_, err = conn.Write([]byte(text[:cut]))
	is.NoErr(err)
	for _, letter := range []byte(text[cut:]) {
		_, err = conn.Write([]byte{letter})
		is.NoErr(err)
		time.Sleep(time.Millisecond)
	}
	reader := bufio.NewReader(conn)
	for number := range 3 {
		got := readAnswer(reader)
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("X-Server-Seal"), server.Seal(fmt.Sprint("id-", number)))
	}
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	server := h.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	h.startReady()
	got := h.sendRaw("POST /one/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Identifier: id-1\r\nX-Expected-Instance: forged\r\n" +
		"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: yes\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	is.Equal(got.status, 200)
	run := server.Runs()[0]
	is.Equal(run.Body, "abcde")
	is.Equal(run.Header.Get("X-Kept"), "yes")
	is.Equal(run.Header.Get("X-Hop"), "")
	is.Equal(run.Header.Get("Te"), "")
	is.Equal(run.Header.Get("X-Expected-Instance"), "i-1")
}

func TestNodeAnnouncesItself(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.startReady(func(loaded *settings.Router) { loaded.Name = "node-a" })
	h.eventually("the announcement", func() bool {
		objects := h.store.Objects("members")
		return len(objects) == 1 && objects[0].Meta.Name == "node-a"
	})
	is.True(h.store.Calls("write") <= 2)
}

func TestMetrics(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(3, singleRoute("/one/", "safe", "s")))
	h.startServer(standin.ServerOptions{ID: "i-1", Service: "s", Behave: func(int) standin.Behavior { return standin.Shed }})
	h.startServer(standin.ServerOptions{ID: "i-2", Service: "s", Zone: "zone-2"})
	var address string
	h.startReady(func(loaded *settings.Router) {
		address = freeAddress(t)
		loaded.MetricsAddress = address
	})
	is.Equal(h.get("/one/", "id").status, 200)
	response, err := http.Get("http://" + address + "/metrics")
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	for _, line := range []string{
		`driftstage_request_finished_total{cause="complete",gather="false",status="answered"} 1`,
		`driftstage_attempt_ended_total{reason="first",result="refused"} 1`,
		`driftstage_attempt_ended_total{reason="retry",result="answered"} 1`,
		`driftstage_configuration_version 3`,
		`driftstage_server_known_count 2`,
		`driftstage_node_ready_status 1`,
	} {
		is.True(strings.Contains(string(text), line))
	}
}

func TestNodeBootstrapsFromPeerDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, configuration(7, singleRoute("/one/", "safe", "s"), gatherRoute("/all/", "a", "b")))
	first.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	peer := freeAddress(t)
	first.startReady(func(loaded *settings.Router) { loaded.PeerAddress = peer })

	second := newHarness(t, configuration(6, singleRoute("/old/", "safe", "s")))
	second.store.SetFaults(standin.StoreFaults{Hang: true})
	second.startReady(func(loaded *settings.Router) { loaded.Seeds = []string{freeAddress(t), peer} })
	is.Equal(second.get("/one/", "id-1").status, 200)
	second.store.SetFaults(standin.StoreFaults{})
	second.eventually("the store's list of servers in place of the peer's", func() bool {
		return second.get("/one/", "id-2").status == 503
	})
	is.Equal(second.get("/old/", "id-3").status, 404) // the version did not decrease
}

func TestReloadedSeedsAreUsed(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, configuration(7, singleRoute("/one/", "safe", "s")))
	first.startServer(standin.ServerOptions{ID: "i-1", Service: "s"})
	peer := freeAddress(t)
	first.startReady(func(loaded *settings.Router) { loaded.PeerAddress = peer })

	second := newHarness(t, configuration(6, singleRoute("/old/", "safe", "s")))
	second.store.SetFaults(standin.StoreFaults{Hang: true})
	second.start()
	time.Sleep(500 * time.Millisecond)
	is.True(!second.ready())
	newer := second.loaded
	newer.Seeds = []string{peer}
	second.node.Reload(newer)
	second.eventually("ready", second.ready)
	is.Equal(second.get("/one/", "id-1").status, 200)
}

func TestNodeWithoutStateIsNotReadyWithPeers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	h.store.SetFaults(standin.StoreFaults{Unavailable: true})
	peer := freeAddress(t)
	h.start(func(loaded *settings.Router) { loaded.PeerAddress, loaded.Seeds = peer, []string{peer} })
	time.Sleep(500 * time.Millisecond)
	is.True(!h.ready())
	is.Equal(h.get("/one/", "id").status, 503)
}
