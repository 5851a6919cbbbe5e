package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/lab/rollouts"
)

// A good version must receive a service's traffic, and a bad one must be rolled back within the
// bounds. The nodes' logs must be kept only with --keep.
func TestRollouts(t *testing.T) {
	for _, test := range []struct {
		version, seconds, state string
		keep                    bool
	}{
		{"good", "10", "completed", false},
		{"errors", "8", "rolled_back", true},
	} {
		t.Run(test.version, func(t *testing.T) {
			is := is.New(t)
			arguments := []string{"experiment", "rollout", "--version", test.version, "--seconds", test.seconds, "--output", "json"}
			if test.keep {
				arguments = append(arguments, "--keep")
			}
			directory := t.TempDir()
			command := exec.CommandContext(t.Context(), filepath.Join(binaries, "driftlab"), arguments...)
			command.Env = append(os.Environ(), "TMPDIR="+directory)
			var messages strings.Builder
			command.Stderr = &messages
			output, err := command.Output()
			t.Logf("%s", output)
			is.NoErr(err) // all bounds hold
			var result rollouts.Result
			is.NoErr(json.Unmarshal(output, &result))
			is.Equal(result.State, test.state)
			logs, err := filepath.Glob(filepath.Join(directory, "*", "node-*.log"))
			is.NoErr(err)
			is.Equal(len(logs) > 0, test.keep)
			is.Equal(strings.Contains(messages.String(), "logs in "+directory), test.keep)
		})
	}
}

// Invalid flags of experiments exit with status 2, unlike a failed experiment.
func TestInvalidExperimentFlags(t *testing.T) {
	for _, arguments := range [][]string{
		{"rollout", "--nodes", "0"},
		{"rollout", "--version", "unheard-of"},
		{"rollout", "--output", "xml"},
		{"overhead", "--duration", "0s"},
	} {
		is := is.New(t)
		command := exec.CommandContext(t.Context(), filepath.Join(binaries, "driftlab"), append([]string{"experiment"}, arguments...)...)
		is.True(command.Run() != nil)
		is.Equal(command.ProcessState.ExitCode(), 2)
	}
}
