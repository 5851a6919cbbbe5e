package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	testService   = "search"
	testBodyLimit = 1 << 10
	// testTimeout fails a test that hangs.
	testTimeout = 10 * time.Second
)

type oneService struct{ service *config.Service }

func (services oneService) Service(name string) (*config.Service, bool) {
	return services.service, name == services.service.Name
}

type runnerFunc func(context.Context, scatter.Query) scatter.Answer

func (run runnerFunc) Run(ctx context.Context, query scatter.Query) scatter.Answer {
	return run(ctx, query)
}

// echoRunner returns the body of the query as the only result.
func echoRunner(_ context.Context, query scatter.Query) scatter.Answer {
	return scatter.Answer{
		Revision: 7,
		Snapshot: 3,
		Verdict:  verdict.Ran,
		Coverage: scatter.Coverage{Shards: 1, Covered: 1},
		Results:  []scatter.Result{{Shard: 0, Body: query.Body}},
	}
}

func start(t *testing.T, run runnerFunc) (*Gateway, string) {
	t.Helper()
	is := is.New(t)
	spec := &v1.QueryServiceSpec{}
	spec.SetDefaults()
	spec.Limits.BodyBytes = testBodyLimit
	spec.Limits.InFlight = 2
	gateway := New(Options{
		Services:           oneService{&config.Service{Name: testService, Revision: 7, Spec: spec}},
		Runner:             run,
		NotReadyReason:     func() string { return "" },
		Registry:           prometheus.NewRegistry(),
		MaximumBodyBytes:   4 * testBodyLimit,
		MaximumConnections: 100,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = gateway.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = gateway.Shutdown(ctx)
	})
	return gateway, listener.Addr().String()
}

func post(t *testing.T, url, body string, headers ...string) (int, answer, http.Header) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	is.NoErr(err)
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	var decoded answer
	is.NoErr(json.Unmarshal(content, &decoded))
	return response.StatusCode, decoded, response.Header
}

func queryURL(address, service string) string {
	return fmt.Sprintf("http://%s/v1/services/%s/query", address, service)
}

func TestAnswerFields(t *testing.T) {
	is := is.New(t)
	_, address := start(t, echoRunner)
	status, decoded, _ := post(t, queryURL(address, testService), `{"q":1}`, HeaderRequestID, "id-1")
	is.Equal(status, 200)
	is.Equal(decoded.RequestID, "id-1")
	is.Equal(decoded.Snapshot, int64(3))
	is.Equal(decoded.Revision, int64(7))
	is.Equal(decoded.Verdict, verdict.Ran)
	is.Equal(decoded.Coverage.Covered, 1)
	is.Equal(string(decoded.Results[0].Body), `{"q":1}`)
}

// An explicit minimum of zero differs from no minimum.
func TestMinimumCoverageOfZeroIsPassedOn(t *testing.T) {
	is := is.New(t)
	var got *float64
	_, address := start(t, func(ctx context.Context, query scatter.Query) scatter.Answer {
		got = query.MinimumCoverage
		return echoRunner(ctx, query)
	})
	post(t, queryURL(address, testService), "1")
	is.True(got == nil)
	post(t, queryURL(address, testService), "1", HeaderMinimumCoverage, "0")
	is.True(got != nil && *got == 0)
}

func TestInvalidRequestIsRefusedAsNotRun(t *testing.T) {
	_, address := start(t, func(context.Context, scatter.Query) scatter.Answer {
		t.Error("a refused request was run")
		return scatter.Answer{}
	})
	good := queryURL(address, testService)
	for _, test := range []struct {
		name    string
		url     string
		body    string
		headers []string
		status  int
		code    verdict.Code
	}{
		{"unknown service", queryURL(address, "other"), "", nil, 404, verdict.CodeUnknownService},
		{"unknown path", "http://" + address + "/v2", "", nil, 404, verdict.CodeInvalid},
		{"body over the service's limit", good, strings.Repeat("x", testBodyLimit+1), nil, 413, verdict.CodeTooLarge},
		{"body over the node's limit", good, strings.Repeat("x", 5*testBodyLimit), nil, 413, verdict.CodeTooLarge},
		{"timeout", good, "", []string{HeaderTimeout, "soon"}, 400, verdict.CodeInvalid},
		{"negative timeout", good, "", []string{HeaderTimeout, "-1s"}, 400, verdict.CodeInvalid},
		{"repeatable", good, "", []string{HeaderRepeatable, "perhaps"}, 400, verdict.CodeInvalid},
		{"class", good, "", []string{HeaderClass, "urgent"}, 400, verdict.CodeInvalid},
		{"coverage", good, "", []string{HeaderMinimumCoverage, "NaN"}, 400, verdict.CodeInvalid},
		{"coverage above 1", good, "", []string{HeaderMinimumCoverage, "1.1"}, 400, verdict.CodeInvalid},
		{"request id", good, "", []string{HeaderRequestID, "a b"}, 400, verdict.CodeInvalid},
		{"headers over the limit", good, "", []string{"X-Long", strings.Repeat("x", 2*maxHeaderBytes)}, 431, verdict.CodeTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, decoded, _ := post(t, test.url, test.body, test.headers...)
			is.Equal(status, test.status)
			is.Equal(decoded.Verdict, verdict.NotRun)
			is.Equal(decoded.Failure.Code, test.code)
			is.True(decoded.Failure.Message != "")
		})
	}
}

