package e2e

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/lab/cluster"
)

// findOwner returns a running daemon that owns servers, and another one.
func (system *system) findOwner() (owner, other *cluster.Node) {
	system.t.Helper()
	for _, node := range system.Running() {
		state, err := node.State(testContext(system.t))
		is.New(system.t).NoErr(err)
		if owner == nil && len(state.Services) > 0 && len(state.Services[0].Owned) > 0 {
			owner = node
			continue
		}
		other = node
	}
	if owner == nil || other == nil {
		system.t.Fatal("no daemon owns a server")
	}
	return owner, other
}

// TestKilledOwner kills an owner during writes: no answer may be wrong, and the owner's
// servers must be reached through the second-ranked node.
func TestKilledOwner(t *testing.T) {
	is := is.New(t)
	// With slow servers, many attempts are in flight at the time of the kill.
	system := startSystem(t, 4, "--median", "100ms")
	owner, other := system.findOwner()
	options := loadOptions(6 * time.Second)
	options.Rate = 40
	report := system.underLoad(options, []string{other.Gateway}, owner.Kill)
	is.True(report.Answered == report.Sent)
	is.True(report.Coverage > 0.9)
	t.Logf("useful %d of %d, coverage of all %.4f, verdicts %v", report.Useful, report.Sent, report.CoverageOfAll, report.Verdicts)
}

// TestFrozenOwner freezes an owner for longer than every deadline: when thawed, it must not
// forward requests that their senders have abandoned.
func TestFrozenOwner(t *testing.T) {
	is := is.New(t)
	system := startSystem(t, 4)
	owner, other := system.findOwner()
	report := system.underLoad(loadOptions(8*time.Second), []string{other.Gateway}, func() {
		is.NoErr(owner.Signal(syscall.SIGSTOP))
		time.Sleep(3 * time.Second)
		is.NoErr(owner.Signal(syscall.SIGCONT))
	})
	is.True(report.Answered == report.Sent)
	is.Equal(report.BackEnds.Late, 0) // Nothing began to run long after its sender abandoned it.
	t.Logf("useful %d of %d, coverage of all %.4f, verdicts %v", report.Useful, report.Sent, report.CoverageOfAll, report.Verdicts)
}

// TestGracefulStop stops a daemon that owns servers and receives queries: every query must
// be answered, and the daemon must exit with status 0.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	system := startSystem(t, 4)
	owner, _ := system.findOwner()
	report := system.underLoad(loadOptions(6*time.Second), system.gateways(), func() {
		is.NoErr(owner.Stop())
	})
	t.Logf("useful %d of %d, refused %d, failures %v, verdicts %v", report.Useful, report.Sent, report.Rejections.Count, report.Failures, report.Verdicts)
	for failure := range report.Failures {
		// Connections to a stopped daemon are refused; accepted requests must be answered.
		if !isConnectionRefused(failure) {
			t.Errorf("a query was dropped: %s", failure)
		}
	}
}

// isConnectionRefused reports whether the connection was refused rather than broken.
func isConnectionRefused(failure string) bool {
	return strings.Contains(failure, "connection refused")
}
