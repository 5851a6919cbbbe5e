package e2e

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/lab/cluster"
)

// ownerOf returns a running daemon that owns servers, and one that is not it.
func (system *system) ownerOf() (owner, other *cluster.Node) {
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

// TestKilledOwner: the death of an owner mid-write leaves no answer that is
// wrong, and its servers are reached through the second-ranked node.
func TestKilledOwner(t *testing.T) {
	is := is.New(t)
	// Slow servers keep many attempts under way at the moment of the kill.
	system := startSystem(t, 4, "--median", "100ms")
	owner, other := system.ownerOf()
	options := loadOptions(6 * time.Second)
	options.Rate = 40
	report := system.underLoad(options, []string{other.Gateway}, owner.Kill)
	is.True(report.Answered == report.Sent)
	is.True(report.Coverage > 0.9)
	t.Logf("useful %d of %d, coverage of all %.4f, verdicts %v", report.Useful, report.Sent, report.CoverageOfAll, report.Verdicts)
}

// TestFrozenOwner: an owner stopped past every deadline must not send on, when it
// wakes up, what its senders have given up.
func TestFrozenOwner(t *testing.T) {
	is := is.New(t)
	system := startSystem(t, 4)
	owner, other := system.ownerOf()
	report := system.underLoad(loadOptions(8*time.Second), []string{other.Gateway}, func() {
		is.NoErr(owner.Signal(syscall.SIGSTOP))
		time.Sleep(3 * time.Second)
		is.NoErr(owner.Signal(syscall.SIGCONT))
	})
	is.True(report.Answered == report.Sent)
	is.Equal(report.BackEnds.Late, 0) // Nothing began to run long after its sender gave it up.
	t.Logf("useful %d of %d, coverage of all %.4f, verdicts %v", report.Useful, report.Sent, report.CoverageOfAll, report.Verdicts)
}

// TestPlannedStopCutsNothing: every query gets an answer while a daemon that
// owns servers and takes queries is stopped, and the daemon exits with status 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	system := startSystem(t, 4)
	owner, _ := system.ownerOf()
	report := system.underLoad(loadOptions(6*time.Second), system.gateways(), func() {
		is.NoErr(owner.Stop())
	})
	t.Logf("useful %d of %d, refused %d, failures %v, verdicts %v", report.Useful, report.Sent, report.Refusals.Count, report.Failures, report.Verdicts)
	for failure := range report.Failures {
		// A daemon that has gone refuses connections; no request was cut.
		if !isConnectionRefused(failure) {
			t.Errorf("a query was cut: %s", failure)
		}
	}
}

// isConnectionRefused tells a connection that was never made from one that broke.
func isConnectionRefused(failure string) bool {
	return strings.Contains(failure, "connection refused")
}
