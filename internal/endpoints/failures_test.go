package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server that fails some of its requests is not chosen first while another can answer in
// time, not even right after a success. It is chosen first again after a while without failures.
func TestUnreliableServerIsNotPreferred(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultServerError, ResultRefused} {
		is := is.New(t)
		directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
		estimate := established(20 * time.Millisecond)
		near := directory.byID["near"]
		now := epoch
		for _, end := range []Result{result, ResultAnswered, result} {
			near.begin(now)
			directory.Finish(Choice{Endpoint: near, Server: near.Server, ReservedAt: now}, estimate, end, now.Add(20*time.Millisecond))
			now = now.Add(400 * time.Millisecond)
		}
		is.True(!near.backingOff(now))
		is.Equal(choose(t, directory, newCriteria(estimate), now).Server.ID, "far")
		is.Equal(choose(t, directory, newCriteria(estimate), now.Add(5*maxFailureHalfLife)).Server.ID, "near")
	}
}

// A server that fails repeatedly is tried less and less often; after a long time without
// failure, the half-life is back to its initial value.
func TestRepeatedFailuresAreRememberedLonger(t *testing.T) {
	is := is.New(t)
	var tracked failures
	tracked.record(true, epoch)
	is.Equal(tracked.current(epoch.Add(failureHalfLife)), failureWeight/2)
	again := epoch.Add(failureRepeatWindow)
	tracked.record(true, again)
	rate := tracked.current(again)
	is.Equal(tracked.current(again.Add(2*failureHalfLife)), rate/2)
	for range 5 {
		tracked.record(true, again)
	}
	rate = tracked.current(again)
	is.Equal(tracked.current(again.Add(maxFailureHalfLife)), rate/2)
	later := again.Add(failureRepeatWindow + time.Second)
	tracked.record(true, later)
	rate = tracked.current(later)
	is.Equal(tracked.current(later.Add(failureHalfLife)), rate/2)
}

// The recent failure rate decays faster than the expected one.
func TestRecentFailuresDecayFaster(t *testing.T) {
	is := is.New(t)
	var tracked failures
	tracked.record(true, epoch)
	is.Equal(tracked.recent(epoch.Add(recentHalfLife)), failureWeight/2)
	is.True(tracked.recent(epoch.Add(recentHalfLife)) < tracked.current(epoch.Add(recentHalfLife)))
}

// If all servers fail equally, the local one stays first.
func TestEqualFailuresDoNotChangeTheOrder(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	for _, endpoint := range directory.byID {
		endpoint.failures = failures{rate: 0.4, updatedAt: epoch, halfLife: failureHalfLife}
	}
	is.Equal(choose(t, directory, newCriteria(established(20*time.Millisecond)), epoch).Server.ID, "near")
}

// Errors return quickly and say nothing about the processing time.
func TestEstimateIgnoresErrors(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"))
	estimate := established(20 * time.Millisecond)
	for step := range 20 {
		now := epoch.Add(time.Duration(step) * time.Second)
		directory.Finish(choose(t, directory, newCriteria(estimate), now), estimate, ResultServerError, now.Add(time.Millisecond))
	}
	is.Equal(estimate.Mean(), 20*time.Millisecond)
}
