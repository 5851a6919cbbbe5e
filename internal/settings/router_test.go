package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/rollout"
)

func requiredRouter() []string {
	return []string{"--name", "n", "--zone", "z", "--region", "r", "--store-address", "127.0.0.1:9000"}
}

func TestRouterSettings(t *testing.T) {
	is := is.New(t)
	commandLine, err := LoadRouter(append(requiredRouter(), "--zones", "z=r, y=q", "--retry-ratio", "0.25", "--stop-timeout", "4s", "--seeds", "127.0.0.1:1,127.0.0.1:2", "--evacuations", "true"))
	is.NoErr(err)
	is.Equal(commandLine.Mode, ModeRun)
	loaded := commandLine.Settings
	is.Equal(loaded.Regions, map[string]string{"z": "r", "y": "q"})
	is.Equal(loaded.RetryRatio, 0.25)
	is.Equal(loaded.StopTimeout, 4*time.Second)
	is.Equal(loaded.Seeds, []string{"127.0.0.1:1", "127.0.0.1:2"})
	is.Equal(loaded.MetricsAddress, "")
	is.True(loaded.Evacuations)
}

func TestRolloutBounds(t *testing.T) {
	is := is.New(t)
	commandLine, err := LoadRouter(requiredRouter())
	is.NoErr(err)
	is.True(!commandLine.Settings.Rollouts.Enabled())
	commandLine, err = LoadRouter(append(requiredRouter(), "--expose-share", "0.1", "--expose-slack", "50", "--rollback-time", "5000ms"))
	is.NoErr(err)
	is.Equal(commandLine.Settings.Rollouts, rollout.Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second})
	is.True(commandLine.Settings.Rollouts.Enabled())
}

func TestChanges(t *testing.T) {
	load := func(args ...string) Router {
		commandLine, err := LoadRouter(append(requiredRouter(), args...))
		is.New(t).NoErr(err)
		return commandLine.Settings
	}
	for _, test := range []struct {
		args []string
		want Changes
	}{
		{nil, Changes{}},
		{[]string{"--retry-slack", "99"}, Changes{Reloaded: true}},
		{[]string{"--seeds", "127.0.0.1:5"}, Changes{Reloaded: true}},
		{[]string{"--listen-address", "127.0.0.1:5"}, Changes{RestartRequired: true}},
		{[]string{"--rollback-time", "5s"}, Changes{RestartRequired: true}},
		{[]string{"--zones", "y=q", "--log-lines", "7"}, Changes{Reloaded: true, RestartRequired: true}},
	} {
		is.New(t).Equal(load().Changes(load(test.args...)), test.want)
	}
}

func TestRouterSettingsFromFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := "name: n\nzone: z\nregion: r\nstore-address: 127.0.0.1:9000\nretry-slack: \"58\"\nseeds: \"\"\n"
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	t.Setenv("DRIFTSTAGE_CONFIG", path)
	commandLine, err := LoadRouter(nil)
	is.NoErr(err)
	is.Equal(commandLine.Settings.RetrySlack, 58.0)
}

func TestAllInvalidRouterSettingsAreReported(t *testing.T) {
	is := is.New(t)
	_, err := LoadRouter([]string{"--name", "n", "--zone", "", "--region", "r", "--store-address", "127.0.0.1:0",
		"--zones", "z", "--retry-ratio", "NaN", "--listen-address", "nowhere", "--log-lines", "0",
		"--readiness-address", "127.0.0.1:7", "--metrics-address", "127.0.0.1:7", "--evacuations", "yes",
		"--expose-share", "1.5", "--expose-slack", "-1", "--rollback-time", "5"})
	is.True(err != nil)
	for _, key := range []string{"zone:", "store-address:", "zones:", "retry-ratio:", "listen-address:", "log-lines:", "metrics-address:", "evacuations:",
		"expose-share:", "expose-slack:", "rollback-time:"} {
		is.True(strings.Contains(err.Error(), key)) // every invalid setting is named
	}
}

// Limits against clients outside their ranges are refused by name, also half of the memory that the
// process has.
func TestClientLimitSettings(t *testing.T) {
	for _, test := range []struct {
		args    []string
		invalid string
	}{
		{nil, ""},
		{[]string{"--memory-megabytes", "96", "--request-memory-megabytes", "48", "--client-connections", "1", "--write-timeout", "100ms"}, ""},
		{[]string{"--memory-megabytes", "96", "--request-memory-megabytes", "49"}, "request-memory-megabytes:"},
		{[]string{"--request-memory-megabytes", "-1"}, "request-memory-megabytes:"},
		{[]string{"--request-memory-megabytes", "1000001"}, "request-memory-megabytes:"},
		{[]string{"--client-connections", "-1"}, "client-connections:"},
		{[]string{"--client-connections", "many"}, "client-connections:"},
		{[]string{"--write-timeout", "99ms"}, "write-timeout:"},
		{[]string{"--write-timeout", "11m"}, "write-timeout:"},
	} {
		is := is.New(t)
		_, err := LoadRouter(append(requiredRouter(), test.args...))
		if test.invalid == "" {
			is.NoErr(err)
			continue
		}
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), test.invalid))
	}
}
