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

func TestStoreShowsRestoredFeeds(t *testing.T) {
	is := is.New(t)
	state := storeState{Era: 2, Version: 7, Servers: 70, Doubted: 1, Missing: 3, Restored: []catalog.RestoredFeed{
		{Feed: "servers", Era: 2, EraBefore: 1, Revision: 100, RevisionBefore: 122, SecondsAgo: 4},
		{Feed: "tables", Era: 2, EraBefore: 1, Revision: 101, RevisionBefore: 123, SecondsAgo: 3.6},
	}}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(writer).Encode(state); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	node := strings.TrimPrefix(server.URL, "http://")
	got := runOnNodes("store", node)
	is.Equal(got.status, 0)
	lines := strings.Split(got.output, "\n")
	is.Equal(strings.Fields(lines[1]), strings.Fields(node+" 2 7 70 1 3 servers 2/100 1/122 4"))
	is.Equal(strings.Fields(lines[2]), strings.Fields(node+" 2 7 70 1 3 tables 2/101 1/123 4"))
	is.Equal(runOnNodes("store").status, exitUsage)
	is.Equal(runOnNodes("store", "127.0.0.1:1").status, exitFailure)
}
