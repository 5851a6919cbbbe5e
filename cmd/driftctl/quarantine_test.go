package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/quarantine"
)

var testDigest = quarantine.Digest{0xab, 0xcd}

// quarantineServer serves the API of a node that has testDigest in each of the states, and
// releases it on request.
func quarantineServer(t *testing.T, states ...quarantine.State) string {
	t.Helper()
	var shown []quarantine.Description
	for _, state := range states {
		shown = append(shown, quarantine.Description{Digest: testDigest, State: state, Services: []string{"s"}, Servers: 3, FailedTrials: 2, SecondsLeft: 60})
	}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			if request.URL.Path != quarantine.ReleasePath || request.URL.Query().Get(quarantine.ReleaseDigest) != testDigest.String() || len(shown) == 0 {
				http.Error(writer, "not known here", http.StatusBadRequest)
			}
			return
		}
		if err := json.NewEncoder(writer).Encode(map[string]any{"Quarantine": shown}); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func runQuarantine(args ...string) result { return runOnNodes("quarantine", args...) }

func TestQuarantineMergesNodes(t *testing.T) {
	is := is.New(t)
	nodes := []string{quarantineServer(t, quarantine.StateRefused), quarantineServer(t, quarantine.StateSuspected), quarantineServer(t)}
	got := runQuarantine(nodes...)
	is.Equal(got.status, 0)
	lines := strings.Split(got.output, "\n")
	is.Equal(strings.Fields(lines[1]), strings.Fields(testDigest.String()+" refused 60 3 0 2 2 1 s"))
}

func TestQuarantineReleaseTriesEachNode(t *testing.T) {
	is := is.New(t)
	got := runQuarantine("--release", testDigest.String(), quarantineServer(t), quarantineServer(t, quarantine.StateRefused))
	is.Equal(got.status, 0)
	is.True(strings.Contains(got.errors, "not known here"))
}

func TestQuarantineExitStatus(t *testing.T) {
	for _, test := range []struct {
		name   string
		args   []string
		status int
	}{
		{"no nodes", nil, exitUsage},
		{"no node answers", []string{"127.0.0.1:1"}, exitFailure},
		{"nothing known", []string{quarantineServer(t)}, exitNotFound},
		{"no digest", []string{"--release", "nonsense", "127.0.0.1:1"}, exitUsage},
		{"no node releases", []string{"--release", testDigest.String(), quarantineServer(t)}, exitFailure},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(runQuarantine(test.args...).status, test.status)
		})
	}
}