func TestWrongMethodAndMalformedRequest(t *testing.T) {
	is := is.New(t)
	_, address := start(t, echoRunner)
	response, err := http.Get(queryURL(address, testService))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, 405)

	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("\x00\x01garbage\r\n\r\n"))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	refused, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(refused.StatusCode, 400)
}

// Guards against sending another caller's body to the shards: fasthttp reuses the
// buffers of a request after its handler has returned.
func TestBodyOutlivesTheHandler(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	kept := map[string][]byte{}
	_, address := start(t, func(ctx context.Context, query scatter.Query) scatter.Answer {
		mutex.Lock()
		kept[query.RequestID] = query.Body
		mutex.Unlock()
		return echoRunner(ctx, query)
	})
	client := &http.Client{}
	for number := range 50 {
		body := fmt.Sprintf(`{"number":%d}`, number)
		request, err := http.NewRequest(http.MethodPost, queryURL(address, testService), strings.NewReader(body))
		is.NoErr(err)
		request.Header.Set(HeaderRequestID, fmt.Sprint(number))
		response, err := client.Do(request)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		is.NoErr(response.Body.Close())
	}
	for number := range 50 {
		want := fmt.Sprintf(`{"number":%d}`, number)
		is.True(bytes.Equal(kept[fmt.Sprint(number)], []byte(want)))
	}
}

func TestFailuresMapToStatusAndRetryAfter(t *testing.T) {
	for _, test := range []struct {
		failure    *verdict.Error
		status     int
		retryAfter string
	}{
		{&verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, RetryAfter: 1500 * time.Millisecond}, 429, "2"},
		{&verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeUnreachable, RetryAfter: 20 * time.Millisecond}, 503, "1"},
		{&verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeLost}, 504, ""},
		{&verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeDeadline}, 504, ""},
		{&verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInternal}, 500, ""},
	} {
		t.Run(string(test.failure.Code), func(t *testing.T) {
			is := is.New(t)
			_, address := start(t, func(context.Context, scatter.Query) scatter.Answer {
				return scatter.Answer{Verdict: test.failure.Verdict, Failure: test.failure, Coverage: scatter.Coverage{Shards: 1}}
			})
			status, decoded, headers := post(t, queryURL(address, testService), "")
			is.Equal(status, test.status)
			is.Equal(decoded.Verdict, test.failure.Verdict)
			is.Equal(headers.Get("Retry-After"), test.retryAfter)
		})
	}
}

func TestInFlightLimitRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{}, 2)
	release := make(chan struct{})
	_, address := start(t, func(ctx context.Context, query scatter.Query) scatter.Answer {
		entered <- struct{}{}
		<-release
		return echoRunner(ctx, query)
	})
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { post(t, queryURL(address, testService), "1") })
	}
	<-entered
	<-entered
	status, decoded, _ := post(t, queryURL(address, testService), "1")
	is.Equal(status, 429)
	is.Equal(decoded.Verdict, verdict.NotRun)
	is.True(decoded.Failure.RetryAfterMillis > 0)
	close(release)
	group.Wait()
}

func TestDrainRefusesNewAndFinishesInFlight(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	release := make(chan struct{})
	gateway, address := start(t, func(ctx context.Context, query scatter.Query) scatter.Answer {
		close(entered)
		<-release
		return echoRunner(ctx, query)
	})
	type outcome struct {
		status  int
		decoded answer
	}
	inFlight := make(chan outcome, 1)
	go func() {
		status, decoded, _ := post(t, queryURL(address, testService), "1")
		inFlight <- outcome{status, decoded}
	}()
	<-entered
	gateway.Drain()
	status, decoded, headers := post(t, queryURL(address, testService), "1")
	is.Equal(status, 503)
	is.Equal(decoded.Verdict, verdict.NotRun)
	is.Equal(decoded.Failure.Code, verdict.CodeDraining)
	is.True(headers.Get("Retry-After") != "")

	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- gateway.Shutdown(ctx)
	}()
	close(release)
	finished := <-inFlight
	is.Equal(finished.status, 200)
	is.Equal(finished.decoded.Coverage.Covered, 1)
	is.NoErr(<-stopped)
}
