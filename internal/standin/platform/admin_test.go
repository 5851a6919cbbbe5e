package platform

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestAdminEndpoints sets faults and machines over HTTP and reads the counters.
func TestAdminEndpoints(t *testing.T) {
	is := is.New(t)
	server := NewServer(Options{})
	defer func() { _ = server.Stop() }()
	public, admin := serve(t, server.Serve), serve(t, server.ServeAdmin)

	is.Equal(post(t, admin+"/faults", `{"refuse":true,"client":"node-1","delay":"1ms"}`), fasthttp.StatusOK)
	is.Equal(server.Faults().Client, "node-1")
	is.Equal(get(t, public+"/apis/driftstage.dev/v1/leases", "node-1"), fasthttp.StatusServiceUnavailable)
	is.Equal(get(t, public+"/apis/driftstage.dev/v1/leases", "node-2"), fasthttp.StatusOK)
	is.Equal(post(t, admin+"/faults", `{"refuze":true}`), fasthttp.StatusBadRequest)
	is.Equal(post(t, admin+"/faults", `{}`), fasthttp.StatusOK)
	is.Equal(get(t, public+"/apis/driftstage.dev/v1/leases", "node-1"), fasthttp.StatusOK)
	is.Equal(post(t, admin+"/machines", `{"machines":[{"name":"node-1","state":"leaving"}]}`), fasthttp.StatusOK)
	is.Equal(get(t, public+"/machines", ""), fasthttp.StatusOK)
	is.Equal(get(t, admin+"/stats", ""), fasthttp.StatusOK)
	is.Equal(server.Stats()["node-1"].Reads, int64(2))
	is.Equal(get(t, public+"/apis/driftstage.dev/v1/secrets", ""), fasthttp.StatusNotFound)
	is.Equal(post(t, public+"/apis/driftstage.dev/v1/leases", `{"metadata":`), fasthttp.StatusBadRequest)
	is.Equal(post(t, public+"/apis/driftstage.dev/v1/leases", `{"metadata":{}}`), fasthttp.StatusBadRequest)
}

func serve(t *testing.T, serve func(net.Listener) error) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = serve(listener) }()
	return "http://" + listener.Addr().String()
}

func get(t *testing.T, url, client string) int {
	t.Helper()
	return send(t, fasthttp.MethodGet, url, client, "")
}

func post(t *testing.T, url, body string) int {
	t.Helper()
	return send(t, fasthttp.MethodPost, url, "", body)
}

func send(t *testing.T, method, url, client, body string) int {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	request.Header.Set(ClientHeader, client)
	request.SetBodyString(body)
	if err := fasthttp.Do(request, response); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode()
}
