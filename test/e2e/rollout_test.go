package e2e

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/lab/rollouts"
)

// A good version gets a service's traffic, a bad one is rolled back inside the bounds.
func TestRollouts(t *testing.T) {
	for _, test := range []struct {
		version, seconds, state string
	}{
		{"good", "10", "completed"},
		{"errors", "8", "rolled_back"},
	} {
		t.Run(test.version, func(t *testing.T) {
			is := is.New(t)
			command := exec.CommandContext(t.Context(), filepath.Join(binaries, "driftlab"),
				"experiment", "rollout", "--version", test.version, "--seconds", test.seconds, "--output", "json")
			output, err := command.Output()
			t.Logf("%s", output)
			is.NoErr(err) // no bound was broken
			var result rollouts.Result
			is.NoErr(json.Unmarshal(output, &result))
			is.Equal(result.State, test.state)
		})
	}
}

// Wrong flags of experiments are told apart from what went wrong in one: exit status 2.
func TestWrongFlagsOfExperiments(t *testing.T) {
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
