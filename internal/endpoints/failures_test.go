package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server that fails a part of its requests is not asked first while another can
// answer in time, also between its good answers, and is after a while without failure.
func TestServerThatFailsAPartOfItsRequestsComesSecond(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultErred, ResultRefused} {
		is := is.New(t)
		directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
		work := established(20 * time.Millisecond)
		near := directory.byID["near"]
		now := epoch
		for _, end := range []Result{result, ResultAnswered, result} {
			near.begin(now)
			directory.Finish(Choice{Endpoint: near, Server: near.Server, Reserved: now}, work, end, now.Add(20*time.Millisecond))
			now = now.Add(400 * time.Millisecond)
		}
		is.True(!near.backsOff(now))
		is.Equal(choose(t, directory, demand(work), now).Server.ID, "far")
		is.Equal(choose(t, directory, demand(work), now.Add(5*longestFailureHalfLife)).Server.ID, "near")
	}
}

// A server that fails again and again is looked at less and less often; one that has not
// failed for long is forgiven as soon as before.
func TestRepeatedFailuresAreRememberedLonger(t *testing.T) {
	is := is.New(t)
	var seen failures
	seen.note(true, epoch)
	is.Equal(seen.current(epoch.Add(failureHalfLife)), failureWeight/2)
	again := epoch.Add(failureMemory)
	seen.note(true, again)
	share := seen.current(again)
	is.Equal(seen.current(again.Add(2*failureHalfLife)), share/2)
	for range 5 {
		seen.note(true, again)
	}
	share = seen.current(again)
	is.Equal(seen.current(again.Add(longestFailureHalfLife)), share/2)
	later := again.Add(failureMemory + time.Second)
	seen.note(true, later)
	share = seen.current(later)
	is.Equal(seen.current(later.Add(failureHalfLife)), share/2)
}

// What failed lately is forgotten sooner than what a server is known for.
func TestRecentFailuresAreForgottenSoon(t *testing.T) {
	is := is.New(t)
	var seen failures
	seen.note(true, epoch)
	is.Equal(seen.recent(epoch.Add(recentHalfLife)), failureWeight/2)
	is.True(seen.recent(epoch.Add(recentHalfLife)) < seen.current(epoch.Add(recentHalfLife)))
}

// Where all servers fail alike, the near one stays first.
func TestServersThatFailAlikeAreChosenAsBefore(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	for _, endpoint := range directory.byID {
		endpoint.failures = failures{share: 0.4, at: epoch, halfLife: failureHalfLife}
	}
	is.Equal(choose(t, directory, demand(established(20*time.Millisecond)), epoch).Server.ID, "near")
}

// Errors come quickly: they teach no time of work.
func TestErrorsTeachNoTimeOfWork(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"))
	work := established(20 * time.Millisecond)
	for step := range 20 {
		now := epoch.Add(time.Duration(step) * time.Second)
		directory.Finish(choose(t, directory, demand(work), now), work, ResultErred, now.Add(time.Millisecond))
	}
	is.Equal(work.Mean(), 20*time.Millisecond)
}
