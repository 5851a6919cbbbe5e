package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"k8s.io/klog/v2"
)

func TestLogsAreJSONLinesWithTheNode(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	SetupLogs(&output, "node-1", 0)
	defer klog.ClearLogger()
	klog.InfoS("started", "zone", "a")
	klog.V(1).InfoS("detail")
	klog.ErrorS(errors.New("cut"), "failed")
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.Equal(len(lines), 2) // V(1) is not logged at verbosity 0
	for index, want := range []string{"started", "failed"} {
		var line struct{ Msg, Node, Level string }
		is.NoErr(json.Unmarshal([]byte(lines[index]), &line))
		is.Equal(line.Msg, want)
		is.Equal(line.Node, "node-1")
	}
}

func TestAdminEndpoints(t *testing.T) {
	is := is.New(t)
	reason := "configuration not yet learned"
	admin := NewAdmin(AdminOptions{
		Registry:       NewRegistry(),
		NotReadyReason: func() string { return reason },
		State:          func() any { return struct{ Members int }{3} },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = admin.Serve(listener) }()
	defer admin.Close()
	for _, step := range []struct {
		path   string
		status int
		body   string
	}{
		{"/healthz", 200, "ok"},
		{"/readyz", 503, "configuration not yet learned"},
		{"/debug/state", 200, `"Members": 3`},
		{"/metrics", 200, "go_goroutines"},
		{"/nothing", 404, ""},
	} {
		response, err := http.Get("http://" + listener.Addr().String() + step.path)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, step.status)
		is.True(strings.Contains(string(body), step.body))
	}
}
