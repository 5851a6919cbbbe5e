package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
)

// unreadableServer serves the state page of a node that could not decode the objects.
func unreadableServer(t *testing.T, objects ...catalog.UnreadableObject) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(writer).Encode(map[string]any{"Unreadable": objects}); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestUnreadableListsObjects(t *testing.T) {
	is := is.New(t)
	node := unreadableServer(t, catalog.UnreadableObject{Feed: "servers", Name: "i-1", Cause: "state is missing", Seen: 2, SecondsAgo: 7.2})
	got := runOnNodes("unreadable", node, unreadableServer(t))
	is.Equal(got.status, 0)
	lines := strings.Split(got.output, "\n")
	is.Equal(strings.Fields(lines[1]), strings.Fields(node+" servers i-1 2 7 state is missing"))
}

func TestUnreadableExitStatus(t *testing.T) {
	is := is.New(t)
	is.Equal(runOnNodes("unreadable").status, exitUsage)
	is.Equal(runOnNodes("unreadable", "127.0.0.1:1").status, exitFailure)
	is.Equal(runOnNodes("unreadable", unreadableServer(t)).status, exitNotFound)
}
