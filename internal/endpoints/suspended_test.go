package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/rollout"
)

// While a machine is suspended, its permission to expose a version expires: when it resumes, its
// old knowledge looks recent to the monotonic clock.
func TestSuspendedNodeExposesNothing(t *testing.T) {
	is := is.New(t)
	fixture := newRolloutFixture(rollout.StateRunning, rollout.StageShift, 14*time.Second)
	suspended := time.Duration(0)
	fixture.directory.SetSuspensionClock(func() time.Duration { return suspended })
	is.True(fixture.send(50, false, ResultAnswered, true)[newVersion] > 0)
	suspended = 5 * time.Second
	is.Equal(fixture.send(50, false, ResultAnswered, true)[newVersion], 0)
}

// Guards against extra sends from a budget that was earned before the machine was suspended: the requests
// that earned it are older than the window by then, and its pool has granted the same sends again.
func TestSuspendedNodeSpendsNoEarlierBudget(t *testing.T) {
	for _, test := range []struct {
		name   string
		limits retrybudget.Limits
		earn   func(directory *Directory)
	}{
		{"requests", retrybudget.Limits{Ratio: 0.5}, func(d *Directory) {
			for range 4 {
				d.EarnRetries("s", epoch)
			}
		}},
		{"grants", retrybudget.Limits{}, func(d *Directory) { d.GrantRetries(retrybudget.SendCounts{"s": 2}, epoch) }},
		{"spent capacity", retrybudget.Limits{Capacity: 1, Started: epoch.Add(-time.Hour)}, func(*Directory) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			directory := directoryOf(server("a", "near-1"))
			suspended := time.Duration(0)
			directory.SetSuspensionClock(func() time.Duration { return suspended })
			directory.SetNodeLimits(test.limits, true, NodeCounts{Local: 1, Remote: 1}, epoch)
			extra := newCriteria(NewEstimate(20 * time.Millisecond))
			extra.Extra = true
			test.earn(directory)
			choose(t, directory, extra, epoch)
			suspended = time.Minute
			_, availability := directory.Choose(extra, epoch)
			is.Equal(availability, NoBudget)
		})
	}
}
