package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/upstream"
)

// finishWithPace ends the reservation with an answer that took the given time and reported the pace.
func finishWithPace(directory *Directory, choice Choice, estimate *Estimate, took time.Duration, pace float64, now time.Time) {
	directory.RecordLoad(choice, upstream.Load{Slots: 4, Pace: pace}, now.Add(took))
	directory.Finish(choice, estimate, ResultAnswered, now.Add(took))
}

// One reported pace replaces several observations and does not affect the estimate.
func TestReportedPaceShowsSlownessAtOnce(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	estimate := established(20 * time.Millisecond)
	first := choose(t, directory, newCriteria(estimate), epoch)
	is.Equal(first.Server.ID, "near")
	finishWithPace(directory, first, estimate, 160*time.Millisecond, 8, epoch)
	now := epoch.Add(161 * time.Millisecond)
	is.Equal(choose(t, directory, newCriteria(estimate), now).Server.ID, "far")
	is.True(estimate.Mean() < 21*time.Millisecond)
	is.True(first.Endpoint.learnedSlowness(now) < 1.5) // the pace explains it
}

// A short slowdown is forgotten within a second; a long one is expected to go on.
func TestLongSlowPaceDecaysSlower(t *testing.T) {
	is := is.New(t)
	var short, long pace
	short.record(4, epoch)
	is.True(short.current(epoch.Add(time.Second)) < 1.6)
	for at := time.Duration(0); at <= 2*time.Second; at += 500 * time.Millisecond {
		long.record(8, epoch.Add(at))
	}
	is.True(long.current(epoch.Add(4*time.Second)) > 5)
	long.record(1, epoch.Add(4*time.Second))
	is.Equal(long.current(epoch.Add(4*time.Second)), 1.0) // an ordinary answer ends it
	long.record(8, epoch.Add(5*time.Second))
	is.True(long.current(epoch.Add(7*time.Second)) < 1.5)
}

// A server that reports an ordinary pace or none and is slow is detected by observation.
func TestSlownessIsLearnedDespiteAnOrdinaryPace(t *testing.T) {
	for _, pace := range []float64{1, 0} {
		is := is.New(t)
		directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
		now := epoch
		for range 3 {
			choice := choose(t, directory, Criteria{Service: "s", Estimate: established(20 * time.Millisecond), TimeLeft: time.Hour}, now)
			is.Equal(choice.Server.ID, "near")
			finishWithPace(directory, choice, established(20*time.Millisecond), 200*time.Millisecond, pace, now)
			now = now.Add(210 * time.Millisecond)
		}
		is.Equal(choose(t, directory, newCriteria(established(20*time.Millisecond)), now).Server.ID, "far")
	}
}

// A server that reports a slow pace and is not slow gets requests again.
func TestSpeedIsLearnedDespiteASlowPace(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"))
	now := epoch
	for range 6 {
		choice := choose(t, directory, newCriteria(established(20*time.Millisecond)), now)
		finishWithPace(directory, choice, established(20*time.Millisecond), 20*time.Millisecond, 8, now)
		now = now.Add(30 * time.Millisecond)
	}
	is.True(directory.byID["near"].currentSlowness(now) < slowRatio)
}
