package e2e

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The failures described in docs/OPERATIONS.md must be reproducible with the commands given there.
func TestFailedRequestsAreExplained(t *testing.T) {
	for _, test := range []struct {
		kind, status, last string
	}{
		{"silent-shard", "status 200, 1 shards missing", "status=answered cause=target_reached missing=1"},
		{"refused", "status 503", "status=refused cause=no_budget"},
		{"stopping", "status 504", "status=abandoned cause=node_stopped"},
	} {
		t.Run(test.kind, func(t *testing.T) {
			is := is.New(t)
			output, err := exec.CommandContext(t.Context(), filepath.Join(binaries, "driftlab"), "failure", test.kind).CombinedOutput()
			is.NoErr(err)
			lines := strings.Split(strings.TrimSpace(string(output)), "\n")
			is.True(strings.Contains(lines[0], test.status))
			is.True(strings.Contains(lines[len(lines)-1], test.last))
			is.True(strings.Contains(string(output), "\n> ")) // the first anomaly is marked
		})
	}
}
