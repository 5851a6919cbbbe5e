package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/upstream"
)

// told ends the reservation with an answer that took so long and told the pace.
func told(directory *Directory, choice Choice, work *Estimate, took time.Duration, pace float64, now time.Time) {
	directory.NoteLoad(choice, upstream.Load{Slots: 4, Pace: pace}, now.Add(took))
	directory.Finish(choice, work, ResultAnswered, now.Add(took))
}

// One answer tells what takes several observations, and teaches no time of work.
func TestOneAnswerTellsThatAServerIsSlow(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	work := established(20 * time.Millisecond)
	first := choose(t, directory, demand(work), epoch)
	is.Equal(first.Server.ID, "near")
	told(directory, first, work, 160*time.Millisecond, 8, epoch)
	now := epoch.Add(161 * time.Millisecond)
	is.Equal(choose(t, directory, demand(work), now).Server.ID, "far")
	is.True(work.Mean() < 21*time.Millisecond)
	is.True(first.Endpoint.learnedSlowness(now) < 1.5) // the pace explains it
}

// A slow moment is forgotten within a second; what has lasted is expected to last on.
func TestSlowPaceHoldsAsLongAsItHasLasted(t *testing.T) {
	is := is.New(t)
	var short, long pace
	short.note(4, epoch)
	is.True(short.current(epoch.Add(time.Second)) < 1.6)
	for at := time.Duration(0); at <= 2*time.Second; at += 500 * time.Millisecond {
		long.note(8, epoch.Add(at))
	}
	is.True(long.current(epoch.Add(4*time.Second)) > 5)
	long.note(1, epoch.Add(4*time.Second))
	is.Equal(long.current(epoch.Add(4*time.Second)), 1.0) // an ordinary answer ends it
	long.note(8, epoch.Add(5*time.Second))
	is.True(long.current(epoch.Add(7*time.Second)) < 1.5)
}

// A server that tells an ordinary pace and is slow, or silent, is found out by what is
// observed, as if it told nothing.
func TestServerThatTellsAWrongPaceIsFoundOut(t *testing.T) {
	for _, pace := range []float64{1, 0} {
		is := is.New(t)
		directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
		now := epoch
		for range 3 {
			choice := choose(t, directory, Demand{Service: "s", Work: established(20 * time.Millisecond), Left: time.Hour}, now)
			is.Equal(choice.Server.ID, "near")
			told(directory, choice, established(20*time.Millisecond), 200*time.Millisecond, pace, now)
			now = now.Add(210 * time.Millisecond)
		}
		is.Equal(choose(t, directory, demand(established(20*time.Millisecond)), now).Server.ID, "far")
	}
}

// One that tells that it is slow and is not gets requests again.
func TestServerThatTellsASlowPaceAndIsQuick(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"))
	now := epoch
	for range 6 {
		choice := choose(t, directory, demand(established(20*time.Millisecond)), now)
		told(directory, choice, established(20*time.Millisecond), 20*time.Millisecond, 8, now)
		now = now.Add(30 * time.Millisecond)
	}
	is.True(directory.byID["near"].currentSlowness(now) < slowRatio)
}
