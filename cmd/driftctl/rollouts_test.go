package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/rollout"
)

// stateServer serves the state page of a node: each request returns the next of the given lists of
// rollouts, and the last one is repeated.
func stateServer(t *testing.T, pages ...[]rollout.Description) string {
	t.Helper()
	next := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		page := pages[min(next, len(pages)-1)]
		next++
		if err := json.NewEncoder(writer).Encode(map[string]any{"Rollouts": page}); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// runOnNodes runs a command that takes nodes as arguments.
func runOnNodes(command string, args ...string) result {
	var output, failures bytes.Buffer
	status := run(context.Background(), append([]string{command}, args...), streams{input: strings.NewReader(""), output: &output, errors: &failures})
	return result{status: status, output: output.String(), errors: failures.String()}
}

func runRollouts(args ...string) result { return runOnNodes("rollouts", args...) }

func testRollout(state rollout.State, stage rollout.Stage, sent uint32) []rollout.Description {
	return []rollout.Description{{
		Service: "search", Target: "v2", State: state.String(), Stage: stage.String(), ElapsedSeconds: 2.5, DurationSeconds: 20,
		Requests: 10 * sent, Sent: sent, Old: rollout.Counts{Answers: 9 * sent}, New: rollout.Counts{Answers: sent, Failed: 1},
	}}
}

func TestRolloutsMergesNodes(t *testing.T) {
	is := is.New(t)
	first := stateServer(t, testRollout(rollout.StateRunning, rollout.StageCanary, 3))
	second := stateServer(t, testRollout(rollout.StateRunning, rollout.StageWaiting, 4))
	got := runRollouts(first, second)
	is.Equal(got.status, 0)
	lines := strings.Split(got.output, "\n")
	is.Equal(strings.Fields(lines[1]), strings.Fields("search v2 running canary 2.5/20 2 1 70 7 63 (0 failed, 0 slow) 7 (2 failed, 0 slow)"))
}

func TestRolloutsExitStatus(t *testing.T) {
	gone := "127.0.0.1:1"
	tests := []struct {
		name   string
		nodes  []string
		status int
		says   string
	}{
		{"completed", []string{stateServer(t, testRollout(rollout.StateCompleted, rollout.StageFull, 3))}, 0, ""},
		{"rolled back", []string{stateServer(t, testRollout(rollout.StateRolledBack, rollout.StageLoad, 3))}, exitInvalid, "search: v2 was rolled back"},
		{"none", []string{stateServer(t, nil)}, exitNotFound, "no node knows a roll-out"},
		{"one node is gone", []string{gone, stateServer(t, testRollout(rollout.StateRunning, rollout.StageLoad, 3))}, 0, gone},
		{"all nodes are gone", []string{gone}, exitFailure, "no node answered"},
		{"no node named", nil, exitUsage, "metrics addresses"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := runRollouts(test.nodes...)
			is.Equal(got.status, test.status)
			is.True(strings.Contains(got.errors, test.says))
		})
	}
}

func TestRolloutsWatchEndsWithLastRollout(t *testing.T) {
	is := is.New(t)
	node := stateServer(t, testRollout(rollout.StateRunning, rollout.StageLoad, 3), testRollout(rollout.StateRolledBack, rollout.StageLoad, 4))
	got := runRollouts("--watch", "--output", "json", node)
	is.Equal(got.status, exitInvalid)
	is.Equal(strings.Count(got.output, `"State"`), 2)
}

// Guards against --watch taking the node for its value: the flags after the node were taken for nodes.
func TestRolloutsWatchBeforeNode(t *testing.T) {
	is := is.New(t)
	got := runRollouts("--watch", stateServer(t, testRollout(rollout.StateRolledBack, rollout.StageLoad, 4)), "--output", "json")
	is.Equal(got.errors, "driftctl: search: v2 was rolled back\n")
	is.Equal(strings.Count(got.output, `"State"`), 1)
}
